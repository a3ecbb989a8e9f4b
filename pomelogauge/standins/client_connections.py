"""Blocked clients and connections that are held open without a response."""

from cheroot.server import HTTPConnection

from .http_app import close_connection


class ClientConnections:
    """Simulates partitions and hangs for the clients of one stand-in."""

    def __init__(self) -> None:
        """Start with no client blocked."""
        self._blocked: frozenset[str] = frozenset()
        self._held: list[HTTPConnection] = []

    def block(self, clients: frozenset[str]) -> None:
        """Replace the set of blocked clients."""
        self._blocked = clients

    def is_blocked(self, client: str) -> bool:
        """Return whether calls of a client are to be dropped."""
        return client in self._blocked

    def hold(self, connection: HTTPConnection) -> None:
        """Hold a connection open without a response until `release`."""
        self._held.append(connection)

    def release(self) -> None:
        """Close all held connections."""
        for connection in self._held:
            close_connection(connection)
        self._held = []

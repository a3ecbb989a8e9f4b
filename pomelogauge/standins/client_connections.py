"""Connections of callers that are cut off or kept waiting."""

from cheroot.server import HTTPConnection

from .http_app import close_connection


class ClientConnections:
    """Which nodes are cut off, and connections without an answer."""

    def __init__(self) -> None:
        """Let everybody through."""
        self._blocked: frozenset[str] = frozenset()
        self._held: list[HTTPConnection] = []

    def block(self, clients: frozenset[str]) -> None:
        """Cut off only these nodes."""
        self._blocked = clients

    def is_blocked(self, client: str) -> bool:
        """Return whether a node is cut off."""
        return client in self._blocked

    def hold(self, connection: HTTPConnection) -> None:
        """Keep a connection open without an answer."""
        self._held.append(connection)

    def release(self) -> None:
        """Close the connections that were kept open."""
        for connection in self._held:
            close_connection(connection)
        self._held = []

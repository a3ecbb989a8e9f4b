"""Connections of callers that are cut off or kept waiting."""

from cheroot.server import HTTPConnection

from .http_app import close


class CallerLinks:
    """Which nodes are cut off, and connections without an answer."""

    def __init__(self) -> None:
        """Let everybody through."""
        self._cuts: frozenset[str] = frozenset()
        self._held: list[HTTPConnection] = []

    def cut(self, clients: frozenset[str]) -> None:
        """Cut off only these nodes."""
        self._cuts = clients

    def is_cut(self, client: str) -> bool:
        """Return whether a node is cut off."""
        return client in self._cuts

    def hold(self, connection: HTTPConnection) -> None:
        """Keep a connection open without an answer."""
        self._held.append(connection)

    def release(self) -> None:
        """Close the connections that were kept open."""
        for connection in self._held:
            close(connection)
        self._held = []

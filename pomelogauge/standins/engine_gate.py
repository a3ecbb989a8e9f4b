"""Mode of a stand-in engine and the callers that it lets through."""

from cheroot.server import HTTPConnection

from .caller_links import CallerLinks
from .engine_messages import EngineMode, EngineModeName, Gate


class EngineGate:
    """Says which callers get through and how long things take."""

    def __init__(self) -> None:
        """Let everybody through."""
        self._mode = EngineMode()
        self._links = CallerLinks()

    def enter(self, mode: EngineMode) -> None:
        """Enter a mode."""
        self._mode = mode
        self._release()

    def cut(self, clients: frozenset[str]) -> None:
        """Cut off only these nodes."""
        self._links.cut(clients)

    def hold(self, connection: HTTPConnection) -> None:
        """Keep a connection open for as long as the engine hangs."""
        self._links.hold(connection)
        self._release()

    def close(self) -> None:
        """Close the connections that were kept open."""
        self._links.release()

    def verdict(self, client: str) -> Gate:
        """Return whether a node gets through."""
        if self._links.is_cut(client):
            return Gate.CUT
        if self.is_hanging():
            return Gate.HELD
        return Gate.OPEN

    def is_hanging(self) -> bool:
        """Return whether nothing is answered."""
        return self._mode.mode is EngineModeName.HANG

    def factor(self) -> float:
        """Return how many times as long things take."""
        slow = self._mode.mode is EngineModeName.SLOW
        return self._mode.factor if slow else 1

    def _release(self) -> None:
        if not self.is_hanging():
            self._links.release()

"""Mode of a stand-in engine and the callers that it lets through."""

from cheroot.server import HTTPConnection

from .client_connections import ClientConnections
from .engine_messages import EngineMode, EngineModeName, GateDecision


class EngineGate:
    """Says which callers get through and how long things take."""

    def __init__(self) -> None:
        """Let everybody through."""
        self._mode = EngineMode()
        self._connections = ClientConnections()

    def enter(self, mode: EngineMode) -> None:
        """Enter a mode."""
        self._mode = mode
        self._release()

    def block(self, clients: frozenset[str]) -> None:
        """Cut off only these nodes."""
        self._connections.block(clients)

    def hold(self, connection: HTTPConnection) -> None:
        """Keep a connection open for as long as the engine hangs."""
        self._connections.hold(connection)
        self._release()

    def close(self) -> None:
        """Close the connections that were kept open."""
        self._connections.release()

    def decide(self, client: str) -> GateDecision:
        """Return whether a node gets through."""
        if self._connections.is_blocked(client):
            return GateDecision.CUT
        if self.is_hanging():
            return GateDecision.HELD
        return GateDecision.OPEN

    def is_hanging(self) -> bool:
        """Return whether nothing is answered."""
        return self._mode.mode is EngineModeName.HANG

    def factor(self) -> float:
        """Return how many times as long things take."""
        slow = self._mode.mode is EngineModeName.SLOW
        return self._mode.factor if slow else 1

    def _release(self) -> None:
        if not self.is_hanging():
            self._connections.release()

"""Fault mode of a stand-in engine and its blocked clients."""

from cheroot.server import HTTPConnection

from .client_connections import ClientConnections
from .engine_messages import EngineMode, EngineModeName, GateDecision


class EngineGate:
    """Decides which calls are served and by how much work is slowed down."""

    def __init__(self) -> None:
        """Start in mode ``up`` with no client blocked."""
        self._mode = EngineMode()
        self._connections = ClientConnections()

    def enter(self, mode: EngineMode) -> None:
        """Change the mode; held connections close unless it is ``hang``."""
        self._mode = mode
        self._release()

    def block(self, clients: frozenset[str]) -> None:
        """Replace the set of blocked clients."""
        self._connections.block(clients)

    def hold(self, connection: HTTPConnection) -> None:
        """Hold a connection open for as long as the engine hangs."""
        self._connections.hold(connection)
        self._release()

    def close(self) -> None:
        """Close all held connections."""
        self._connections.release()

    def decide(self, client: str) -> GateDecision:
        """Return what happens to a call of a client."""
        if self._connections.is_blocked(client):
            return GateDecision.CUT
        if self.is_hanging():
            return GateDecision.HELD
        return GateDecision.OPEN

    def is_hanging(self) -> bool:
        """Return whether the engine holds all calls without a response."""
        return self._mode.mode is EngineModeName.HANG

    def factor(self) -> float:
        """Return the factor on load and token times; 1 unless slow."""
        slow = self._mode.mode is EngineModeName.SLOW
        return self._mode.factor if slow else 1

    def _release(self) -> None:
        if not self.is_hanging():
            self._connections.release()

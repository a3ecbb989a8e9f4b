"""Model engines as protocol types."""

from collections.abc import Iterator
from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from returns.result import Result

from ..model.ids import Address, Epoch, Incarnation, ReplicaId, RequestId
from ..model.placement import EngineStatus, Replica
from ..model.request import Execution


class EngineFault(StrEnum):
    """How a call to an engine can fail."""

    UNREACHABLE = 'unreachable'
    INTERRUPTED = 'cut'
    STALE_EPOCH = 'old_fence'
    WRONG_REPLICA = 'wrong_replica'
    OVERLOADED = 'overloaded'
    MISMATCHED = 'crossed'
    REFUSED = 'refused'


@dataclass(frozen=True)
class EngineError:
    """A failed call to an engine.

    Parameters
    ----------
    fault
        What happened.
    message
        One sentence.
    execution
        Whether the engine ran anything of it.

    """

    fault: EngineFault
    message: str
    execution: Execution = Execution.MAY_HAVE_RUN


@dataclass(frozen=True)
class LoadOrder:
    """Order to load a model as one member of a replica."""

    order: str
    replica: Replica
    rank: int
    model: str
    model_version: str
    adapters: tuple[str, ...] = ()


@dataclass(frozen=True)
class UnloadOrder:
    """Order to leave a replica."""

    order: str
    replica: ReplicaId
    epoch: Epoch


class EngineControl(Protocol):
    """Orders and reports; used by controllers."""

    def status(self, address: Address) -> Result[EngineStatus, EngineError]:
        """Return the engine's own report."""

    def load(
        self,
        address: Address,
        order: LoadOrder,
    ) -> Result[EngineStatus, EngineError]:
        """Order one member to load."""

    def unload(
        self,
        address: Address,
        order: UnloadOrder,
    ) -> Result[EngineStatus, EngineError]:
        """Order one member to leave its replica."""


class OwnedEngineControl(EngineControl, Protocol):
    """Orders and reports over connections that one task owns."""

    def close(self) -> None:
        """Close the connections."""


@dataclass(frozen=True)
class Token:
    """One token of an answer.

    Parameters
    ----------
    index
        Place in the answer, from zero.
    text
        The text; empty where only the event is told.
    event
        Encoded chunk that may be passed on as it came; empty for none.

    """

    index: int
    text: str
    event: bytes = b''


@dataclass(frozen=True)
class StreamRequest:
    """A model request on its way to an engine.

    Parameters
    ----------
    request
        Identifier that the engine echoes.
    replica, epoch
        The engine refuses when it belongs to another.
    body
        The caller's body as it came.
    resume_at
        Index of the first token wanted.
    trace_parent
        Trace context header; empty for none.

    """

    request: RequestId
    replica: ReplicaId
    epoch: Epoch
    body: bytes
    resume_at: int = 0
    trace_parent: str = ''


class TokenStream(Protocol):
    """An answer in progress, owned by one task."""

    @property
    def incarnation(self) -> Incarnation:
        """Incarnation of the engine that answers."""

    def tokens(self) -> Iterator[Result[Token, EngineError]]:
        """Yield tokens until the explicit end; a failure ends it."""

    def close(self, *, cancel: bool) -> bool:
        """Give the connection back after a clean end, else close it.

        Parameters
        ----------
        cancel
            Ask the engine to drop a request that has not ended.

        Returns
        -------
        bool
            Whether the engine surely runs nothing of the request any more.

        """


class EngineStreams(Protocol):
    """Requests to engines; used by routers."""

    def open(
        self,
        address: Address,
        ask: StreamRequest,
    ) -> Result[TokenStream, EngineError]:
        """Send a request and return once the engine has accepted it."""

"""Protocols and records for calls to model engines."""

from collections.abc import Iterator
from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from returns.result import Result

from ..model.ids import Address, Epoch, Incarnation, ReplicaId, RequestId
from ..model.placement import EngineStatus, Replica
from ..model.request import Execution


class EngineFault(StrEnum):
    """How a call to an engine can fail.

    ``UNREACHABLE``: no connection. ``INTERRUPTED``: the call timed out, lost
    its connection or got a malformed answer. ``STALE_EPOCH``: the engine has
    accepted an order with a higher epoch. ``WRONG_REPLICA``: the engine
    belongs to another replica or epoch. ``OVERLOADED``: it has no free slot.
    ``MISMATCHED``: it answered another request, or sent a token out of order.
    ``REFUSED``: any other status.
    """

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
        Kind of the failure.
    message
        Cause in one sentence, for logs and refusals.
    execution
        Whether the engine may have run the request or order.

    """

    fault: EngineFault
    message: str
    execution: Execution = Execution.MAY_HAVE_RUN


@dataclass(frozen=True)
class LoadOrder:
    """Order to load a model as one member of a replica.

    Parameters
    ----------
    order
        Identifier, unique per order.
    replica
        Replica with its epoch and all its members.
    rank
        Rank of the ordered engine in the replica.
    model, model_version, adapters
        What to load.

    """

    order: str
    replica: Replica
    rank: int
    model: str
    model_version: str
    adapters: tuple[str, ...] = ()


@dataclass(frozen=True)
class UnloadOrder:
    """Order to leave a replica and unload its model.

    Parameters
    ----------
    order
        Identifier, unique per order.
    replica, epoch
        What to leave; the engine refuses an epoch below its own.

    """

    order: str
    replica: ReplicaId
    epoch: Epoch


class EngineControl(Protocol):
    """Control interface of engines; used by controllers."""

    def status(self, address: Address) -> Result[EngineStatus, EngineError]:
        """Read the engine's report of itself."""

    def load(
        self,
        address: Address,
        order: LoadOrder,
    ) -> Result[EngineStatus, EngineError]:
        """Order one member to load; return its report.

        The engine accepts the order at once and loads in the background.
        """

    def unload(
        self,
        address: Address,
        order: UnloadOrder,
    ) -> Result[EngineStatus, EngineError]:
        """Order one member to leave its replica; return its report."""


class OwnedEngineControl(EngineControl, Protocol):
    """Control interface whose connections are owned by one task."""

    def close(self) -> None:
        """Close all connections."""


@dataclass(frozen=True)
class Token:
    """One token of an answer.

    Parameters
    ----------
    index
        Position in the answer, from zero.
    text
        Decoded text; empty if only the event was passed on.
    event
        Encoded event that may be relayed unchanged; empty for none.

    """

    index: int
    text: str
    event: bytes = b''


@dataclass(frozen=True)
class StreamRequest:
    """A model request as it is sent to an engine.

    Parameters
    ----------
    request
        Identifier that the engine has to echo.
    replica, epoch
        Replica that must run the request; an engine of another replica or
        epoch refuses.
    body
        The caller's body, unchanged.
    resume_at
        Index of the first token to send; above zero when an interrupted
        stream goes on.
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
    """The answer to one request while it arrives; owned by one task."""

    @property
    def incarnation(self) -> Incarnation:
        """Incarnation of the engine that answers; empty if not stated."""

    def tokens(self) -> Iterator[Result[Token, EngineError]]:
        """Yield tokens until the end-of-stream event or a failure.

        A failure is the last item. An end of the connection without the event
        is a failure.
        """

    def close(self, *, cancel: bool) -> bool:
        """Return the connection to the pool after a clean end, else close it.

        Parameters
        ----------
        cancel
            Whether to cancel a request at the engine that has not ended.

        Returns
        -------
        bool
            Whether it is certain that the engine no longer runs the request:
            the stream had ended, or the engine confirmed the cancellation.

        """


class EngineStreams(Protocol):
    """Client of engines; used by the tasks of a router's callers."""

    def open(
        self,
        address: Address,
        req: StreamRequest,
    ) -> Result[TokenStream, EngineError]:
        """Send a request; return as soon as the engine has accepted it.

        Parameters
        ----------
        address
            ``host:port`` of the replica's leading member.
        req
            The request.

        """

"""Messages between the task of a stand-in engine and HTTP threads."""

from dataclasses import dataclass
from enum import StrEnum

from cheroot.server import HTTPConnection

from ..model.ids import Epoch, Incarnation, InstanceName, ReplicaId, RequestId
from ..model.placement import EngineStatus
from ..tasks.mailbox import Outbox
from .engine_load import CacheEvent, LoadReport
from .engine_model import Admission, EngineOrder, OrderMember, StaleFencingToken


class EngineModeName(StrEnum):
    """Fault mode of an engine; ``cold`` and ``crash`` take effect once."""

    UP = 'up'
    HANG = 'hang'
    SLOW = 'slow'
    COLD = 'cold'
    CRASH = 'crash'


@dataclass(frozen=True)
class EngineMode:
    """Fault mode with its parameter.

    Parameters
    ----------
    mode
        Fault that is simulated.
    factor
        Factor on token interval and load time in mode ``slow``.

    """

    mode: EngineModeName = EngineModeName.UP
    factor: float = 1


class GateDecision(StrEnum):
    """What happens to a call before it is handled."""

    OPEN = 'open'
    CUT = 'cut'
    HELD = 'held'


@dataclass(frozen=True)
class GateDecisionRequested:
    """Requests the decision about a call of a client."""

    client: str
    reply: Outbox[GateDecision]


@dataclass(frozen=True)
class ConnectionHeld:
    """Hands over a connection that is held open without a response."""

    connection: HTTPConnection


@dataclass(frozen=True)
class EngineReport:
    """Current status, and the load as published with its lag."""

    status: EngineStatus
    load: LoadReport


@dataclass(frozen=True)
class StatusRequested:
    """Requests the status."""

    reply: Outbox[EngineReport]


@dataclass(frozen=True)
class OrderReceived:
    """An order was received; the reply tells its outcome."""

    order: EngineOrder
    reply: Outbox['EngineReport | StaleFencingToken']


@dataclass(frozen=True)
class TokenIntervalChanged:
    """Seconds between tokens from now on; ``None`` pauses the stream."""

    interval_s: float | None


@dataclass(frozen=True)
class StreamCut:
    """The connection of the stream is to be dropped."""


@dataclass(frozen=True)
class StreamCancelled:
    """The stream is to end because its client cancelled the request."""


StreamMessage = TokenIntervalChanged | StreamCut | StreamCancelled


@dataclass(frozen=True)
class StreamRequested:
    """Requests admission of a streaming request.

    Parameters
    ----------
    request
        Request identifier given by the client.
    client
        Name of the calling node, for blocked links.
    replica, epoch
        Replica and its fencing number as addressed by the client.
    prefix
        Name of the prefix to be cached.
    stream
        Receives changes of the stream while it runs.
    reply
        Receives exactly one reply.

    """

    request: RequestId
    client: str
    replica: ReplicaId
    epoch: Epoch
    prefix: str
    stream: Outbox[StreamMessage]
    reply: Outbox['StreamAccepted | Admission']


@dataclass(frozen=True)
class StreamAccepted:
    """The request was admitted and counts as running.

    Parameters
    ----------
    serial
        Identifies the stream within this engine.
    incarnation
        Incarnation of the engine that admitted the request.
    interval_s
        Seconds between tokens; ``None`` while the engine hangs.

    """

    serial: int
    incarnation: Incarnation
    interval_s: float | None


class StreamEnd(StrEnum):
    """Outcome of a stream."""

    COMPLETE = 'whole'
    CUT = 'cut'
    CANCELLED = 'cancelled'


@dataclass(frozen=True)
class StreamRecord:
    """Tokens sent for one request, for the checkers.

    Parameters
    ----------
    request
        Request identifier given by the client.
    replica
        Replica that served it.
    first
        Index of the first token sent.
    next_index
        Index after the last token sent.
    end
        Outcome of the stream.

    """

    request: RequestId
    replica: ReplicaId
    first: int
    next_index: int
    end: StreamEnd


@dataclass(frozen=True)
class StreamEnded:
    """The serving thread has ended its stream."""

    serial: int
    record: StreamRecord


@dataclass(frozen=True)
class CancelRequested:
    """The client cancels a request."""

    request: RequestId


@dataclass(frozen=True)
class EventsRequested:
    """Requests the cache events after a sequence number."""

    after: int
    reply: Outbox[tuple[CacheEvent, ...]]


@dataclass(frozen=True)
class ModeSet:
    """Sets the fault mode."""

    mode: EngineMode


@dataclass(frozen=True)
class BlockedClientsSet:
    """Replaces the set of blocked clients."""

    clients: frozenset[str]


@dataclass(frozen=True)
class EngineRecord:
    """Record of an engine for the checkers."""

    overload_crashes: int
    peak_running: int
    requests: tuple[StreamRecord, ...]


@dataclass(frozen=True)
class RecordRequested:
    """Requests the record."""

    reply: Outbox[EngineRecord]


@dataclass(frozen=True)
class MemberLost:
    """A member no longer serves the replica."""

    replica: ReplicaId
    epoch: Epoch


@dataclass(frozen=True)
class Closing:
    """The process ends: streams and held connections are closed."""


EngineMessage = (
    GateDecisionRequested
    | Closing
    | ConnectionHeld
    | StatusRequested
    | OrderReceived
    | StreamRequested
    | StreamEnded
    | CancelRequested
    | EventsRequested
    | ModeSet
    | BlockedClientsSet
    | RecordRequested
    | MemberLost
)


@dataclass(frozen=True)
class WatchMembers:
    """Sets the members to be polled while streams run.

    Parameters
    ----------
    instance
        Instance that polls; it is not polled itself.
    replica, epoch
        Replica and fencing number that each member has to report.
    members
        All members of the replica; empty stops the polling.

    """

    instance: InstanceName
    replica: ReplicaId
    epoch: Epoch
    members: tuple[OrderMember, ...]

"""Messages between the task of a stand-in engine and its threads."""

from dataclasses import dataclass
from enum import StrEnum

from cheroot.server import HTTPConnection

from ..model.ids import Epoch, Incarnation, InstanceName, ReplicaId, RequestId
from ..model.placement import EngineStatus
from ..tasks.mailbox import Outbox
from .engine_load import CacheEvent, LoadReport
from .engine_model import Admission, EngineOrder, OrderMember, StaleFencingToken


class EngineModeName(StrEnum):
    """How an engine misbehaves; ``cold`` and ``crash`` happen once."""

    UP = 'up'
    HANG = 'hang'
    SLOW = 'slow'
    COLD = 'cold'
    CRASH = 'crash'


@dataclass(frozen=True)
class EngineMode:
    """Mode with its parameter.

    Parameters
    ----------
    mode
        The mode.
    factor
        Tokens and loads take so many times as long, when slow.

    """

    mode: EngineModeName = EngineModeName.UP
    factor: float = 1


class GateDecision(StrEnum):
    """Whether a caller gets through at all."""

    OPEN = 'open'
    CUT = 'cut'
    HELD = 'held'


@dataclass(frozen=True)
class GateDecisionRequested:
    """A thread asks whether its caller gets through."""

    client: str
    reply: Outbox[GateDecision]


@dataclass(frozen=True)
class ConnectionHeld:
    """A connection that stays open without an answer."""

    connection: HTTPConnection


@dataclass(frozen=True)
class EngineReport:
    """Status now, and the load as published."""

    status: EngineStatus
    load: LoadReport


@dataclass(frozen=True)
class StatusRequested:
    """A thread asks for the status."""

    reply: Outbox[EngineReport]


@dataclass(frozen=True)
class OrderReceived:
    """An order arrived."""

    order: EngineOrder
    reply: Outbox['EngineReport | StaleFencingToken']


@dataclass(frozen=True)
class TokenIntervalChanged:
    """Seconds between tokens from now on; ``None`` sends none."""

    interval_s: float | None


@dataclass(frozen=True)
class StreamCut:
    """The stream is to be cut off."""


@dataclass(frozen=True)
class StreamCancelled:
    """The stream is to end because its caller does not want it."""


StreamMessage = TokenIntervalChanged | StreamCut | StreamCancelled


@dataclass(frozen=True)
class StreamRequested:
    """A thread asks to serve a request.

    Parameters
    ----------
    request
        Identifier given by the caller.
    client
        Node that calls.
    replica, epoch
        Replica that the caller means.
    prefix
        Name of the prefix that will be cached.
    stream
        Takes what happens to the stream.
    reply
        Takes one answer.

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
    """The request is being served.

    Parameters
    ----------
    serial
        Names the stream in this process.
    incarnation
        Incarnation of the engine.
    interval_s
        Seconds between tokens; ``None`` sends none for now.

    """

    serial: int
    incarnation: Incarnation
    interval_s: float | None


class StreamEnd(StrEnum):
    """How a stream ended."""

    COMPLETE = 'whole'
    CUT = 'cut'
    CANCELLED = 'cancelled'


@dataclass(frozen=True)
class StreamRecord:
    """What was sent of one request.

    Parameters
    ----------
    request
        Identifier given by the caller.
    replica
        Replica that served it.
    first
        Index of the first token sent.
    next_index
        Index after the last token sent.
    end
        How it ended.

    """

    request: RequestId
    replica: ReplicaId
    first: int
    next_index: int
    end: StreamEnd


@dataclass(frozen=True)
class StreamEnded:
    """A thread has ended its stream."""

    serial: int
    record: StreamRecord


@dataclass(frozen=True)
class CancelRequested:
    """A request is not wanted any more."""

    request: RequestId


@dataclass(frozen=True)
class EventsRequested:
    """A thread asks for cache events."""

    after: int
    reply: Outbox[tuple[CacheEvent, ...]]


@dataclass(frozen=True)
class ModeSet:
    """The engine enters another mode."""

    mode: EngineMode


@dataclass(frozen=True)
class BlockedClientsSet:
    """Only these nodes are cut off."""

    clients: frozenset[str]


@dataclass(frozen=True)
class EngineRecord:
    """What an engine did, for checkers."""

    overload_crashes: int
    peak_running: int
    requests: tuple[StreamRecord, ...]


@dataclass(frozen=True)
class RecordRequested:
    """A test asks for the record."""

    reply: Outbox[EngineRecord]


@dataclass(frozen=True)
class MemberLost:
    """A member of the replica is not there any more."""

    replica: ReplicaId
    epoch: Epoch


@dataclass(frozen=True)
class Closing:
    """The process ends: streams and held connections end now."""


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
    """The watch is to ask these members while streams run.

    Parameters
    ----------
    instance
        Instance that asks; it is left out.
    replica, epoch
        What the members must report.
    members
        All members; empty ends the watch.

    """

    instance: InstanceName
    replica: ReplicaId
    epoch: Epoch
    members: tuple[OrderMember, ...]

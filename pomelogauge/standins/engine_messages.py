"""Messages between the task of a stand-in engine and its threads."""

from dataclasses import dataclass
from enum import StrEnum

from cheroot.server import HTTPConnection

from ..model.ids import Epoch, Incarnation, InstanceName, ReplicaId, RequestId
from ..model.placement import EngineStatus
from ..tasks.mailbox import Outbox
from .engine_load import CacheEvent, LoadReport
from .engine_model import Admission, EngineOrder, OldFence, OrderMember


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


class Gate(StrEnum):
    """Whether a caller gets through at all."""

    OPEN = 'open'
    CUT = 'cut'
    HELD = 'held'


@dataclass(frozen=True)
class GateAsked:
    """A thread asks whether its caller gets through."""

    client: str
    reply: Outbox[Gate]


@dataclass(frozen=True)
class Held:
    """A connection that stays open without an answer."""

    connection: HTTPConnection


@dataclass(frozen=True)
class EngineReport:
    """Status now, and the load as published."""

    status: EngineStatus
    load: LoadReport


@dataclass(frozen=True)
class StatusAsked:
    """A thread asks for the status."""

    reply: Outbox[EngineReport]


@dataclass(frozen=True)
class OrderGiven:
    """An order arrived."""

    order: EngineOrder
    reply: Outbox['EngineReport | OldFence']


@dataclass(frozen=True)
class Pace:
    """Seconds between tokens from now on; ``None`` sends none."""

    interval_s: float | None


@dataclass(frozen=True)
class StreamCut:
    """The stream is to be cut off."""


@dataclass(frozen=True)
class StreamCancelled:
    """The stream is to end because its caller does not want it."""


StreamMessage = Pace | StreamCut | StreamCancelled


@dataclass(frozen=True)
class StreamAsked:
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
    reply: Outbox['StreamTaken | Admission']


@dataclass(frozen=True)
class StreamTaken:
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

    WHOLE = 'whole'
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
class CancelAsked:
    """A request is not wanted any more."""

    request: RequestId


@dataclass(frozen=True)
class EventsAsked:
    """A thread asks for cache events."""

    after: int
    reply: Outbox[tuple[CacheEvent, ...]]


@dataclass(frozen=True)
class ModeSet:
    """The engine enters another mode."""

    mode: EngineMode


@dataclass(frozen=True)
class CutsSet:
    """Only these nodes are cut off."""

    clients: frozenset[str]


@dataclass(frozen=True)
class EngineRecord:
    """What an engine did, for checkers."""

    overfed: int
    peak_running: int
    requests: tuple[StreamRecord, ...]


@dataclass(frozen=True)
class RecordAsked:
    """A test asks for the record."""

    reply: Outbox[EngineRecord]


@dataclass(frozen=True)
class MembersLost:
    """A member of the replica is not there any more."""

    replica: ReplicaId
    epoch: Epoch


@dataclass(frozen=True)
class Closing:
    """The process ends: streams and held connections end now."""


EngineMessage = (
    GateAsked
    | Closing
    | Held
    | StatusAsked
    | OrderGiven
    | StreamAsked
    | StreamEnded
    | CancelAsked
    | EventsAsked
    | ModeSet
    | CutsSet
    | RecordAsked
    | MembersLost
)


@dataclass(frozen=True)
class MembersWatched:
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

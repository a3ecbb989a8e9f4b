"""Messages to the task that owns a stand-in service's state."""

from dataclasses import dataclass
from enum import StrEnum

from cheroot.server import HTTPConnection

from ..model.ids import CallName, Incarnation, RequestId
from ..tasks.mailbox import Outbox


class ServiceModeName(StrEnum):
    """How a service misbehaves.

    ``cut_before`` closes the connection and does not run the call;
    ``cut_after`` runs it first. ``refuse`` answers that it was not run.
    """

    UP = 'up'
    HANG = 'hang'
    CUT_BEFORE = 'cut_before'
    CUT_AFTER = 'cut_after'
    REFUSE = 'refuse'
    SLOW = 'slow'


@dataclass(frozen=True)
class ServiceMode:
    """Mode with its parameters.

    Parameters
    ----------
    mode
        The mode.
    delay_s
        Seconds between the run and the answer, when slow.
    count
        Number of calls that meet the mode; ``None`` for all.

    """

    mode: ServiceModeName = ServiceModeName.UP
    delay_s: float = 0
    count: int | None = None


class NotAnswered(StrEnum):
    """What happens to a call that has no usual answer."""

    CUT = 'cut'
    HELD = 'held'
    REFUSED = 'refused'


@dataclass(frozen=True)
class CallRan:
    """The call ran; ``run`` says how often by now."""

    run: int


@dataclass(frozen=True)
class CallRequested:
    """A thread asks to run a call.

    Parameters
    ----------
    call
        Name of the call.
    key
        Idempotency key; empty for none.
    request
        Identifier given by the caller.
    client
        Node that calls.
    reply
        Takes one answer.

    """

    call: CallName
    key: str
    request: RequestId
    client: str
    reply: Outbox[CallRan | NotAnswered]


@dataclass(frozen=True)
class ConnectionHeld:
    """A connection that stays open without an answer."""

    connection: HTTPConnection


@dataclass(frozen=True)
class ModeSet:
    """The service enters another mode."""

    mode: ServiceMode


@dataclass(frozen=True)
class BlockedClientsSet:
    """Only these nodes are cut off."""

    clients: frozenset[str]


@dataclass(frozen=True)
class ServiceStatus:
    """What a service reports of itself."""

    instance: str
    incarnation: Incarnation
    running: int
    capacity: int
    age_s: float = 0


@dataclass(frozen=True)
class StatusRequested:
    """A thread asks for the status."""

    client: str
    reply: Outbox[ServiceStatus | NotAnswered]


@dataclass(frozen=True)
class RunCount:
    """How often one call ran for one key.

    Parameters
    ----------
    call
        Name of the call.
    key
        Idempotency key; the request's identifier where none was given.
    request
        Request of the last run.
    count
        Number of runs.

    """

    call: CallName
    key: str
    request: RequestId
    count: int


@dataclass(frozen=True)
class RecordRequested:
    """A test asks for the runs."""

    reply: Outbox[tuple[RunCount, ...]]


ServiceMessage = (
    CallRequested
    | ConnectionHeld
    | ModeSet
    | BlockedClientsSet
    | StatusRequested
    | RecordRequested
)

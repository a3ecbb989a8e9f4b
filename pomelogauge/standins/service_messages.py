"""Messages to the task that owns the state of a service stand-in."""

from dataclasses import dataclass
from enum import StrEnum

from cheroot.server import HTTPConnection

from ..model.ids import CallName, Incarnation, RequestId
from ..tasks.mailbox import Outbox


class ServiceModeName(StrEnum):
    """Fault mode of a service.

    ``cut_before`` drops the connection without running the call;
    ``cut_after`` runs it first. ``refuse`` responds that it was not run.
    """

    UP = 'up'
    HANG = 'hang'
    CUT_BEFORE = 'cut_before'
    CUT_AFTER = 'cut_after'
    REFUSE = 'refuse'
    SLOW = 'slow'


@dataclass(frozen=True)
class ServiceMode:
    """Fault mode with its parameters.

    Parameters
    ----------
    mode
        Fault that is simulated.
    delay_s
        Seconds between the run and the response, in mode ``slow``.
    count
        Number of calls that the mode applies to; ``None`` for all.

    """

    mode: ServiceModeName = ServiceModeName.UP
    delay_s: float = 0
    count: int | None = None


class NotAnswered(StrEnum):
    """Why a call gets no regular response."""

    CUT = 'cut'
    HELD = 'held'
    REFUSED = 'refused'


@dataclass(frozen=True)
class CallRan:
    """The call ran; ``run`` counts the runs for its key."""

    run: int


@dataclass(frozen=True)
class CallRequested:
    """Requests a run of a call.

    Parameters
    ----------
    call
        Name of the call.
    key
        Idempotency key; empty for none.
    request
        Request identifier given by the client.
    client
        Name of the calling node, for blocked links.
    reply
        Receives exactly one reply.

    """

    call: CallName
    key: str
    request: RequestId
    client: str
    reply: Outbox[CallRan | NotAnswered]


@dataclass(frozen=True)
class ConnectionHeld:
    """Hands over a connection that is held open without a response."""

    connection: HTTPConnection


@dataclass(frozen=True)
class ModeSet:
    """Sets the fault mode."""

    mode: ServiceMode


@dataclass(frozen=True)
class BlockedClientsSet:
    """Replaces the set of blocked clients."""

    clients: frozenset[str]


@dataclass(frozen=True)
class ServiceStatus:
    """Body of ``GET /v1/status``."""

    instance: str
    incarnation: Incarnation
    running: int
    capacity: int
    age_s: float = 0


@dataclass(frozen=True)
class StatusRequested:
    """Requests the status."""

    client: str
    reply: Outbox[ServiceStatus | NotAnswered]


@dataclass(frozen=True)
class RunCount:
    """Number of runs of a call for one key.

    Parameters
    ----------
    call
        Name of the call.
    key
        Idempotency key; the request's identifier where none was given.
    request
        Identifier of the request of the last run.
    count
        Number of runs.

    """

    call: CallName
    key: str
    request: RequestId
    count: int


@dataclass(frozen=True)
class RecordRequested:
    """Requests the run counts."""

    reply: Outbox[tuple[RunCount, ...]]


ServiceMessage = (
    CallRequested
    | ConnectionHeld
    | ModeSet
    | BlockedClientsSet
    | StatusRequested
    | RecordRequested
)

"""The record of a run: frozen events and their checkers."""

from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass
from typing import Protocol, TypeVar

# Times are seconds since the start of the run by the clock of the tool, which
# sends, receives and reads everything that is recorded.


@dataclass(frozen=True)
class RunBegun:
    """A run began.

    Parameters
    ----------
    at_s
        Time of the event.
    name
        What runs.
    seed
        Of the run's random source.
    fence_checked
        The engines refuse orders with an old fencing number.

    """

    at_s: float
    name: str
    seed: int
    fence_checked: bool = True


@dataclass(frozen=True)
class FaultMade:
    """The tool made or ended a fault, or acted as an operator.

    Parameters
    ----------
    at_s
        Time after the fault took effect.
    kind
        Such as ``kill``, ``pause``, ``resume``, ``cut``, ``heal``, ``mode``,
        ``leaving``, ``drain``, ``return`` or ``publish``.
    subject
        Process, link or data centre.
    detail
        Such as the name of a mode.

    """

    at_s: float
    kind: str
    subject: str
    detail: str = ''


@dataclass(frozen=True)
class ChatSent:
    """A caller sends a chat request.

    Parameters
    ----------
    at_s
        Time before the request was sent.
    caller
        Names this request in the record.
    organisation
        Whose key it carries.
    prompt
        Content of its only message.
    max_tokens
        Bound of the answer; the stand-ins use it up.

    """

    at_s: float
    caller: str
    organisation: str
    prompt: str
    max_tokens: int


@dataclass(frozen=True)
class TokenHeard:
    """A caller has read so many tokens of its answer."""

    at_s: float
    caller: str
    count: int


@dataclass(frozen=True)
class ChatAnswered:
    """A caller got an answer with its explicit end.

    Parameters
    ----------
    at_s
        Time after the end.
    caller
        As in ``ChatSent``.
    request
        Identifier that the router gave.
    text
        The answer.
    token_times_s
        Seconds from the sending to each token.

    """

    at_s: float
    caller: str
    request: str
    text: str
    token_times_s: tuple[float, ...] = ()


@dataclass(frozen=True)
class CallSent:
    """A caller sends a call to a plain service.

    Parameters
    ----------
    at_s
        Time before the call was sent.
    caller
        Names this try in the record; a repeat has its own.
    organisation
        Whose key it carries.
    service, call
        What is called.
    key
        Idempotency key.
    idempotent
        The manifest lets the call run twice.
    body
        JSON text of the body.
    router
        Router that it was sent to; empty when the client chose.

    """

    at_s: float
    caller: str
    organisation: str
    service: str
    call: str
    key: str
    idempotent: bool
    body: str = ''
    router: str = ''


@dataclass(frozen=True)
class CallAnswered:
    """A caller got the answer of a plain service; ``body`` is JSON text."""

    at_s: float
    caller: str
    body: str


@dataclass(frozen=True)
class Failed:
    """A caller's chat request or call got no whole answer.

    Parameters
    ----------
    at_s
        Time of the refusal or the loss.
    caller
        As in ``ChatSent`` or ``CallSent``.
    code
        Code of the refusal, or ``unreachable`` or ``cut``.
    execution
        ``not_run``, ``may_have_run`` or ``ran``.
    message
        What the router said.
    request
        Identifier that the router gave; empty when unknown.

    """

    at_s: float
    caller: str
    code: str
    execution: str
    message: str = ''
    request: str = ''


@dataclass(frozen=True)
class EngineSeen:
    """An engine's own report, read from outside.

    Parameters
    ----------
    asked_at_s
        Time before the engine was asked.
    at_s
        Time after its answer.
    instance
        Its name.
    incarnation
        Changes with every restart and fall.
    state
        ``empty``, ``loading`` or ``ready``.
    replica, epoch, rank
        What it believes.
    running
        Requests in progress.

    """

    asked_at_s: float
    at_s: float
    instance: str
    incarnation: str
    state: str
    replica: str
    epoch: int
    rank: int
    running: int


@dataclass(frozen=True)
class EngineStreamed:
    """An engine's record of one stream that it served.

    Parameters
    ----------
    at_s
        Time at which the record was read.
    instance
        Leader of the replica.
    request
        Identifier of the request.
    replica
        Replica that served.
    first, next_index
        Tokens sent, the second one not included.
    end
        ``whole``, ``cut`` or ``cancelled``.

    """

    at_s: float
    instance: str
    request: str
    replica: str
    first: int
    next_index: int
    end: str


@dataclass(frozen=True)
class EngineCounted:
    """An engine's counts at the time its record was read.

    Parameters
    ----------
    at_s
        Time at which the record was read.
    instance
        Its name.
    overfed
        Requests beyond what it bore.
    peak_running
        Most requests at once.

    """

    at_s: float
    instance: str
    overfed: int
    peak_running: int


@dataclass(frozen=True)
class ServiceRan:
    """A plain service's count of one call under one key.

    Parameters
    ----------
    at_s
        Time at which the record was read.
    instance
        The service's instance.
    call, key, request
        What it ran; the request is the last one.
    count
        How often it ran at this instance.

    """

    at_s: float
    instance: str
    call: str
    key: str
    request: str
    count: int


@dataclass(frozen=True)
class MemberRowSeen:
    """A row of ``members``, read in one scan of the table.

    Parameters
    ----------
    asked_at_s
        Time before the scan was asked.
    at_s
        Time after its answer.
    instance
        Key of the row.
    version
        Row version.
    replica, epoch
        What the row claims.

    """

    asked_at_s: float
    at_s: float
    instance: str
    version: int
    replica: str
    epoch: int


@dataclass(frozen=True)
class ReplicaRowSeen:
    """A row of ``replicas``; ``members`` are instances by rank."""

    asked_at_s: float
    at_s: float
    slot: str
    version: int
    replica: str
    deployment: str
    epoch: int
    shard: str
    members: tuple[str, ...]


@dataclass(frozen=True)
class LeaseRowSeen:
    """A row of ``leases``."""

    asked_at_s: float
    at_s: float
    shard: str
    version: int
    holder: str
    epoch: int


@dataclass(frozen=True)
class VersionSeen:
    """What a router or controller says of its configuration.

    Parameters
    ----------
    asked_at_s
        Time before the process was asked.
    at_s
        Time after its answer.
    node
        The process.
    incarnation
        Changes with every restart.
    version
        Version in force.
    phase
        Phase of the process.

    """

    asked_at_s: float
    at_s: float
    node: str
    incarnation: str
    version: int
    phase: str


@dataclass(frozen=True)
class VersionPublished:
    """An operators' command was told that its version is published."""

    at_s: float
    version: int
    publisher: str


@dataclass(frozen=True)
class DataCentreOf:
    """Where an instance stands, so that checkers can tell."""

    at_s: float
    instance: str
    role: str
    data_centre: str


Event = (
    RunBegun
    | FaultMade
    | ChatSent
    | TokenHeard
    | ChatAnswered
    | CallSent
    | CallAnswered
    | Failed
    | EngineSeen
    | EngineStreamed
    | EngineCounted
    | ServiceRan
    | MemberRowSeen
    | ReplicaRowSeen
    | LeaseRowSeen
    | VersionSeen
    | VersionPublished
    | DataCentreOf
)

EventT = TypeVar('EventT')


@dataclass(frozen=True)
class Breach:
    """A promise that a record shows broken.

    Parameters
    ----------
    checker
        Name of the checker.
    at_s
        Time of the event that shows it.
    message
        One sentence.

    """

    checker: str
    at_s: float
    message: str

    def __str__(self) -> str:
        """Render as one line."""
        return f'{self.checker} at {self.at_s:.3f} s: {self.message}'


class Checker(Protocol):
    """Looks for one kind of breach in a whole record."""

    name: str

    def check(self, events: Sequence[Event]) -> Iterator[Breach]:
        """Yield every breach; the events are in the order of their times."""


def events_of(
    kind: type[EventT],
    events: Iterable[Event],
) -> Iterator[EventT]:
    """Yield the events of one type, in their order."""
    for event in events:
        if isinstance(event, kind):
            yield event


def check_record(
    checkers: Iterable[Checker],
    events: Sequence[Event],
) -> tuple[Breach, ...]:
    """Return what checkers find, in the order of time."""
    ordered = sorted(events, key=lambda event: event.at_s)
    found = [
        breach for checker in checkers for breach in checker.check(ordered)
    ]
    return tuple(sorted(found, key=lambda breach: breach.at_s))

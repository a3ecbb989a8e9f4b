"""Messages between the tasks of an entry instance."""

from dataclasses import dataclass
from enum import StrEnum

from ..decide.serving_rules import Denial
from ..model.entry_request import AdmittedRequest, TargetAddress, TargetLoad
from ..model.fleet import EntryInstance
from ..model.ids import (
    Epoch,
    GroupName,
    ModelName,
    RowVersion,
    ServiceName,
    TargetName,
)
from ..model.rows import Rows
from ..tasks.mailbox import Outbox
from ..tasks.messages import PhaseChanged, RunningCountRequested
from .owner_link import EntryReport, MembershipSnapshot
from .store import StoreError, Table
from .table_deltas import TableDeltas, TableVersions


@dataclass(frozen=True)
class TableRead:
    """What one read of a table gave.

    Parameters
    ----------
    table
        Which table.
    rows
        All its rows, or those that changed.
    is_whole
        All rows; a row that is missing is gone.
    began_s
        When the read began, by the own clock.
    was_away
        The store had not answered for a while before.

    """

    table: Table
    rows: Rows
    is_whole: bool
    began_s: float
    was_away: bool


@dataclass(frozen=True)
class TableReadFailed:
    """A read of a table failed."""

    table: Table
    error: StoreError


@dataclass(frozen=True)
class WatchRequested:
    """Another instance asks the owner for news of the followed tables.

    Parameters
    ----------
    known_versions
        Versions that it knows.
    reply
        Gets the news; ``None`` where this instance has none to tell.

    """

    known_versions: TableVersions
    reply: Outbox[TableDeltas | None]


@dataclass(frozen=True)
class InstancesObserved:
    """The entry instances that live, this one among them."""

    instances: tuple[EntryInstance, ...]


@dataclass(frozen=True)
class InstanceLeaving:
    """Tells that the own instance ends."""


@dataclass(frozen=True)
class TargetsSuspected:
    """Targets were silent or lost a request."""

    targets: frozenset[TargetName]


@dataclass(frozen=True)
class ReportReceived:
    """Another instance has reported to this one.

    Parameters
    ----------
    report
        What it says.
    reply
        Gets the roll; ``None`` where this instance is not the owner.

    """

    report: EntryReport
    reply: Outbox[MembershipSnapshot | None]


@dataclass(frozen=True)
class OwnerAnswerReceived:
    """The owner has answered a report.

    Parameters
    ----------
    term
        Its term.
    renewal_version
        Row version of its last renewal.

    """

    term: int
    renewal_version: RowVersion


@dataclass(frozen=True)
class OwnerAnswerMissed:
    """The owner has not answered a report.

    Parameters
    ----------
    term
        Term of the owner that was asked.
    is_refused
        Nothing listens there, or the process is not the owner.

    """

    term: int
    is_refused: bool


InstanceMembershipMessage = ReportReceived | TargetsSuspected | InstanceLeaving
DeltaServerMessage = TableRead | TableReadFailed | WatchRequested
FleetPublisherMessage = TableRead | TableReadFailed | InstancesObserved


@dataclass(frozen=True)
class SlotGranted:
    """A request may be sent to this target."""

    destination: TargetAddress


@dataclass(frozen=True)
class SlotDenied:
    """No target may be sent the request now.

    Parameters
    ----------
    denial
        Why.
    retry_after_s
        When there may be room.

    """

    denial: Denial
    retry_after_s: float


SlotAnswer = SlotGranted | SlotDenied


@dataclass(frozen=True)
class SlotRequested:
    """A request wants a target.

    Parameters
    ----------
    admitted
        The request.
    tried
        Targets that it has been sent to.
    is_retry
        It has been sent to a target before.
    reply
        Where the answer goes.

    """

    admitted: AdmittedRequest
    tried: frozenset[TargetName]
    is_retry: bool
    reply: Outbox[SlotAnswer]


class Outcome(StrEnum):
    """How a target did with a request."""

    ANSWERED = 'answered'
    TURNED_AWAY = 'turned_away'
    UNREACHED = 'unreached'
    LOST = 'lost'
    NO_ANSWER = 'silent'
    LEFT = 'left'


@dataclass(frozen=True)
class LoadReceived:
    """A target stated its load."""

    target: TargetName
    load: TargetLoad


@dataclass(frozen=True)
class SlotReleased:
    """A request has left a target."""

    target: TargetName
    outcome: Outcome


DispatchMessage = (
    SlotRequested
    | LoadReceived
    | SlotReleased
    | RunningCountRequested
    | PhaseChanged
)


class OrderKind(StrEnum):
    """Orders to a target; ``PROBE`` asks whether it still holds its seat."""

    JOIN = 'join'
    OPEN = 'open'
    CLOSE = 'close'
    LEAVE = 'leave'
    STAGE = 'stage'
    PROBE = 'ask'


@dataclass(frozen=True)
class Order:
    """One order to one target.

    Parameters
    ----------
    kind
        What to do.
    service
        Service of the target.
    target
        Who is to do it.
    group, epoch
        The group that it concerns; empty and zero to stage.
    model
        Model to join or to stage.
    members
        Member list of a join, the head first.

    """

    kind: OrderKind
    service: ServiceName
    target: TargetName
    group: GroupName = GroupName('')
    epoch: Epoch = Epoch(0)
    model: ModelName = ModelName('')
    members: tuple[TargetName, ...] = ()


class OrderOutcome(StrEnum):
    """What became of an order.

    ``REFUSED``: the target's state does not fit. ``REPLACED``: another target, or
    another life of this one, is there. ``CLOSED``: nothing listens there; a
    target that leaves may still work on what it has. ``NO_ANSWER``: no answer;
    it may be carried out later.
    """

    TAKEN = 'taken'
    REFUSED = 'refused'
    REPLACED = 'dead'
    CLOSED = 'closed'
    NO_ANSWER = 'silent'


@dataclass(frozen=True)
class OrderSettled:
    """An order has ended."""

    order: Order
    outcome: OrderOutcome


@dataclass(frozen=True)
class FleetChanged:
    """What is known of the fleet has changed."""


OwnerMessage = (
    FleetChanged
    | OrderSettled
    | InstancesObserved
    | OwnerAnswerReceived
    | OwnerAnswerMissed
    | TargetsSuspected
)

"""Messages between the tasks of an entry instance."""

from dataclasses import dataclass
from enum import StrEnum

from ..model.entry_request import TargetAddress
from ..model.fleet import EntryInstance
from ..model.ids import (
    Epoch,
    GroupName,
    ModelName,
    PromptPart,
    ServiceName,
    TargetName,
)
from ..model.prompt_parts import PartEvidence, PartVerdicts
from ..model.rows import Rows
from ..model.store_version import StoreVersion
from ..model.target_limits import TargetLimit
from ..tasks.mailbox import Outbox
from .owner_link import EntryReport, MembershipSnapshot
from .store import StoreError, Table
from .table_deltas import TableDeltas, TableVersions


@dataclass(frozen=True)
class TableRead:
    """Result of one read of a table, from the store or from the owner.

    Parameters
    ----------
    table
        The table that was read.
    rows
        All its rows where ``is_whole``, otherwise those that changed.
    is_whole
        Whether rows that are missing here have been removed.
    as_of_s
        Time of the local clock. The rows are at least as new as that.
    was_away
        Whether the store had not answered for so long before that targets
        may have expired although they are alive.

    """

    table: Table
    rows: Rows
    is_whole: bool
    as_of_s: float
    was_away: bool


@dataclass(frozen=True)
class TableReadFailed:
    """A read of a table from the store failed; it will be retried."""

    table: Table
    error: StoreError


@dataclass(frozen=True)
class WatchRequested:
    """Another instance asks the owner for deltas of the watched tables.

    Parameters
    ----------
    known_versions
        Table versions that the other instance has.
    reply
        Where the deltas are posted; ``None`` if this instance is not the
        owner or has not read all tables yet.

    """

    known_versions: TableVersions
    reply: Outbox[TableDeltas | None]


@dataclass(frozen=True)
class InstancesObserved:
    """The set of living entry instances changed; this one is among them.

    Parameters
    ----------
    instances
        The living instances.
    is_listed
        Whether an owner has listed them; not at the start, when an instance
        knows only itself.

    """

    instances: tuple[EntryInstance, ...]
    is_listed: bool = True


@dataclass(frozen=True)
class InstanceLeaving:
    """Notice that this instance is shutting down and takes no new callers."""


@dataclass(frozen=True)
class TargetsSuspected:
    """Targets stalled or failed a request; the owner should probe them."""

    targets: frozenset[TargetName]


@dataclass(frozen=True)
class SuspectsShared:
    """Several instances suspect these targets; all should avoid them."""

    targets: frozenset[TargetName]


@dataclass(frozen=True)
class ReportReceived:
    """Another instance has reported to this one as the owner.

    Parameters
    ----------
    report
        The report.
    reply
        Where the membership snapshot is posted; ``None`` if this instance
        is not the owner.

    """

    report: EntryReport
    reply: Outbox[MembershipSnapshot | None]


@dataclass(frozen=True)
class OwnerAnswerReceived:
    """The owner has answered a report.

    Parameters
    ----------
    term
        Term of the owner.
    renewal_version
        Row version of the owner's last lease renewal.

    """

    term: int
    renewal_version: StoreVersion


@dataclass(frozen=True)
class OwnerAnswerMissed:
    """The owner has not answered a report.

    Parameters
    ----------
    term
        Term of the owner to which the report was sent.

    """

    term: int


@dataclass(frozen=True)
class AnswerLost:
    """A target's connection broke before its answer was whole.

    Parameters
    ----------
    destination
        The target.
    parts
        Parts of the request's prompt that other requests may have too.

    """

    destination: TargetAddress
    parts: tuple[PromptPart, ...]


@dataclass(frozen=True)
class PartsServed:
    """A request with these parts was answered wholly.

    Parameters
    ----------
    parts
        Parts of the request's prompt that other requests may have too.
    began_s
        Time of the local clock at which the answer began.

    """

    parts: tuple[PromptPart, ...]
    began_s: float


@dataclass(frozen=True)
class AnswerUnderWay:
    """A target has been sending an answer for some time.

    Parameters
    ----------
    parts
        Parts of the request's prompt that other requests may have too.
    began_s
        Time of the local clock at which the answer began.

    """

    parts: tuple[PromptPart, ...]
    began_s: float


@dataclass(frozen=True)
class PartsJudged:
    """The owner's verdicts on parts of prompts have changed."""

    verdicts: PartVerdicts


@dataclass(frozen=True)
class PartsRestored:
    """Parts that the store has as quarantined, read by a new owner."""

    parts: frozenset[PromptPart]


PartMessage = AnswerLost | AnswerUnderWay | PartsServed | PartsJudged
InstanceMembershipMessage = (
    ReportReceived
    | TargetsSuspected
    | InstanceLeaving
    | PartEvidence
    | PartsRestored
    | TargetLimit
)
DeltaServerMessage = (
    TableRead | TableReadFailed | WatchRequested | SuspectsShared
)
FleetPublisherMessage = (
    TableRead | TableReadFailed | InstancesObserved | PartsJudged
)


class OrderKind(StrEnum):
    """Orders to a target.

    ``JOIN``: load the model and become a member of a group. ``OPEN`` and
    ``CLOSE``: start or stop serving, sent to the head. ``LEAVE``: give up
    the membership. ``STAGE``: copy a model to the target's host. ``PROBE``:
    report whether the target is still a member; changes nothing.
    """

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
        The operation.
    service
        Service of the target.
    target
        The target that carries out the order.
    group, epoch
        The group that the order is about; empty and zero for ``STAGE``.
    model
        Model to load or to stage.
    members
        All members of the group, the head first; empty for ``STAGE``.
    term
        Term of the owner that has issued the order.

    """

    kind: OrderKind
    service: ServiceName
    target: TargetName
    group: GroupName = GroupName('')
    epoch: Epoch = Epoch(0)
    model: ModelName = ModelName('')
    members: tuple[TargetName, ...] = ()
    term: int = 0


class OrderOutcome(StrEnum):
    """Outcome of an order.

    ``TAKEN``: accepted. ``REFUSED``: not possible in the target's state.
    ``FAILED``: an error that says nothing of the target's state.
    ``REPLACED``: another target, or a later incarnation of this one, listens
    at the address. ``CLOSED``: the connection was refused, by the target or
    on the way to it; the target may still work on its requests.
    ``NO_ANSWER``: timed out; the target may still carry out the order later.
    ``WITHHELD``: not sent, as the lease under which it was issued had ended.
    """

    TAKEN = 'taken'
    REFUSED = 'refused'
    FAILED = 'failed'
    REPLACED = 'dead'
    CLOSED = 'closed'
    NO_ANSWER = 'silent'
    WITHHELD = 'withheld'


@dataclass(frozen=True)
class OrderSettled:
    """An order has its final outcome.

    Parameters
    ----------
    order, outcome
        The order and its outcome.
    sent_s
        Time of the local clock right before it was sent. The outcome may be
        read much later.

    """

    order: Order
    outcome: OrderOutcome
    sent_s: float = float('-inf')


@dataclass(frozen=True)
class FleetChanged:
    """A new state of the fleet has been published."""


OwnerMessage = (
    FleetChanged
    | OrderSettled
    | InstancesObserved
    | OwnerAnswerReceived
    | OwnerAnswerMissed
    | TargetsSuspected
    | PartsJudged
)

"""Checks of a recorded history of leases, rows, orders and served groups."""

from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass

from ..model.ids import Epoch, InstanceName, NodeName, ShardName
from ..model.placement import EngineState, EngineStatus, Membership, Replica


@dataclass(frozen=True)
class LeaseTaken:
    """A lease row was written with a higher epoch."""

    at_s: float
    shard: ShardName
    epoch: Epoch


@dataclass(frozen=True)
class LeaseBelieved:
    """A controller counts on its lease until then, in the recorder's time."""

    at_s: float
    shard: ShardName
    holder: NodeName
    epoch: Epoch
    until_s: float


@dataclass(frozen=True)
class LeaseDropped:
    """A controller counts on its lease no more."""

    at_s: float
    shard: ShardName
    epoch: Epoch


@dataclass(frozen=True)
class RowsWritten:
    """A holder's transaction took effect; all rows after it.

    Parameters
    ----------
    at_s
        Recorder's time.
    shard, lease_epoch
        Lease that the writer acted under.
    replicas, memberships
        All rows.

    """

    at_s: float
    shard: ShardName
    lease_epoch: Epoch
    replicas: tuple[Replica, ...]
    memberships: tuple[Membership, ...]


@dataclass(frozen=True)
class OrderTaken:
    """An engine accepted an order.

    Parameters
    ----------
    at_s
        Recorder's time.
    shard, lease_epoch
        Lease that the sender acted under.
    before
        The engine's report before the order.
    epoch
        Fencing number of the order.
    checks_fence
        The engine refuses old fencing numbers.

    """

    at_s: float
    shard: ShardName
    lease_epoch: Epoch
    before: EngineStatus
    epoch: Epoch
    checks_fence: bool


@dataclass(frozen=True)
class GroupServed:
    """A replica was offered to routers; its members' own reports then."""

    at_s: float
    replica: Replica
    reports: tuple[EngineStatus, ...]


Event = (
    LeaseTaken
    | LeaseBelieved
    | LeaseDropped
    | RowsWritten
    | OrderTaken
    | GroupServed
)


@dataclass(frozen=True)
class Violation:
    """A broken promise and where the history shows it."""

    at_s: float
    message: str


#: Until when each epoch of one shard is counted on.
_Beliefs = dict[Epoch, float]


def check_control(history: Sequence[Event]) -> tuple[Violation, ...]:
    """Return all violations of a history, in the order of the checks."""
    return (
        *find_partial_groups(history),
        *find_shared_instances(history),
        *find_old_actions(history),
        *find_double_holders(history),
    )


def find_partial_groups(history: Iterable[Event]) -> Iterator[Violation]:
    """Yield each offer of a replica whose members did not all agree."""
    for event in history:
        if isinstance(event, GroupServed):
            missing = _missing(event)
            if missing:
                names = ', '.join(missing)
                yield Violation(
                    event.at_s,
                    f'{event.replica.replica} served without {names}',
                )


def find_shared_instances(history: Iterable[Event]) -> Iterator[Violation]:
    """Yield each write after which replicas and members disagree."""
    for event in history:
        if isinstance(event, RowsWritten):
            for message in _row_faults(event):
                yield Violation(event.at_s, message)


def find_old_actions(history: Iterable[Event]) -> Iterator[Violation]:
    """Yield each write or order of a former holder that took effect.

    An engine that checks fencing numbers may accept a late order of a former
    holder as long as its number does not fall.
    """
    newest: dict[ShardName, Epoch] = {}
    for event in history:
        match event:
            case LeaseTaken():
                newest[event.shard] = event.epoch
            case RowsWritten() if event.lease_epoch < newest[event.shard]:
                yield Violation(
                    event.at_s, f'{event.shard}: write of old lease'
                )
            case OrderTaken() if _is_old(event, newest[event.shard]):
                name = event.before.instance
                yield Violation(event.at_s, f'{name} took an old order')


def find_double_holders(history: Iterable[Event]) -> Iterator[Violation]:
    """Yield each time at which two holders count on one shard."""
    shards: dict[ShardName, _Beliefs] = {}
    for event in history:
        match event:
            case LeaseBelieved():
                beliefs = shards.setdefault(event.shard, {})
                yield from _contradicted(event, beliefs)
                beliefs[event.epoch] = event.until_s
            case LeaseDropped():
                beliefs = shards.setdefault(event.shard, {})
                beliefs.pop(event.epoch, None)


def _contradicted(
    event: LeaseBelieved,
    beliefs: _Beliefs,
) -> Iterator[Violation]:
    for epoch, until_s in beliefs.items():
        if epoch != event.epoch and until_s > event.at_s:
            yield Violation(
                event.at_s,
                f'{event.shard} is held by epochs {epoch} and {event.epoch}',
            )


def _missing(event: GroupServed) -> tuple[InstanceName, ...]:
    replica = event.replica
    agreeing = {
        report.instance
        for report in event.reports
        if report.state is EngineState.READY
        and (report.replica, report.epoch) == (replica.replica, replica.epoch)
    }
    names = [member.instance for member in replica.members]
    return tuple(name for name in names if name not in agreeing)


def _row_faults(event: RowsWritten) -> Iterator[str]:
    owners: dict[InstanceName, list[str]] = {}
    for replica in event.replicas:
        for member in replica.members:
            owners.setdefault(member.instance, []).append(replica.replica)
    rows = {row.instance: row.replica for row in event.memberships}
    for instance, named in owners.items():
        if len(named) > 1:
            yield f'{instance} is in {" and ".join(named)}'
        if rows.get(instance) != named[0]:
            yield f'the row of {instance} does not name {named[0]}'
    for instance, named_by_row in rows.items():
        if named_by_row and instance not in owners:
            yield f'the row of {instance} names {named_by_row}, which is gone'


def _is_old(event: OrderTaken, newest: Epoch) -> bool:
    if event.checks_fence:
        return event.epoch < event.before.epoch
    return event.lease_epoch < newest

"""Deals with groups that targets name and that have no record."""

from collections.abc import Container, Iterable
from dataclasses import dataclass, replace

from ..decide.unrecorded_groups import UnrecordedGroup, unrecorded_groups
from ..model.fleet import Fleet, GroupRecord
from ..model.ids import GroupName, TargetName
from ..model.log_parts import Part
from ..tasks.log import part_logger
from .group_orders import GroupOrders

#: Seconds for which a group must have been without a record before its members
#: are ordered to leave. The list of targets lags behind the records.
NOTICED_S = 0.5
#: Seconds after which the members are ordered to leave once more.
LEAVE_INTERVAL_S = 3.0

_log = part_logger(Part.GROUPS)


@dataclass(frozen=True)
class _Stray:
    """When a group was noticed, and when its members were last ordered."""

    since_s: float
    ordered_s: float = float('-inf')


class StrayGroups:
    """Groups without a record; used by the owner task.

    A serving group is recorded again once all its members are listed. The
    members of any other one are ordered to leave, since a late order of a
    former owner may let its head serve. None of them may join another group as
    long as it lists itself in this one: a head that is not listed may serve
    callers all the same.

    Parameters
    ----------
    orders
        Sends the orders to leave.

    """

    def __init__(self, orders: GroupOrders) -> None:
        """Start without groups."""
        self._orders = orders
        self._strays: dict[GroupName, _Stray] = {}
        self._ended: frozenset[GroupName] = frozenset()
        self._groups: tuple[UnrecordedGroup, ...] = ()

    def record_end(self, names: Iterable[GroupName]) -> None:
        """Record that groups have ended; their members are free."""
        self._ended |= frozenset(names)

    def update(
        self, fleet: Fleet, recorded: Container[GroupName], now_s: float
    ) -> tuple[GroupRecord, ...]:
        """Order members to leave; return the groups to record again.

        Parameters
        ----------
        fleet
            Newest state of the fleet.
        recorded
            Names of the groups that have a record.
        now_s
            Present time of the owner's clock.

        """
        unrecorded = unrecorded_groups(fleet, recorded)
        self._ended &= {group.group for group in unrecorded}
        self._groups = tuple(
            group for group in unrecorded if group.group not in self._ended
        )
        self._strays = {
            group.group: self._strays.get(group.group, _Stray(now_s))
            for group in self._groups
        }
        for group in self._groups:
            if not group.is_serving():
                self._leave(group, now_s)
        return tuple(
            sound.record() for sound in self._groups if _may_own(sound, fleet)
        )

    def members(self) -> frozenset[TargetName]:
        """Return the targets that list themselves in these groups."""
        return frozenset(
            member.name for group in self._groups for member in group.members
        )

    def _leave(self, group: UnrecordedGroup, now_s: float) -> None:
        stray = self._strays[group.group]
        is_new = now_s - stray.since_s < NOTICED_S
        if is_new or now_s - stray.ordered_s < LEAVE_INTERVAL_S:
            return
        self._strays[group.group] = replace(stray, ordered_s=now_s)
        record = group.record()
        _log.info(
            'group %s has no record and does not serve: its members leave',
            group.group,
            extra={
                'group': group.group,
                'epoch': group.epoch,
                'members': [member.target for member in record.members],
            },
        )
        self._orders.leave(record)


def _may_own(group: UnrecordedGroup, fleet: Fleet) -> bool:
    """Return whether a group serves and its members are all known."""
    if not group.is_serving() or fleet.config is None:
        return False
    service = fleet.config.services.get(group.members[0].service)
    return service is not None and group.is_complete(service.engine)

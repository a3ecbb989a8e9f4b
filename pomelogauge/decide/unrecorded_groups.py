"""Finds groups that targets list themselves in and that have no record.

A store that was put back from a copy has lost the latest records; a record may
also be one that can't be read.
"""

from collections import defaultdict
from collections.abc import Container
from dataclasses import dataclass

from ..model.fleet import Fleet, GroupRecord, Member, MembershipState, Target
from ..model.ids import Epoch, GroupName, ModelName
from ..model.serving import EngineSpec

_SERVING = frozenset((MembershipState.OPEN, MembershipState.CLOSING))


@dataclass(frozen=True)
class UnrecordedGroup:
    """Targets that list themselves in one group.

    Parameters
    ----------
    group, epoch
        The group that they name.
    members
        The targets, by their ranks; some may not be listed now.

    """

    group: GroupName
    epoch: Epoch
    members: tuple[Target, ...]

    def is_serving(self) -> bool:
        """Return whether the head is listed and serves."""
        membership = self.members[0].membership
        return (
            membership is not None
            and not membership.rank
            and membership.state in _SERVING
        )

    def is_complete(self, engine: EngineSpec | None) -> bool:
        """Return whether all members are listed and run the same model."""
        head = self.members[0]
        if engine is None or not head.models:
            return False
        spec = engine.model(head.models[0])
        ranks = [
            member.membership.rank
            for member in self.members
            if member.membership is not None
            and member.models[:1] == head.models[:1]
        ]
        return spec is not None and ranks == list(range(spec.size))

    def record(self) -> GroupRecord:
        """Return a record of the members that are listed."""
        head = self.members[0]
        return GroupRecord(
            self.group,
            self.epoch,
            head.service,
            next(iter(head.models), ModelName('')),
            tuple(
                Member(member.name, member.address, member.started_at_ms)
                for member in self.members
            ),
        )


def unrecorded_groups(
    fleet: Fleet, recorded: Container[GroupName]
) -> tuple[UnrecordedGroup, ...]:
    """Return the groups that targets name and that have no record.

    Parameters
    ----------
    fleet
        Targets, with the group that each reports. One that reports its group
        as broken is a member of none.
    recorded
        Names of the groups that have a record. Names are never given out
        twice.

    """
    named: defaultdict[tuple[GroupName, Epoch], list[Target]]
    named = defaultdict(list)
    for target in fleet.targets.values():
        membership = target.membership
        if membership is None or membership.group in recorded:
            continue
        if membership.state is not MembershipState.BROKEN:
            named[membership.group, membership.epoch].append(target)
    return tuple(
        UnrecordedGroup(group, epoch, tuple(sorted(members, key=_rank)))
        for (group, epoch), members in named.items()
    )


def _rank(target: Target) -> int:
    return 0 if target.membership is None else target.membership.rank

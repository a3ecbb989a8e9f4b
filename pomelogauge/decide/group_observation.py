"""Derives the condition of a group from the reports of its members."""

from collections.abc import Mapping
from dataclasses import dataclass

from ..model.fleet import (
    Fleet,
    GroupRecord,
    Member,
    MembershipState,
    ReportedMembership,
    Target,
    TargetState,
)
from ..model.ids import TargetName

_JOINED = frozenset(
    (MembershipState.READY, MembershipState.OPEN, MembershipState.CLOSING)
)

_SERVING = frozenset((MembershipState.OPEN, MembershipState.CLOSING))


@dataclass(frozen=True)
class GroupObservation:
    """Condition of a group at one moment.

    Parameters
    ----------
    joined
        All members report this group as ready, open or closing.
    is_open
        The head reports that it takes requests.
    is_closed
        The head reports that it is ready and takes no requests.
    lost
        Listed members that restarted, report a broken group, or no longer
        report this group after they had joined it. A member that is not
        listed may still be alive and is not among them.
    absent
        Listed members that do not report this group and never have.
    leaving
        Members that drain.
    head_is_listed
        The head is listed with the incarnation in the group's record.

    """

    joined: bool
    is_open: bool
    is_closed: bool
    lost: tuple[TargetName, ...]
    absent: frozenset[TargetName]
    leaving: tuple[TargetName, ...]
    head_is_listed: bool


def observe_group(
    record: GroupRecord,
    fleet: Fleet,
    seen: frozenset[TargetName],
) -> GroupObservation:
    """Compare a group's record with the reports of its members.

    Parameters
    ----------
    record
        Record of the group.
    fleet
        Targets as listed, with the group that each reports.
    seen
        Members that have reported this group before. A member outside it may
        still be joining and isn't lost when it reports no group.

    """
    alive = {
        member.target: target
        for member in record.members
        if (target := listed_incarnation(member, fleet.targets)) is not None
    }
    memberships = {
        name: membership
        for name, target in alive.items()
        if (membership := membership_in(record, target)) is not None
    }
    head = memberships.get(record.head.target)
    return GroupObservation(
        joined=len(memberships) == len(record.members)
        and all(
            membership.state in _JOINED for membership in memberships.values()
        ),
        is_open=head is not None and head.state is MembershipState.OPEN,
        is_closed=head is not None and head.state is MembershipState.READY,
        lost=_lost(record, fleet, memberships, seen),
        absent=frozenset(alive.keys() - memberships.keys() - seen),
        leaving=tuple(
            name
            for name, target in alive.items()
            if target.state is TargetState.DRAINING
        ),
        head_is_listed=record.head.target in alive,
    )


def listed_incarnation(
    member: Member,
    targets: Mapping[TargetName, Target],
) -> Target | None:
    """Return the listed target if its incarnation is the recorded one."""
    target = targets.get(member.target)
    if target is None or target.started_at_ms != member.started_at_ms:
        return None
    return target


def membership_in(
    record: GroupRecord, target: Target
) -> ReportedMembership | None:
    """Return the reported membership if it is of this group and epoch."""
    membership = target.membership
    if membership is None or membership.group != record.group:
        return None
    return membership if membership.epoch == record.epoch else None


def joined_members(record: GroupRecord, fleet: Fleet) -> frozenset[TargetName]:
    """Return the members that report this group and epoch."""
    return frozenset(
        member.target
        for member in record.members
        if (target := listed_incarnation(member, fleet.targets)) is not None
        and membership_in(record, target) is not None
    )


def members_of_serving_groups(fleet: Fleet) -> frozenset[TargetName]:
    """Return the targets that list themselves under a head that serves.

    They are members also where the group has no record that can be read.
    """
    serving = {
        (membership.group, membership.epoch)
        for target in fleet.targets.values()
        if (membership := target.membership) is not None
        and not membership.rank
        and membership.state in _SERVING
    }
    return frozenset(
        target.name
        for target in fleet.targets.values()
        if (membership := target.membership) is not None
        and (membership.group, membership.epoch) in serving
    )


def listed_members(fleet: Fleet) -> frozenset[TargetName]:
    """Return the targets that list themselves in a group that isn't broken."""
    return frozenset(
        target.name
        for target in fleet.targets.values()
        if target.membership is not None and not _is_broken(target.membership)
    )


def restarted_members(
    record: GroupRecord, fleet: Fleet
) -> frozenset[TargetName]:
    """Return the members that are listed with a later start than recorded.

    A target that has started again is a member of no group.
    """
    return frozenset(
        member.target
        for member in record.members
        if (target := fleet.targets.get(member.target)) is not None
        and target.started_at_ms > member.started_at_ms
    )


def _lost(
    record: GroupRecord,
    fleet: Fleet,
    memberships: Mapping[TargetName, ReportedMembership],
    seen: frozenset[TargetName],
) -> tuple[TargetName, ...]:
    head = memberships.get(record.head.target)
    is_open = head is not None and head.state is MembershipState.OPEN
    lost = []
    for member in record.members:
        if member.target not in fleet.targets:
            continue
        membership = memberships.get(member.target)
        # An open head proves that all members had joined, also those whose
        # reports were not seen, as after a change of the owner.
        has_left = membership is None and (is_open or member.target in seen)
        has_restarted = listed_incarnation(member, fleet.targets) is None
        if has_left or has_restarted or _is_broken(membership):
            lost.append(member.target)
    return tuple(lost)


def _is_broken(membership: ReportedMembership | None) -> bool:
    return membership is not None and membership.state is MembershipState.BROKEN

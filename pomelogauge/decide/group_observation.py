"""What the targets' own reports say of a group."""

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


@dataclass(frozen=True)
class GroupObservation:
    """One look at a group.

    Parameters
    ----------
    joined
        All members report the group and are ready or further.
    is_open
        The head takes requests.
    is_closed
        The head is ready and takes none.
    lost
        Members that started again, broke, or report another group after they
        had joined this one.
    leaving
        Members that drain.
    head_is_listed
        The head's life that was recorded is still listed.

    """

    joined: bool
    is_open: bool
    is_closed: bool
    lost: tuple[TargetName, ...]
    leaving: tuple[TargetName, ...]
    head_is_listed: bool


def observe_group(
    record: GroupRecord,
    fleet: Fleet,
    seen: frozenset[TargetName],
) -> GroupObservation:
    """Compare a record with the targets' reports.

    Parameters
    ----------
    record
        The group.
    fleet
        What is known.
    seen
        Members that have reported this group before.

    """
    alive = {
        member.target: target
        for member in record.members
        if (target := listed_incarnation(member, fleet.targets)) is not None
    }
    seats = {
        name: membership
        for name, target in alive.items()
        if (membership := membership_in(record, target)) is not None
    }
    head = seats.get(record.head.target)
    return GroupObservation(
        joined=len(seats) == len(record.members)
        and all(membership.state in _JOINED for membership in seats.values()),
        is_open=head is not None and head.state is MembershipState.OPEN,
        is_closed=head is not None and head.state is MembershipState.READY,
        lost=_lost(record, fleet, seats, seen),
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
    """Return the listed target if it is the member's recorded life."""
    target = targets.get(member.target)
    if target is None or target.started_at_ms != member.started_at_ms:
        return None
    return target


def membership_in(
    record: GroupRecord, target: Target
) -> ReportedMembership | None:
    """Return the target's seat if it is one of this group and epoch."""
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


def _lost(
    record: GroupRecord,
    fleet: Fleet,
    seats: Mapping[TargetName, ReportedMembership],
    seen: frozenset[TargetName],
) -> tuple[TargetName, ...]:
    head = seats.get(record.head.target)
    is_open = head is not None and head.state is MembershipState.OPEN
    lost = []
    for member in record.members:
        if member.target not in fleet.targets:
            continue
        membership = seats.get(member.target)
        # A head opens only after all members have joined.
        has_left = membership is None and (is_open or member.target in seen)
        is_other = listed_incarnation(member, fleet.targets) is None
        if has_left or is_other or _is_broken(membership):
            lost.append(member.target)
    return tuple(lost)


def _is_broken(membership: ReportedMembership | None) -> bool:
    return membership is not None and membership.state is MembershipState.BROKEN

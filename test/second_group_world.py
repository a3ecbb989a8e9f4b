"""A group, its members and a planner that joins each free one elsewhere."""

import math
from collections.abc import Iterator
from dataclasses import dataclass, replace
from enum import Enum

from pomelogauge.decide.group_chart import GroupState
from pomelogauge.decide.group_observation import (
    listed_members,
    members_of_serving_groups,
)
from pomelogauge.entry.messages import OrderKind, OrderOutcome
from pomelogauge.entry.owned_group import LATE_ORDER_S
from pomelogauge.model.fleet import TargetState

from .group_world import (
    LATE_TICKS,
    NAMES,
    SLOW_TIMEOUTS,
    World,
    WorldMember,
    forming,
    joined,
)

#: Orders without an answer that each member may have at once.
LATE_ORDERS = 3


class SecondOrder(Enum):
    """An order about the second group."""

    JOIN = 'join elsewhere'

    def __str__(self) -> str:
        """Return the word that the path of a walk has for it."""
        return self.value


@dataclass(frozen=True)
class PlannedMember(WorldMember):
    """A member that may be joined to a second group.

    Parameters
    ----------
    is_planned
        A group with it is recorded, and an order to join it was posted.
    is_elsewhere
        It has joined that group, whose epoch is higher.

    """

    is_planned: bool = False
    is_elsewhere: bool = False

    def crash(self) -> 'PlannedMember':
        """Return it after its process has ended; the next one knows nothing."""
        return replace(super().crash(), is_elsewhere=False)

    def begin(self, kind: OrderKind | SecondOrder) -> 'PlannedMember':
        """Carry out an order that takes time; a join moves it at once."""
        if kind is SecondOrder.JOIN:
            return self.obey(kind)[0]
        return super().begin(kind)

    def obey(
        self, kind: OrderKind | SecondOrder
    ) -> tuple['PlannedMember', OrderOutcome]:
        """Carry out an order as a target does."""
        if kind is SecondOrder.JOIN:
            joined = replace(self, state=None, forms=0, is_elsewhere=True)
            return joined, OrderOutcome.TAKEN
        if kind is OrderKind.JOIN and self.is_elsewhere:
            return self, OrderOutcome.REFUSED
        return super().obey(kind)


@dataclass(frozen=True)
class SecondGroupWorld(World):
    """The whole at one moment, with a planner.

    Parameters
    ----------
    doubled
        Targets that took the join of the second group while the head of the
        first one served.
    may_open_until_s
        Time until which a head without a readable record may open.

    """

    doubled: tuple[str, ...] = ()
    may_open_until_s: float = -math.inf

    def key(self) -> tuple:
        """Return what decides on all further steps, and what went wrong."""
        return (
            super().key(),
            self.doubled,
            self._age_s(self.may_open_until_s),
        )

    def steps(self) -> Iterator[tuple[str, 'SecondGroupWorld']]:
        """Yield each possible next step and the world after it."""
        for word, after in super().steps():
            yield word, after._after(self)
        held = self._held()
        for index, member in enumerate(self.members):
            if NAMES[index] not in held and self._is_usable(member):
                planned = replace(member, is_planned=True)
                yield (
                    f'{NAMES[index]} is planned elsewhere',
                    self._with(index, planned.queue(SecondOrder.JOIN)),
                )

    def may_join_after_all(self) -> tuple[str, ...]:
        """Return free targets that have joined, or may still carry it out.

        Without those that have ended: no group opens with a later start.
        """
        if self.owned is None:
            return ()
        return tuple(
            name
            for name, member in zip(NAMES, self.members, strict=False)
            if name in self.owned.left
            and member.runs
            and member.incarnation == 1
            and (
                member.state is not None
                or any(kind is OrderKind.JOIN for kind, _ in member.late)
            )
        )

    def _held(self) -> frozenset[str]:
        reserved = self.owned.reserved_members() if self.owned else ()
        held = members_of_serving_groups(self.fleet()).union(reserved)
        if self.now_s <= self.may_open_until_s:
            return held | listed_members(self.fleet())
        return held

    def _is_usable(self, member: PlannedMember) -> bool:
        return (
            not member.is_planned
            and member.listed is not None
            and member.listed.state is TargetState.READY
        )

    def _after(self, before: 'SecondGroupWorld') -> 'SecondGroupWorld':
        """Note the members that a step has joined to a second group."""
        if not before.members[0].serves():
            return self
        doubled = tuple(
            name
            for name, was, now in zip(
                NAMES, before.members, self.members, strict=False
            )
            if was.state is not None
            and now.is_elsewhere
            and not was.is_elsewhere
        )
        return replace(self, doubled=self.doubled + doubled)

    def _settled(
        self,
        index: int,
        member: PlannedMember,
        kind: OrderKind | SecondOrder,
        outcome: OrderOutcome,
        sent_s: float | None = None,
    ) -> 'SecondGroupWorld':
        if kind is SecondOrder.JOIN:
            return self._with(index, member)
        return super()._settled(index, member, kind, outcome, sent_s)

    def _reread(self) -> 'SecondGroupWorld':
        """Start the group anew, unless this owner has released it."""
        if self.owned.state is GroupState.RELEASED:
            return self
        return super()._reread()

    def _succeed(self) -> 'SecondGroupWorld':
        members = tuple(replace(member, queued=()) for member in self.members)
        return World._reread(replace(self, members=members))


def with_planner(world: World) -> SecondGroupWorld:
    """Return a world whose owner joins each free member to another group.

    Each member may have several orders without an answer at once.
    """
    return SecondGroupWorld(
        owned=world.owned,
        members=tuple(_planned(member) for member in world.members),
        now_s=world.now_s,
        stalled_s=world.stalled_s,
        record=world.record,
        late_orders=LATE_ORDERS,
        is_slow=world.is_slow,
    )


def _planned(member: WorldMember) -> PlannedMember:
    return PlannedMember(
        state=member.state,
        path=member.path,
        listed=member.listed,
        queued=member.queued,
        late=member.late,
    )


def given_up() -> SecondGroupWorld:
    """Return a group given up as the tail has not answered the order to join.

    It may still carry it out. The head has joined and can't be reached.
    """
    world = with_planner(forming())
    for word in (
        'head join is answered',
        'tail join is late',
        'the owner acts',
        'head is behind a path that is SILENT',
        'head leave is dropped',
    ):
        world = dict(world.steps())[word]
    return world


def paused() -> SecondGroupWorld:
    """Return the same group just before the order to join is no longer late.

    Its owner reads an answer late.
    """
    world = replace(given_up(), is_paused=True)
    for _ in range(LATE_TICKS):
        world = dict(world.steps())['time passes']
    return world


def unreadable() -> SecondGroupWorld:
    """Return a group whose record its new owner can't read.

    Its head has not answered the order to open.
    """
    world = dict(with_planner(joined()).steps())['head open is late']
    until_s = world.now_s + LATE_ORDER_S + SLOW_TIMEOUTS.opening_s
    return replace(world, owned=None, may_open_until_s=until_s)

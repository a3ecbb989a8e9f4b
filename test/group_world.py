"""A group, its members and its owner as one value, for exhaustive walks."""

import math
from collections.abc import Iterator
from dataclasses import dataclass, replace
from enum import Enum, auto
from functools import cache

from pomelogauge.decide.group_chart import GroupAction, GroupEvent, GroupState
from pomelogauge.decide.group_timeouts import StateTimeouts, state_timeouts
from pomelogauge.entry.messages import (
    Order,
    OrderKind,
    OrderOutcome,
    OrderSettled,
)
from pomelogauge.entry.owned_group import (
    LATE_ORDER_S,
    OwnedGroup,
    load_group_chart,
)
from pomelogauge.model.fleet import (
    Fleet,
    GroupRecord,
    MembershipState,
    Target,
    TargetState,
)

from .entry_fakes import ENGINE, LLM, SMALL, fleet, membership, record, target

CHART = load_group_chart()
#: Seconds after which a head without one of its members breaks.
STALL_S = 3.0
#: Seconds of one step of time; longer than the owner waits before it repeats
#: an order.
TICK_S = 1.6
#: Steps of time within which a member may carry out an order that it has not
#: answered.
LATE_TICKS = 7
#: Times are told apart up to this age in seconds.
LONGEST_AGE_S = 12.0
NAMES = ('head', 'tail', 'last')
RECORD = record('g', list(NAMES[:2]), SMALL)
LARGE_RECORD = record('g', list(NAMES), SMALL)
#: Steps of time within which a head opens where orders take time.
FORMING_TICKS = 3
TIMEOUTS = state_timeouts(RECORD, ENGINE, STALL_S)
SLOW_TIMEOUTS = state_timeouts(
    RECORD, replace(ENGINE, formation_s=FORMING_TICKS * TICK_S), STALL_S
)
SERVES = frozenset((MembershipState.OPEN, MembershipState.CLOSING))


class Path(Enum):
    """What becomes of the owner's connections to a member.

    ``CLEAR``: they reach it. ``SILENT``: their packets are dropped.
    ``REFUSED``: something on the way refuses them.
    """

    CLEAR = auto()
    SILENT = auto()
    REFUSED = auto()


@dataclass(frozen=True)
class WorldMember:
    """One member as it is, and as the owner sees it.

    Parameters
    ----------
    state
        State of its membership of the group; ``None`` for none.
    incarnation
        Number of its start.
    forms
        Steps of time within which it opens; zero if it does not.
    runs, listens, drains
        Whether its process runs, takes connections and is about to end.
    path
        What becomes of the owner's connections.
    listed
        Its row as the owner has last read it; ``None`` if it has lapsed.
    queued
        Orders of the owner that wait to be sent.
    late
        Orders without an answer that it may still carry out, with the steps
        of time that are left for each.
    unread
        Its answer that a paused owner has not read, as the order, the outcome
        and the steps of time since the order was sent.

    """

    state: MembershipState | None = None
    incarnation: int = 1
    forms: int = 0
    runs: bool = True
    listens: bool = True
    drains: bool = False
    path: Path = Path.CLEAR
    listed: Target | None = None
    queued: tuple[OrderKind, ...] = ()
    late: tuple[tuple[OrderKind, int], ...] = ()
    unread: tuple[tuple[OrderKind, OrderOutcome, int], ...] = ()

    def age(self) -> 'WorldMember':
        """Return the member one step of time later."""
        late = tuple((kind, left - 1) for kind, left in self.late if left)
        unread = tuple(
            (kind, outcome, age + 1) for kind, outcome, age in self.unread
        )
        grown = self.finish() if self.forms == 1 else self
        forms = max(grown.forms - 1, 0)
        return replace(grown, forms=forms, late=late, unread=unread)

    def serves(self) -> bool:
        """Return whether it is a head that takes or ends requests."""
        return self.runs and self.state in SERVES

    def crash(self) -> 'WorldMember':
        """Return it after its process has ended.

        An order on the way may reach the next process at its address.
        """
        return replace(self, runs=False, state=None, forms=0)

    def queue(self, kind: OrderKind) -> 'WorldMember':
        """Queue an order, unless the last one is the same."""
        if self.queued[-1:] == (kind,):
            return self
        return replace(self, queued=(*self.queued, kind))

    def obey(self, kind: OrderKind) -> tuple['WorldMember', OrderOutcome]:
        """Carry out an order as a target does."""
        match kind:
            case OrderKind.JOIN:
                ready = replace(self, state=MembershipState.READY, forms=0)
                return ready, OrderOutcome.TAKEN
            case OrderKind.LEAVE if self.state is not None:
                left = replace(self, state=None, forms=0)
                return left, OrderOutcome.TAKEN
            case OrderKind.OPEN if self.state in {
                MembershipState.READY,
                *SERVES,
            }:
                opened = replace(self, state=MembershipState.OPEN, forms=0)
                return opened, OrderOutcome.TAKEN
            case OrderKind.CLOSE if self.state in SERVES:
                closed = replace(self, state=MembershipState.READY)
                return closed, OrderOutcome.TAKEN
            case OrderKind.PROBE if self.state not in {
                None,
                MembershipState.BROKEN,
            }:
                return self, OrderOutcome.TAKEN
        return self, OrderOutcome.REFUSED

    def begin(self, kind: OrderKind) -> 'WorldMember':
        """Carry out an order that takes time, up to its end."""
        obeyed, _ = self.obey(kind)
        match kind:
            case OrderKind.JOIN if obeyed.state is MembershipState.READY:
                return replace(obeyed, state=MembershipState.JOINING)
            case OrderKind.OPEN if self.state is MembershipState.READY:
                return replace(self, forms=self.forms or FORMING_TICKS)
            case OrderKind.CLOSE if self.state is MembershipState.OPEN:
                return replace(self, state=MembershipState.CLOSING)
        return obeyed

    def finish(self) -> 'WorldMember':
        """End what it has begun."""
        if self.forms:
            return replace(self, state=MembershipState.OPEN, forms=0)
        if self.state in {MembershipState.JOINING, MembershipState.CLOSING}:
            return replace(self, state=MembershipState.READY)
        return self


@dataclass(frozen=True)
class World:
    """The whole at one moment.

    Parameters
    ----------
    owned
        The group as its owner tracks it; ``None`` once its record is gone.
    members
        Its members, the head first.
    now_s
        Present time.
    stalled_s
        Time since which an open head lacks a member; infinite if none does.
    record
        Record of the group.
    late_orders
        Orders without an answer that each member may have at once.
    is_paused
        Whether the owner may read the answer to an order to leave late.
    is_slow
        Whether orders may take time after they were answered.

    """

    owned: OwnedGroup | None
    members: tuple[WorldMember, ...]
    now_s: float = 100.0
    stalled_s: float = math.inf
    record: GroupRecord = RECORD
    late_orders: int = 1
    is_paused: bool = False
    is_slow: bool = False

    def key(self) -> tuple:
        """Return what decides on all further steps; times are ages."""
        owned = self.owned
        if owned is None:
            return (None, self.members, self._age_s(self.stalled_s))
        return (
            owned.state,
            owned.reported,
            owned.lost,
            owned.left,
            self._age_s(owned.since_s),
            self._age_s(owned.first_left_s),
            self._age_s(owned.may_open_until_s),
            owned.may_join,
            self._age_s(owned.may_join_until_s),
            self._age_s(owned.reported_s),
            self.members,
            self._age_s(self.stalled_s),
        )

    def wrongly_free(self) -> tuple[str, ...]:
        """Return targets that may be joined elsewhere under a serving head."""
        held = self.owned.reserved_members() if self.owned else ()
        if not self.members[0].serves():
            return ()
        return tuple(
            name
            for name, member in zip(NAMES, self.members, strict=False)
            if member.runs and member.state is not None and name not in held
        )

    def fleet(self) -> Fleet:
        """Return the fleet as the owner has last read it."""
        rows = [member.listed for member in self.members if member.listed]
        return fleet(*rows)

    def steps(self) -> Iterator[tuple[str, 'World']]:
        """Yield each possible next step and the world after it."""
        yield 'time passes', self._tick()
        if self.owned is not None:
            yield 'the owner acts', self._act()
            yield 'another owner', self._succeed()
            yield 'the records are read again', self._reread()
            if self.owned.state is GroupState.SERVING:
                yield 'the head is suspected', self._queue_all(OrderKind.PROBE)
        for index, name in enumerate(NAMES[: len(self.members)]):
            for word, after in self._member_steps(index):
                yield f'{name} {word}', after._settle()

    def _member_steps(self, index: int) -> Iterator[tuple[str, 'World']]:
        member = self.members[index]
        if member.unread:
            yield 'has its answer read', self._read(index)
        elif member.queued:
            yield from self._deliveries(index)
        for word, after in _events(NAMES[index], member, self.is_slow):
            yield word, self._with(index, after)

    def _deliveries(self, index: int) -> Iterator[tuple[str, 'World']]:
        """Send the next order; it may be late, or its answer lost."""
        member = self.members[index]
        kind = member.queued[0]
        rest = replace(member, queued=member.queued[1:])
        none = OrderOutcome.NO_ANSWER
        if member.path is Path.SILENT:
            yield f'{kind} is dropped', self._settled(index, rest, kind, none)
            return
        if member.path is Path.REFUSED or not (member.runs and member.listens):
            closed = OrderOutcome.CLOSED
            yield f'{kind} is refused', self._settled(index, rest, kind, closed)
            if member.path is Path.CLEAR and not member.runs:
                other = OrderOutcome.REPLACED
                yield (
                    f'{kind} reaches another target',
                    self._settled(index, rest, kind, other),
                )
            return
        obeyed, outcome = rest.obey(kind)
        yield f'{kind} is answered', self._settled(index, obeyed, kind, outcome)
        begun = rest.begin(kind) if self.is_slow else obeyed
        if begun != obeyed:
            yield f'{kind} is begun', self._settled(index, begun, kind, outcome)
        if self.is_paused and kind is OrderKind.LEAVE:
            unread = replace(obeyed, unread=((kind, outcome, 0),))
            yield f'{kind} waits to be read', self._with(index, unread)
        if kind is OrderKind.PROBE:
            return
        yield (
            f'{kind} loses its answer',
            self._settled(index, obeyed, kind, none),
        )
        if len(rest.late) < self.late_orders:
            late = replace(rest, late=(*rest.late, (kind, LATE_TICKS)))
            yield f'{kind} is late', self._settled(index, late, kind, none)

    def _read(self, index: int) -> 'World':
        """Read the answer that has waited for the owner."""
        member = self.members[index]
        kind, outcome, age = member.unread[0]
        sent_s = self.now_s - age * TICK_S
        read = replace(member, unread=())
        return self._settled(index, read, kind, outcome, sent_s)

    def _settled(
        self,
        index: int,
        member: WorldMember,
        kind: OrderKind,
        outcome: OrderOutcome,
        sent_s: float | None = None,
    ) -> 'World':
        after = self._with(index, member)
        if after.owned is None:
            return after
        order = Order(
            kind,
            LLM,
            self.record.members[index].target,
            self.record.group,
            self.record.epoch,
        )
        settled = OrderSettled(
            order, outcome, after.now_s if sent_s is None else sent_s
        )
        effect = after.owned.after_outcome(settled, after.now_s)
        after = replace(after, owned=effect.group)
        return after._step(effect.event) if effect.event else after

    def _act(self) -> 'World':
        known = self.fleet()
        owned = self.owned.with_reports(known, self.now_s)
        after: World = replace(self, owned=owned)
        for member in owned.unlisted_members(known):
            after = after._queue(NAMES.index(member.target), OrderKind.PROBE)
        for event in owned.events(known, True, self.now_s):
            after = after._step(event)
        if after.owned.state is GroupState.RELEASED:
            return replace(after, owned=None)
        return after

    def _step(self, event: GroupEvent) -> 'World':
        step = self.owned.after_event(CHART, event, self.now_s)
        after = replace(self, owned=step.group)
        match step.action:
            case GroupAction.OPEN:
                return after._queue(0, OrderKind.OPEN)
            case GroupAction.CLOSE:
                return after._queue(0, OrderKind.CLOSE)
            case GroupAction.LEAVE_HEAD:
                return after._queue(0, OrderKind.LEAVE)
            case GroupAction.LEAVE_MEMBERS:
                return after._queue_all(OrderKind.LEAVE)
        return after

    def _succeed(self) -> 'World':
        """Another owner takes over; orders that wait are not sent."""
        members = tuple(replace(member, queued=()) for member in self.members)
        return replace(self, members=members)._reread()

    def _reread(self) -> 'World':
        """Start the group anew from its record; orders are still sent."""
        owned = adopted(self.now_s, self.record, self.owned.timeouts)
        late_s = self.now_s + LATE_ORDER_S
        return replace(self, owned=owned.with_late_orders(late_s))

    def _tick(self) -> 'World':
        now_s = self.now_s + TICK_S
        members = tuple(member.age() for member in self.members)
        after = replace(self, now_s=now_s, members=members)
        if now_s - self.stalled_s < STALL_S:
            return after._settle()
        broken = replace(members[0], state=MembershipState.BROKEN)
        return after._with(0, broken)._settle()

    def _settle(self) -> 'World':
        """Note since when an open head lacks a member."""
        head, *others = self.members
        lacks = head.serves() and any(
            not member.runs or member.state is None for member in others
        )
        if lacks == math.isfinite(self.stalled_s):
            return self
        return replace(self, stalled_s=self.now_s if lacks else math.inf)

    def _queue(self, index: int, kind: OrderKind) -> 'World':
        return self._with(index, self.members[index].queue(kind))

    def _queue_all(self, kind: OrderKind) -> 'World':
        members = tuple(member.queue(kind) for member in self.members)
        return replace(self, members=members)

    def _with(self, index: int, member: WorldMember) -> 'World':
        members = list(self.members)
        members[index] = member
        return replace(self, members=tuple(members))

    def _age_s(self, at_s: float) -> float:
        return min(round(self.now_s - at_s, 1), LONGEST_AGE_S)


@cache
def _events(
    name: str, member: WorldMember, is_slow: bool
) -> tuple[tuple[str, WorldMember], ...]:
    """Return what may happen to a member without the owner."""
    return tuple(_all_events(name, member, is_slow))


def _all_events(
    name: str, member: WorldMember, is_slow: bool
) -> Iterator[tuple[str, WorldMember]]:
    for path in Path:
        if path is not member.path:
            after = replace(member, path=path)
            yield f'is behind a path that is {path.name}', after
    if member.listed is not None:
        yield 'lapses', replace(member, listed=None)
    if member.finish() != member:
        yield 'finishes', member.finish()
    if member.runs:
        yield from _own_events(name, member, is_slow)
    elif member.incarnation == 1:
        yield (
            'starts again',
            replace(
                member, runs=True, listens=True, drains=False, incarnation=2
            ),
        )


def _own_events(
    name: str, member: WorldMember, is_slow: bool
) -> Iterator[tuple[str, WorldMember]]:
    """Yield what a process that runs may do."""
    row = _row(name, member)
    if row != member.listed:
        yield 'reports', replace(member, listed=row)
    for index, (kind, _) in enumerate(member.late):
        others = member.late[:index] + member.late[index + 1 :]
        alone = replace(member, late=others)
        obeyed, _ = alone.obey(kind)
        yield f'carries out {kind} late', obeyed
        begun = alone.begin(kind)
        if is_slow and begun != obeyed:
            yield f'begins {kind} late', begun
    yield 'crashes', member.crash()
    if not member.drains:
        yield 'drains', replace(member, drains=True)
    elif member.listens:
        yield 'stops to listen', replace(member, listens=False)


def _row(name: str, member: WorldMember) -> Target:
    return _report(name, member.state, member.incarnation, member.drains)


@cache
def _report(
    name: str, state: MembershipState | None, incarnation: int, drains: bool
) -> Target:
    reported = None
    if state is not None:
        reported = membership('g', NAMES.index(name), state)
    return target(
        name,
        started_at_ms=incarnation,
        staged=(SMALL,),
        membership=reported,
        state=TargetState.DRAINING if drains else TargetState.READY,
    )


def adopted(
    now_s: float,
    group: GroupRecord = RECORD,
    timeouts: StateTimeouts = TIMEOUTS,
) -> OwnedGroup:
    """Return the group as an owner tracks it that has read its record."""
    return OwnedGroup(group, timeouts, GroupState.JOINING, now_s, now_s)


def slow(world: World) -> World:
    """Return a world where orders may take time after they were answered."""
    owned = replace(world.owned, timeouts=SLOW_TIMEOUTS)
    return replace(world, owned=owned, is_slow=True)


def forming(group: GroupRecord = RECORD) -> World:
    """Return a group that was recorded; its members were ordered to join."""
    members = tuple(
        WorldMember(
            listed=_row(member.target, WorldMember()), queued=(OrderKind.JOIN,)
        )
        for member in group.members
    )
    return World(adopted(100.0, group), members, record=group)


def serving(group: GroupRecord = RECORD) -> World:
    """Return a group that its owner has seen open."""
    states = (
        MembershipState.OPEN,
        MembershipState.READY,
        MembershipState.READY,
    )
    members = tuple(
        WorldMember(state, listed=_row(member.target, WorldMember(state)))
        for member, state in zip(group.members, states, strict=False)
    )
    world = World(None, members, record=group)
    owned = replace(adopted(100.0, group), state=GroupState.SERVING)
    return replace(world, owned=owned.with_reports(world.fleet(), world.now_s))


def stalling() -> World:
    """Return a group given up whose head has not answered the order to open.

    The head can't be reached, and the tail has left.
    """
    states = (MembershipState.READY, MembershipState.READY)
    members = tuple(
        WorldMember(state, listed=_row(name, WorldMember(state)))
        for name, state in zip(NAMES, states, strict=False)
    )
    world = World(adopted(100.0), members)
    for word in (
        'the owner acts',
        'head open is late',
        'head is behind a path that is SILENT',
        'head lapses',
        'the owner acts',
        'head ask is dropped',
        'head leave is dropped',
        'tail leave is answered',
    ):
        world = dict(world.steps())[word]
    return world


def opening_late() -> World:
    """Return the same group whose head opens at the last moment."""
    world = slow(stalling())
    for word in (
        *('time passes',) * LATE_TICKS,
        'head begins open late',
        *('time passes',) * (FORMING_TICKS - 1),
    ):
        world = dict(world.steps())[word]
    return world


def joined() -> World:
    """Return a group whose head was ordered to open; orders take time."""
    world = slow(forming())
    for word in (
        'head join is answered',
        'tail join is answered',
        'head reports',
        'tail reports',
        'the owner acts',
    ):
        world = dict(world.steps())[word]
    return world


def closing() -> World:
    """Return a serving group with a member that drains; orders take time."""
    world = slow(serving())
    for word in ('tail drains', 'tail reports', 'the owner acts'):
        world = dict(world.steps())[word]
    return world

"""A group in the hands of its owner: its record, state and deadline."""

import math
from dataclasses import dataclass, replace

from ..charts.reader import load_chart
from ..decide.crash import has_crashed
from ..decide.group_chart import (
    GROUP_WORDS,
    LIVE_STATES,
    GroupAction,
    GroupEvent,
    GroupFacts,
    GroupState,
)
from ..decide.group_observation import (
    GroupObservation,
    joined_members,
    observe_group,
)
from ..model.chart import Chart
from ..model.fleet import Fleet, GroupRecord, Member
from ..model.ids import TargetName
from ..model.log_parts import Part
from ..model.serving import EngineSpec
from ..tasks.log import part_logger
from .messages import OrderKind, OrderOutcome, OrderSettled

GroupChart = Chart[GroupState, GroupEvent, GroupAction, GroupFacts]

#: Seconds for a member's report to come, beyond what its join takes.
REPORT_S = 3.0
#: Seconds for which what runs may end before a group is taken apart.
CLOSING_S = 3.0
#: Seconds after which an order to leave is sent again, to the head and to
#: members of a silent head.
LEAVING_S = 1.5
RETRY_S = 3.0

#: Orders whose failure shows that a member is lost.
_MEMBER_NEEDED = frozenset((OrderKind.JOIN, OrderKind.PROBE))
#: Outcomes that show that a target holds its seat no more.
_LEFT = frozenset(
    (OrderOutcome.TAKEN, OrderOutcome.REFUSED, OrderOutcome.REPLACED)
)
_FACTS = GroupFacts()
_log = part_logger(Part.GROUPS)


def load_group_chart() -> GroupChart:
    """Read the chart of a group."""
    return load_chart('group', GROUP_WORDS)


@dataclass(frozen=True)
class StateTimeouts:
    """Longest seconds in each state; none is endless but serving.

    Parameters
    ----------
    joining
        Load or warm-up of the slowest member, and the time of its report.
    opening
        From the order to open until it is sent again.
    closing
        What runs may end.
    leaving
        From the order to leave until it is sent again.
    stalling
        From a member's leaving until its head has broken by itself.

    """

    joining: float
    opening: float
    closing: float
    leaving: float
    stalling: float

    def of(self, state: GroupState) -> float:
        """Return the longest seconds in a state."""
        limits = {
            GroupState.JOINING: self.joining,
            GroupState.OPENING: self.opening,
            GroupState.CLOSING: self.closing,
            GroupState.LEAVING: self.leaving,
        }
        return limits.get(state, math.inf)


def state_timeouts(
    record: GroupRecord,
    engine: EngineSpec | None,
    stall_s: float,
) -> StateTimeouts:
    """Return the longest times of a group.

    Parameters
    ----------
    record
        The group.
    engine
        Figures of its service; ``None`` where it is no longer configured.
    stall_s
        Seconds after which a group without one of its members breaks.

    """
    join_s = 0.0
    formation_s = 0.0
    if engine is not None:
        formation_s = engine.formation_s
        spec = engine.model(record.model)
        join_s = spec.load_s if spec else 0
    return StateTimeouts(
        joining=join_s + REPORT_S,
        opening=formation_s + REPORT_S,
        closing=CLOSING_S,
        leaving=LEAVING_S,
        stalling=stall_s + 1,
    )


def engine_of(record: GroupRecord, fleet: Fleet) -> EngineSpec | None:
    """Return the configured engine of a group's service."""
    if fleet.config is None:
        return None
    service = fleet.config.services.get(record.service)
    return service.engine if service else None


@dataclass(frozen=True)
class Step:
    """The outcome of one event: the group after it, and what to do."""

    group: 'OwnedGroup'
    action: GroupAction | None


@dataclass(frozen=True)
class OutcomeEffect:
    """What an order's outcome says: the group after it, and an event."""

    group: 'OwnedGroup'
    event: GroupEvent | None = None


@dataclass(frozen=True)
class OwnedGroup:
    """One group at one moment.

    Parameters
    ----------
    record
        What was recorded.
    times
        Longest times in its states.
    state
        State of its chart.
    since_s
        When it entered the state, by the owner's clock.
    formed_s
        When its forming began.
    seen
        Members that have reported the group.
    lost
        Members that an order has shown to be lost.
    left
        Members behind the head that are known to have left; they are free.
    left_s
        When the first of them was; endless before.

    """

    record: GroupRecord
    times: StateTimeouts
    state: GroupState
    since_s: float
    formed_s: float
    seen: frozenset[TargetName] = frozenset()
    lost: frozenset[TargetName] = frozenset()
    left: frozenset[TargetName] = frozenset()
    left_s: float = math.inf

    def held_members(self) -> tuple[TargetName, ...]:
        """Return the members that may be part of no other group."""
        return tuple(
            member.target
            for member in self.record.members
            if member.target not in self.left
        )

    def watch(self, fleet: Fleet) -> 'OwnedGroup':
        """Note which members have reported the group."""
        seen = self.seen | joined_members(self.record, fleet)
        return self if seen == self.seen else replace(self, seen=seen)

    def events(
        self,
        fleet: Fleet,
        is_wanted: bool,
        now_s: float,
    ) -> tuple[GroupEvent, ...]:
        """Return what the picture of the fleet says of the group."""
        sight = observe_group(self.record, fleet, self.seen)
        found = list(self._sight_events(sight))
        if sight.leaving or not is_wanted:
            found.append(GroupEvent.UNWANTED)
        found.extend(self._time_events(now_s))
        return tuple(found)

    def unlisted(self, fleet: Fleet) -> tuple[Member, ...]:
        """Return members that are to be asked whether they live."""
        if self.state not in LIVE_STATES:
            return ()
        return tuple(
            member
            for member in self.record.members
            if member.target not in fleet.targets
        )

    def hear(
        self, settled: OrderSettled, fleet: Fleet, now_s: float
    ) -> OutcomeEffect:
        """Take the outcome of an order to a member."""
        order = settled.order
        is_taken = settled.outcome is OrderOutcome.TAKEN
        if order.kind in _MEMBER_NEEDED and not is_taken:
            return OutcomeEffect(replace(self, lost=self.lost | {order.target}))
        if order.kind is not OrderKind.LEAVE:
            return OutcomeEffect(self)
        has_left = settled.outcome in _LEFT or (
            settled.outcome is OrderOutcome.CLOSED
            and has_crashed(order.target, fleet, now_s)
        )
        if order.target == self.record.head.target:
            silent = GroupEvent.HEAD_SILENT
            return OutcomeEffect(
                self, GroupEvent.HEAD_LEFT if has_left else silent
            )
        if has_left:
            left = self.left | {order.target}
            left_s = min(self.left_s, now_s)
            return OutcomeEffect(replace(self, left=left, left_s=left_s))
        return OutcomeEffect(self)

    def take(self, chart: GroupChart, event: GroupEvent, now_s: float) -> Step:
        """Apply an event."""
        move = chart.step(self.state, event, _FACTS)
        if move.state is self.state and move.action is None:
            return Step(self, None)
        _log.info(
            'group %s: %s after %s',
            self.record.group,
            move.state,
            event,
            extra={
                'group': self.record.group,
                'epoch': self.record.epoch,
                'model': self.record.model,
                'members': [one.target for one in self.record.members],
                'seen': sorted(self.seen),
                'age_s': round(now_s - self.formed_s, 2),
                'state_s': round(now_s - self.since_s, 2),
            },
        )
        after = replace(self, state=move.state, since_s=now_s)
        return Step(after, move.action)

    def _time_events(self, now_s: float) -> list[GroupEvent]:
        if self.state is GroupState.STALLING:
            if now_s - self.left_s > self.times.stalling:
                return [GroupEvent.EXPIRED]
            if math.isinf(self.left_s) and now_s - self.since_s > RETRY_S:
                return [GroupEvent.UNCONFIRMED]
            return []
        if now_s - self.since_s > self.times.of(self.state):
            return [GroupEvent.EXPIRED]
        return []

    def _sight_events(self, sight: GroupObservation) -> list[GroupEvent]:
        if sight.lost or self.lost or not sight.head_is_listed:
            return [GroupEvent.MEMBER_LOST]
        if sight.is_open:
            return [GroupEvent.OPENED]
        if sight.joined and sight.is_closed:
            if self.state is GroupState.JOINING:
                return [GroupEvent.ALL_JOINED]
            if self.state is not GroupState.OPENING:
                return [GroupEvent.CLOSED]
        return []

"""One group as its owner tracks it, as an immutable value."""

import math
from dataclasses import dataclass, replace
from types import MappingProxyType

from ..charts.reader import load_chart
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
    restarted_members,
)
from ..decide.group_timeouts import MEMBER_REPORT_S, StateTimeouts
from ..model.chart import Chart
from ..model.fleet import Fleet, GroupRecord, Member
from ..model.ids import TargetName
from ..model.log_parts import Part
from ..tasks.log import part_logger
from .messages import OrderKind, OrderOutcome, OrderSettled

GroupChart = Chart[GroupState, GroupEvent, GroupAction, GroupFacts]

#: Seconds after which the members of a group whose head does not answer are
#: ordered to leave once more.
STALLING_RETRY_S = 3.0
#: Seconds within which a target may carry out an order that it has not
#: answered.
LATE_ORDER_S = 12.0

#: Orders that show that a member is lost unless it accepts them.
_LOST_UNLESS_TAKEN = frozenset((OrderKind.JOIN, OrderKind.PROBE))
#: Outcomes of an order to leave in which an answer from the target's address
#: shows that it is no longer a member. Without an answer nothing is known: a
#: path may refuse or drop connections to a target that goes on serving.
_LEFT_OUTCOMES = frozenset(
    (OrderOutcome.TAKEN, OrderOutcome.REFUSED, OrderOutcome.REPLACED)
)
#: Seconds until a head has opened, or never will, by the outcome of the order
#: to open. With any other outcome it does not open.
_OPENING_DELAYS_S = MappingProxyType(
    {
        OrderOutcome.TAKEN: 0.0,
        OrderOutcome.NO_ANSWER: LATE_ORDER_S,
        OrderOutcome.FAILED: LATE_ORDER_S,
    }
)
#: Outcomes after which a member may still carry out an order to join.
_MAY_JOIN_LATE = frozenset((OrderOutcome.NO_ANSWER, OrderOutcome.FAILED))
_FACTS = GroupFacts()
_log = part_logger(Part.GROUPS)


def load_group_chart() -> GroupChart:
    """Load the state chart of a group."""
    return load_chart('group', GROUP_WORDS)


@dataclass(frozen=True)
class Step:
    """The group after an event, and the action to take."""

    group: 'OwnedGroup'
    action: GroupAction | None


@dataclass(frozen=True)
class OutcomeEffect:
    """The group after an order's outcome, and the event that it implies."""

    group: 'OwnedGroup'
    event: GroupEvent | None = None


@dataclass(frozen=True)
class OwnedGroup:
    """One group at one moment.

    Parameters
    ----------
    record
        The group's record in the store.
    timeouts
        Time-outs of its states.
    state
        State of its chart.
    since_s
        Time by the owner's clock at which the group entered the state.
    formed_s
        Time at which this owner began to track the group.
    reported
        Members that have ever reported this group as theirs.
    lost
        Members that an order has shown to be lost.
    left
        Members that are known to be members no longer, by their own answer
        or by a later start; they may join other groups.
    first_left_s
        Time at which the first of them was known to have left; infinite
        before.
    may_open_until_s
        Time until which the head may still carry out an order to open.
    may_join
        Members that have not answered an order to join. Unless they have
        reported this group they may still carry it out, until
        ``may_join_until_s``.
    may_join_until_s
        Time until which they may carry it out.
    reported_s
        Time at which a member was last added to ``reported``.

    """

    record: GroupRecord
    timeouts: StateTimeouts
    state: GroupState
    since_s: float
    formed_s: float
    reported: frozenset[TargetName] = frozenset()
    lost: frozenset[TargetName] = frozenset()
    left: frozenset[TargetName] = frozenset()
    first_left_s: float = math.inf
    may_open_until_s: float = -math.inf
    may_join: frozenset[TargetName] = frozenset()
    may_join_until_s: float = -math.inf
    reported_s: float = -math.inf

    def with_late_orders(self, until_s: float) -> 'OwnedGroup':
        """Return the group where any order may be carried out until a time.

        A former owner's orders may not have been answered.
        """
        return replace(
            self,
            may_open_until_s=until_s,
            may_join=frozenset(member.target for member in self.record.members),
            may_join_until_s=until_s,
        )

    def reserved_members(self) -> tuple[TargetName, ...]:
        """Return the members that must not join another group yet."""
        return tuple(
            member.target
            for member in self.record.members
            if member.target not in self.left
        )

    def with_reports(self, fleet: Fleet, now_s: float) -> 'OwnedGroup':
        """Add what members report: that they joined, or started again."""
        reported = self.reported | joined_members(self.record, fleet)
        group = (
            self
            if reported == self.reported
            else replace(self, reported=reported, reported_s=now_s)
        )
        restarted = restarted_members(self.record, fleet) - self.left
        for name in sorted(restarted):
            _log.info(
                'target %s has left group %s: it has started again',
                name,
                self.record.group,
                extra={'target': name, 'group': self.record.group},
            )
        return group._without(restarted, now_s) if restarted else group

    def events(
        self,
        fleet: Fleet,
        is_wanted: bool,
        now_s: float,
    ) -> tuple[GroupEvent, ...]:
        """Return the events that follow from the reports and the time.

        Parameters
        ----------
        fleet
            Newest state of the fleet.
        is_wanted
            Whether the configuration still names the group's model.
        now_s
            Present time of the owner's clock.

        """
        observation = observe_group(self.record, fleet, self.reported)
        events = list(self._observation_events(observation))
        if observation.absent and self._is_adoption_over(now_s):
            events.append(GroupEvent.MEMBER_LOST)
        if observation.leaving or not is_wanted:
            events.append(GroupEvent.UNWANTED)
        if self.record.head.target in self.left:
            events.append(GroupEvent.HEAD_LEFT)
        events.extend(self._time_events(now_s))
        return tuple(events)

    def _is_adoption_over(self, now_s: float) -> bool:
        """Return whether all members of a former owner's group have reported.

        One that has taken the order to join has done so by now. The order to
        another one may come late or was never sent, and the others need not
        wait for it.
        """
        is_adopted = not math.isinf(self.may_join_until_s)
        is_joining = self.state is GroupState.JOINING
        return (
            is_adopted
            and is_joining
            and now_s - self.formed_s > MEMBER_REPORT_S
        )

    def unlisted_members(self, fleet: Fleet) -> tuple[Member, ...]:
        """Return the members of a live group that the store does not list.

        They may be alive without a path to the store, so they are probed
        before the group is given up.
        """
        if self.state not in LIVE_STATES:
            return ()
        return tuple(
            member
            for member in self.record.members
            if member.target not in fleet.targets
        )

    def after_outcome(
        self, settled: OrderSettled, now_s: float
    ) -> OutcomeEffect:
        """Apply the outcome of an order to a member."""
        order = settled.order
        if settled.outcome is OrderOutcome.WITHHELD:
            return OutcomeEffect(self)
        is_taken = settled.outcome is OrderOutcome.TAKEN
        if order.kind in _LOST_UNLESS_TAKEN and not is_taken:
            return OutcomeEffect(self._after_failure(settled, now_s))
        if order.kind is OrderKind.OPEN:
            return OutcomeEffect(self._after_open(settled.outcome, now_s))
        if order.kind is not OrderKind.LEAVE:
            return OutcomeEffect(self)
        is_head = order.target == self.record.head.target
        if not self._has_left(settled):
            silent = GroupEvent.HEAD_SILENT
            return OutcomeEffect(self, silent if is_head else None)
        _log.info(
            'target %s has left group %s: order to leave was %s',
            order.target,
            order.group,
            settled.outcome,
            extra={'target': order.target, 'group': order.group},
        )
        return OutcomeEffect(
            self._without(frozenset((order.target,)), now_s),
            GroupEvent.HEAD_LEFT if is_head else None,
        )

    def after_event(
        self, chart: GroupChart, event: GroupEvent, now_s: float
    ) -> Step:
        """Apply an event; without effect it returns the group unchanged."""
        move = chart.step(self.state, event, _FACTS)
        if move.state is self.state and move.action is None:
            return Step(self, None)
        _log.info(
            'group %s is %s after %s',
            self.record.group,
            move.state,
            event,
            extra={
                'group': self.record.group,
                'epoch': self.record.epoch,
                'model': self.record.model,
                'members': [member.target for member in self.record.members],
                'seen': sorted(self.reported),
                'age_s': round(now_s - self.formed_s, 2),
                'state_s': round(now_s - self.since_s, 2),
            },
        )
        after = replace(self, state=move.state, since_s=now_s)
        return Step(after, move.action)

    def _without(
        self, names: frozenset[TargetName], now_s: float
    ) -> 'OwnedGroup':
        return replace(
            self,
            left=self.left | names,
            first_left_s=min(self.first_left_s, now_s),
        )

    def _has_left(self, settled: OrderSettled) -> bool:
        """Return whether the outcome of an order to leave shows that.

        A target that has not carried out the order to join answers it as well,
        and may join later, also before a paused owner reads the answer.
        """
        if settled.outcome is OrderOutcome.REPLACED:
            return True
        name = settled.order.target
        has_joined = name in self.reported
        joined_s = self.reported_s if has_joined else self.may_join_until_s
        if name in self.may_join and settled.sent_s <= joined_s:
            return False
        return settled.outcome in _LEFT_OUTCOMES

    def _after_failure(
        self, settled: OrderSettled, now_s: float
    ) -> 'OwnedGroup':
        """Take the target of an order to join or of a probe for lost."""
        name = settled.order.target
        group = replace(self, lost=self.lost | {name})
        is_join = settled.order.kind is OrderKind.JOIN
        if not is_join or settled.outcome not in _MAY_JOIN_LATE:
            return group
        return replace(
            group,
            may_join=self.may_join | {name},
            may_join_until_s=max(self.may_join_until_s, now_s + LATE_ORDER_S),
        )

    def _after_open(self, outcome: OrderOutcome, now_s: float) -> 'OwnedGroup':
        delay_s = _OPENING_DELAYS_S.get(outcome)
        if delay_s is None:
            return self
        until_s = max(self.may_open_until_s, now_s + delay_s)
        return replace(self, may_open_until_s=until_s)

    def _time_events(self, now_s: float) -> list[GroupEvent]:
        if self.state is GroupState.STALLING:
            stalled_s = max(self.first_left_s, self.may_open_until_s)
            if now_s - stalled_s > self.timeouts.stalling_s:
                return [GroupEvent.EXPIRED]
            if (
                math.isinf(self.first_left_s)
                and now_s - self.since_s > STALLING_RETRY_S
            ):
                return [GroupEvent.UNCONFIRMED]
            return []
        if now_s - self.since_s > self.timeouts.of(self.state):
            return [GroupEvent.EXPIRED]
        return []

    def _observation_events(
        self, observation: GroupObservation
    ) -> list[GroupEvent]:
        lost = observation.lost or self.lost or self.left
        if lost or not observation.head_is_listed:
            return [GroupEvent.MEMBER_LOST]
        if observation.is_open:
            return [GroupEvent.OPENED]
        if observation.joined and observation.is_closed:
            if self.state is GroupState.JOINING:
                return [GroupEvent.ALL_JOINED]
            if self.state is not GroupState.OPENING:
                return [GroupEvent.CLOSED]
        return []

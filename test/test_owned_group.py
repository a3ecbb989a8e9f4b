"""What becomes of a group, by the reports of its members."""

import unittest
from dataclasses import replace

from pomelogauge.decide.group_chart import GroupAction, GroupEvent, GroupState
from pomelogauge.entry.messages import (
    Order,
    OrderKind,
    OrderOutcome,
    OrderSettled,
)
from pomelogauge.entry.owned_group import (
    OwnedGroup,
    Step,
    load_group_chart,
    state_timeouts,
)
from pomelogauge.model.fleet import Fleet, MembershipState, Target, TargetState
from pomelogauge.model.ids import TargetName

from .entry_fakes import ENGINE, LLM, SMALL, fleet, membership, record, target

CHART = load_group_chart()
RECORD = record('g', ['head', 'tail'], SMALL)


def member(name: str, rank: int, state: MembershipState) -> Target:
    return target(
        name, membership=membership('g', rank, state), staged=(SMALL,)
    )


READY = fleet(
    member('head', 0, MembershipState.READY),
    member('tail', 1, MembershipState.READY),
)
OPEN = fleet(
    member('head', 0, MembershipState.OPEN),
    member('tail', 1, MembershipState.READY),
)


class OwnedGroupTest(unittest.TestCase):
    def held(self, state: GroupState, seen: Fleet = READY) -> OwnedGroup:
        times = state_timeouts(RECORD, ENGINE, 6)
        return OwnedGroup(RECORD, times, state, 0, 0).watch(seen)

    def step(self, held: OwnedGroup, known: Fleet, now_s: float = 1) -> Step:
        held = held.watch(known)
        step = Step(held, None)
        for event in held.events(known, True, now_s):
            step = step.group.take(CHART, event, now_s)
        return step

    def test_it_opens_once_all_members_are_ready(self) -> None:
        joining = fleet(
            member('head', 0, MembershipState.READY),
            member('tail', 1, MembershipState.JOINING),
        )
        held = self.held(GroupState.JOINING, joining)
        self.assertIsNone(self.step(held, joining).action)
        step = self.step(held, READY)
        self.assertIs(step.action, GroupAction.OPEN)
        self.assertIs(step.group.state, GroupState.OPENING)

    def test_it_is_not_opened_while_a_member_has_not_reported(self) -> None:
        half = fleet(member('head', 0, MembershipState.READY), target('tail'))
        step = self.step(self.held(GroupState.JOINING, half), half)
        self.assertIs(step.group.state, GroupState.JOINING)

    def test_it_serves_once_the_head_is_open(self) -> None:
        step = self.step(self.held(GroupState.OPENING), OPEN)
        self.assertIs(step.group.state, GroupState.SERVING)

    def test_a_head_that_is_no_longer_listed_ends_it(self) -> None:
        gone = fleet(member('tail', 1, MembershipState.READY))
        step = self.step(self.held(GroupState.SERVING), gone)
        self.assertIs(step.action, GroupAction.LEAVE_HEAD)

    def test_an_unlisted_member_is_asked_before_anything_is_done(self) -> None:
        cut = fleet(member('head', 0, MembershipState.OPEN))
        held = self.held(GroupState.SERVING)
        self.assertIs(self.step(held, cut).group.state, GroupState.SERVING)
        asked = [one.target for one in held.unlisted(cut)]
        self.assertEqual(asked, ['tail'])

    def test_a_member_that_started_again_ends_it(self) -> None:
        reborn = fleet(
            member('head', 0, MembershipState.OPEN),
            target('tail', started_at_ms=2),
        )
        step = self.step(self.held(GroupState.SERVING), reborn)
        self.assertIs(step.group.state, GroupState.LEAVING)

    def test_a_member_that_left_ends_it(self) -> None:
        left = fleet(member('head', 0, MembershipState.OPEN), target('tail'))
        step = self.step(self.held(GroupState.SERVING, OPEN), left)
        self.assertIs(step.group.state, GroupState.LEAVING)

    def test_a_draining_member_closes_it(self) -> None:
        draining = target(
            'tail',
            membership=membership('g', 1, MembershipState.READY),
            state=TargetState.DRAINING,
        )
        known = fleet(member('head', 0, MembershipState.OPEN), draining)
        step = self.step(self.held(GroupState.SERVING), known)
        self.assertIs(step.action, GroupAction.CLOSE)

    def test_it_is_released_only_once_the_head_has_left(self) -> None:
        held = self.held(GroupState.LEAVING)
        step = held.take(CHART, GroupEvent.HEAD_LEFT, 1)
        self.assertIs(step.action, GroupAction.RELEASE)

    def test_members_of_a_silent_head_wait_until_it_has_broken(self) -> None:
        held = self.held(GroupState.LEAVING)
        step = held.take(CHART, GroupEvent.HEAD_SILENT, 1)
        self.assertIs(step.action, GroupAction.LEAVE_MEMBERS)
        gone = fleet(target('tail'))
        left = replace(step.group, left_s=1)
        self.assertIs(
            self.step(left, gone, 7.5).group.state, GroupState.STALLING
        )
        self.assertIs(
            self.step(left, gone, 8.5).group.state, GroupState.RELEASED
        )

    def test_nobody_is_free_before_a_member_is_known_to_have_left(self) -> None:
        held = self.held(GroupState.STALLING)
        again = self.step(held, fleet(target('tail')), 60)
        self.assertIs(again.group.state, GroupState.STALLING)
        self.assertIs(again.action, GroupAction.LEAVE_MEMBERS)

    def test_an_opened_group_that_was_closed_is_opened_again(self) -> None:
        step = self.step(self.held(GroupState.SERVING), READY)
        self.assertIs(step.action, GroupAction.OPEN)

    def hear(
        self, kind: OrderKind, outcome: OrderOutcome, known: Fleet
    ) -> GroupEvent | None:
        order = Order(kind, LLM, TargetName('head'), RECORD.group)
        settled = OrderSettled(order, outcome)
        return self.held(GroupState.LEAVING).hear(settled, known, 100).event

    def test_a_head_that_only_stopped_listening_may_still_be_open(self) -> None:
        """Members were joined elsewhere under a head that drained."""
        closed = OrderOutcome.CLOSED
        self.assertIs(
            self.hear(OrderKind.LEAVE, closed, READY), GroupEvent.HEAD_SILENT
        )
        steady = replace(READY, listed_since_s=90, listed_s=99)
        self.assertIs(
            self.hear(OrderKind.LEAVE, closed, steady), GroupEvent.HEAD_LEFT
        )

    def test_outcomes_tell_whether_the_head_has_left(self) -> None:
        for outcome in OrderOutcome:
            event = self.hear(OrderKind.LEAVE, outcome, READY)
            may_stay = {OrderOutcome.CLOSED, OrderOutcome.NO_ANSWER}
            stays = event is GroupEvent.HEAD_SILENT
            self.assertEqual(stays, outcome in may_stay, outcome)

    def test_a_member_that_left_a_silent_head_is_free_at_once(self) -> None:
        held = self.held(GroupState.STALLING)
        self.assertEqual(held.held_members(), ('head', 'tail'))
        order = Order(OrderKind.LEAVE, LLM, TargetName('tail'), RECORD.group)
        settled = OrderSettled(order, OrderOutcome.TAKEN)
        after = held.hear(settled, READY, 100).group
        self.assertEqual(after.held_members(), ('head',))

    def test_an_open_head_without_a_member_is_not_adopted(self) -> None:
        left = fleet(member('head', 0, MembershipState.OPEN), target('tail'))
        step = self.step(self.held(GroupState.JOINING, Fleet()), left)
        self.assertIs(step.group.state, GroupState.LEAVING)

"""What one entry instance gives of the budgets that all share."""

import unittest
from dataclasses import replace
from random import Random

from pomelogauge.decide.serving_rules import AdmissionBounds, admit
from pomelogauge.entry.dispatcher import Dispatcher, DispatchSettings
from pomelogauge.entry.messages import (
    Outcome,
    SlotGranted,
    SlotReleased,
    SlotRequested,
)
from pomelogauge.model.fleet import EntryInstance, Fleet, MembershipState
from pomelogauge.model.ids import Address, NodeName
from pomelogauge.tasks.published import Published

from .entry_fakes import (
    ZONE,
    FakeClock,
    Outbox,
    fleet,
    membership,
    request,
    target,
)

SLACK = 100


def head(name: str) -> object:
    return target(
        name,
        membership=membership(name, 0, MembershipState.OPEN),
        models=('big',),
        slots=1000,
    )


def instances(count: int) -> tuple[EntryInstance, ...]:
    return tuple(
        EntryInstance(NodeName(f'n{index}'), Address(f'n{index}:1'), ZONE)
        for index in range(count)
    )


class EntryDispatcherTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = FakeClock()
        self.published_fleet: Published[Fleet] = Published(Fleet())
        self.dispatcher = Dispatcher(
            DispatchSettings(ZONE, 0, SLACK, 10),
            self.published_fleet,
            Outbox(),
            self.clock,
            Random(1),
        )

    def publish(self, living: int) -> None:
        self.published_fleet.publish(
            fleet(head('t1'), head('t2'), instances=instances(living))
        )

    def place(self, *, is_retry: bool) -> object:
        admitted = admit(
            request(), self.published_fleet.latest(), AdmissionBounds(9), 0
        )
        replies = Outbox()
        self.dispatcher.on_message(
            SlotRequested(admitted, frozenset(), is_retry, replies)
        )
        return replies.posted[0]

    def repeats(self) -> int:
        given = [self.place(is_retry=True) for _ in range(SLACK)]
        return sum(isinstance(one, SlotGranted) for one in given)

    def test_the_slack_is_shared_by_all_that_live(self) -> None:
        self.publish(50)
        self.place(is_retry=False)
        self.assertEqual(self.repeats(), 2)

    def test_instances_that_are_not_listed_yet_keep_their_part(self) -> None:
        self.publish(50)
        self.place(is_retry=False)
        self.publish(1)
        self.assertEqual(self.repeats(), 2)

    def test_a_target_with_a_new_group_is_trusted_again(self) -> None:
        self.publish(1)
        for _ in range(2):
            given = self.place(is_retry=False)
            self.dispatcher.on_message(
                SlotReleased(given.destination.target, Outcome.LOST)
            )
        opened = membership('t1', 0, MembershipState.OPEN, epoch=2)
        again = replace(head('t1'), membership=opened)
        self.published_fleet.publish(
            fleet(again, head('t2'), instances=instances(1))
        )
        names = {
            self.place(is_retry=False).destination.target for _ in range(4)
        }
        self.assertEqual(names, {'t1'})

    def test_the_rate_of_a_cold_target_is_shared_by_those_that_live(
        self,
    ) -> None:
        cold = replace(head('t1'), cold_until_s=1000.0)
        for living, most in ((6, 4), (2, 8)):
            self.published_fleet.publish(
                fleet(cold, instances=instances(living))
            )
            given = [self.place(is_retry=False) for _ in range(30)]
            sent = sum(isinstance(one, SlotGranted) for one in given)
            self.assertEqual(sent, most)
            self.clock.at_s += 1.1

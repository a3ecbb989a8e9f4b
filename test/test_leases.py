"""Tests of the decisions about leases."""

import unittest

from pomelogauge.decide.leases import (
    LeaseContext,
    held_until_s,
    is_expired,
    is_wanted,
    observe,
    should_hand_over,
)
from pomelogauge.decide.rendezvous import winner
from pomelogauge.model.ids import (
    Incarnation,
    NodeName,
    RowVersion,
    ShardName,
)
from pomelogauge.model.placement import Heartbeat, Lease
from pomelogauge.model.times import ControlTimes

TIMES = ControlTimes()
ONE = NodeName('n1')
TWO = NodeName('n2')


def beat(node: NodeName, version: int) -> Heartbeat:
    return Heartbeat(node, Incarnation('i'), version, RowVersion(version))


class LeasesTest(unittest.TestCase):
    def test_silence_counts_from_the_read_that_saw_the_change(self) -> None:
        seen = observe({}, [beat(ONE, 1)], 10, TIMES)
        seen = observe(seen, [beat(ONE, 2)], 12, TIMES)
        seen = observe(seen, [beat(ONE, 2)], 14, TIMES)
        self.assertFalse(is_expired(seen[ONE], 14.9, TIMES))
        self.assertTrue(is_expired(seen[ONE], 15, TIMES))

    def test_holder_lapses_before_a_taker_may_take(self) -> None:
        seen = observe({}, [beat(ONE, 1)], 10, TIMES)
        until_s = held_until_s(10, TIMES)
        self.assertFalse(is_expired(seen[ONE], until_s, TIMES))

    def test_hands_over_one_shard_an_interval_to_a_settled_winner(
        self,
    ) -> None:
        shard = ShardName(
            next(
                key
                for key in map(str, range(99))
                if winner(key, (ONE, TWO)) == TWO
            )
        )
        young = observe({}, [beat(ONE, 1), beat(TWO, 2)], 100, TIMES)
        old = {}
        for second in range(12):
            at_s = 100 + second
            beats = [beat(ONE, second + 1), beat(TWO, second + 1)]
            old = observe(old or young, beats, at_s, TIMES)
        settled = LeaseContext(ONE, old, 0, 111)
        recent = LeaseContext(ONE, old, 110, 111)
        self.assertTrue(should_hand_over(shard, settled, TIMES))
        self.assertFalse(should_hand_over(shard, recent, TIMES))
        unsettled = LeaseContext(ONE, young, 0, 101)
        self.assertFalse(should_hand_over(shard, unsettled, TIMES))
        self.assertFalse(is_wanted(Lease(shard), settled, TIMES))

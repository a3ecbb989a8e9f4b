"""Tests of which controllers write rows, scan shards and take leases."""

import unittest

from pomelogauge.charts.reader import load_chart
from pomelogauge.decide.lease_chart import LEASE_WORDS
from pomelogauge.decide.rendezvous import ranked
from pomelogauge.decide.shard_candidacy import (
    CANDIDATES_PER_SHARD,
    shard_candidacies,
)
from pomelogauge.model.ids import (
    Address,
    DataCentreName,
    Incarnation,
    InstanceName,
    NodeName,
    ShardName,
)
from pomelogauge.model.times import ControlTimes
from pomelogauge.model.topology import Instance, InstanceRole
from pomelogauge.standins.memory_platform import MemoryPlatform
from pomelogauge.tasks.lease_keeper import LeaseKeeper
from pomelogauge.tasks.messages import InstancesListed
from pomelogauge.wire.rows import HOLDERS, LEASES, decode_lease

from .control_fakes import FakeClock, engine
from .test_lease_keeper import Owners

SHARD = ShardName('a/d')
NODES = tuple(NodeName(f'n{number}') for number in range(12))
RANKED = ranked(SHARD, NODES)
LEASE_CHART = load_chart('shard_lease', LEASE_WORDS)


def controller(node: NodeName) -> Instance:
    """Return a listed controller."""
    return Instance(
        InstanceName(node),
        InstanceRole.CONTROLLER,
        Address(''),
        DataCentreName('a'),
    )


class ContentionTest(unittest.TestCase):
    """Guards against needless rows and against a shard without an owner.

    Twelve controllers compete for one shard under a fake clock.
    """

    def setUp(self) -> None:
        self.platform = MemoryPlatform()
        self.clock = FakeClock()
        listed = InstancesListed((engine(1), *map(controller, NODES)))
        self.keepers = {node: self.keeper(node) for node in NODES}
        for keeper in self.keepers.values():
            keeper.on_message(listed)

    def keeper(self, node: NodeName) -> LeaseKeeper:
        return LeaseKeeper(
            node,
            Incarnation(node),
            self.platform,
            Owners(),
            LEASE_CHART,
            ControlTimes(),
            self.clock,
        )

    def run_for(self, seconds: float, *lost: NodeName) -> None:
        """Run all controllers except the lost ones."""
        end_s = self.clock.now + seconds
        while self.clock.now < end_s:
            self.clock.now += 0.25
            for node, keeper in self.keepers.items():
                if node not in lost:
                    keeper.on_timer()

    def holder(self) -> NodeName:
        """Return the holder of the lease."""
        rows = self.platform.scan(LEASES).unwrap()
        return decode_lease(rows[0]).unwrap().holder

    def rows(self) -> set[str]:
        """Return the controllers that have a row in ``holders``."""
        holders = self.platform.scan(HOLDERS).unwrap()
        return {row.key.key for row in holders}

    def test_only_the_winner_keeps_a_row(self) -> None:
        self.run_for(15)
        self.assertEqual(self.holder(), RANKED[0])
        self.assertEqual(self.rows(), {RANKED[0]})

    def test_next_candidate_takes_over_and_hands_back(self) -> None:
        self.run_for(5)
        self.run_for(6, RANKED[0])
        self.assertIn(self.holder(), RANKED[1:CANDIDATES_PER_SHARD])
        self.run_for(20)
        self.assertEqual(self.holder(), RANKED[0])
        self.assertEqual(self.rows(), {RANKED[0]})

    def test_non_candidate_takes_over_when_all_candidates_are_lost(
        self,
    ) -> None:
        self.run_for(5)
        lost = RANKED[:CANDIDATES_PER_SHARD]
        self.run_for(45, *lost)
        self.assertNotIn(self.holder(), lost)

    def test_controller_missing_from_the_list_ranks_itself(self) -> None:
        own = shard_candidacies(NodeName('new'), [SHARD], NODES)
        self.assertEqual(len(own), 1)


if __name__ == '__main__':
    unittest.main()

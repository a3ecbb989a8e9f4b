"""Tests of the task that takes, renews and hands over leases."""

import unittest

from pomelogauge.charts.reader import load_chart
from pomelogauge.decide.lease_chart import LEASE_WORDS
from pomelogauge.model.ids import Incarnation, NodeName, RowVersion
from pomelogauge.model.placement import Lease
from pomelogauge.model.times import ControlTimes
from pomelogauge.standins.memory_platform import MemoryPlatform
from pomelogauge.tables.protocols import (
    Condition,
    PlatformError,
    PlatformFault,
    RowKey,
    Transaction,
)
from pomelogauge.tasks.control_messages import (
    LeaseHeld,
    LeasePaused,
    ShardMessage,
)
from pomelogauge.tasks.lease_keeper import LeaseKeeper
from pomelogauge.tasks.messages import InstancesListed
from pomelogauge.wire.rows import LEASES, decode_lease

from .control_fakes import FakeClock, RecordingTask, engine

DOWN = PlatformError(PlatformFault.UNAVAILABLE, 'down')
KEY = RowKey(LEASES, 'a/d')


class Owners:
    """Starts fake owners and records the leases they were started with."""

    def __init__(self) -> None:
        self.started: list[Lease] = []
        self.task: RecordingTask[ShardMessage] = RecordingTask()

    def start(self, lease: Lease) -> RecordingTask[ShardMessage]:
        self.started.append(lease)
        self.task = RecordingTask()
        return self.task


class LeaseKeeperTest(unittest.TestCase):
    """Guards against two controllers that both rely on one lease."""

    def setUp(self) -> None:
        self.platform = MemoryPlatform()
        self.clock = FakeClock()
        self.owners = {name: Owners() for name in ('n1', 'n2', 'restarted')}
        self.first = self.keeper('n1', 'n1')
        self.second = self.keeper('n2', 'n2')

    def keeper(self, node: str, owners: str) -> LeaseKeeper:
        """Return a lease keeper whose incarnation is named as its owners."""
        keeper = LeaseKeeper(
            NodeName(node),
            Incarnation(owners),
            self.platform,
            self.owners[owners],
            load_chart('shard_lease', LEASE_WORDS),
            ControlTimes(),
            self.clock,
        )
        keeper.on_message(InstancesListed((engine(1),)))
        return keeper

    def run_for(self, seconds: float, *keepers: LeaseKeeper) -> None:
        end_s = self.clock.now + seconds
        while self.clock.now < end_s:
            self.clock.now += 0.5
            for keeper in keepers:
                keeper.on_timer()

    def lease(self) -> Lease:
        """Return the lease as stored."""
        row = self.platform.read(KEY).unwrap()
        assert row is not None
        return decode_lease(row).unwrap()

    def test_takes_over_from_a_holder_that_stopped_renewing(self) -> None:
        self.run_for(1, self.first)
        self.run_for(2.5, self.second)
        self.assertEqual(self.owners['n2'].started, [])
        old = self.lease()
        self.run_for(2, self.second)
        taken = self.lease()
        self.assertEqual((taken.holder, taken.epoch), ('n2', old.epoch + 1))
        late = Transaction('late', (Condition(KEY, old.version),), ())
        self.assertEqual(
            self.platform.commit(late).failure().fault, PlatformFault.CONFLICT
        )
        self.run_for(0.5, self.first)
        self.assertEqual(self.owners['n1'].task.stopped, 1)

    def test_pauses_in_an_outage_and_resumes(self) -> None:
        self.run_for(1, self.first)
        self.platform.fault = DOWN
        self.run_for(3, self.first)
        task = self.owners['n1'].task
        self.assertIsInstance(task.posted[-1], LeasePaused)
        self.platform.fault = None
        self.run_for(0.5, self.first)
        self.assertIsInstance(task.posted[-1], LeaseHeld)
        self.assertEqual(len(self.owners['n1'].started), 1)

    def test_hands_over_at_shutdown(self) -> None:
        self.run_for(1, self.first)
        self.first.on_stop()
        self.assertEqual(self.owners['n1'].task.stopped, 2)
        self.assertEqual((self.lease().holder, self.lease().epoch), ('', 1))
        self.run_for(0.5, self.second)
        self.assertEqual(self.lease().epoch, 2)

    def test_keeps_a_lease_whose_owner_has_not_ended(self) -> None:
        self.run_for(1, self.first)
        self.owners['n1'].task.has_ended = False
        self.first.on_stop()
        self.assertEqual(self.lease().holder, 'n1')
        self.run_for(2.5, self.second)
        self.assertEqual(self.owners['n2'].started, [])
        self.run_for(2, self.second)
        self.assertEqual(self.lease().holder, 'n2')

    def test_superseded_incarnation_drops_its_leases(self) -> None:
        self.run_for(1, self.first)
        restarted = self.keeper('n1', 'restarted')
        self.run_for(1, restarted, self.first)
        self.assertEqual(self.owners['n1'].task.stopped, 1)
        self.assertEqual(self.owners['restarted'].started, [])
        self.run_for(3, restarted, self.first)
        self.assertEqual(len(self.owners['restarted'].started), 1)
        self.assertEqual(self.lease().epoch, 2)

    def test_malformed_lease_is_left_alone(self) -> None:
        self.run_for(0.5, self.first)
        before = self.platform.version(KEY)
        self.platform._store(KEY, '[]', 'broken')
        self.run_for(5, self.second)
        self.assertEqual(self.owners['n2'].started, [])
        self.assertGreaterEqual(before, RowVersion(1))

"""Tests of the task that owns the replicas of a shard."""

import unittest
from dataclasses import replace
from random import Random
from typing import Any

from pomelogauge.charts.reader import load_chart
from pomelogauge.decide.replica_chart import REPLICA_WORDS
from pomelogauge.engines.protocols import LoadOrder
from pomelogauge.model.ids import (
    ConfigVersion,
    DataCentreName,
    DeploymentName,
    Epoch,
    Incarnation,
    ModelName,
    NodeName,
    ShardName,
)
from pomelogauge.model.manifest import Configuration, Deployment, Manifest
from pomelogauge.model.placement import (
    EngineState,
    Lease,
    ReplicaState,
    ReplicaView,
)
from pomelogauge.model.times import ControlTimes
from pomelogauge.model.topology import Instance
from pomelogauge.standins.memory_platform import MemoryPlatform
from pomelogauge.tables.protocols import (
    PlatformError,
    PlatformFault,
    RowKey,
    Transaction,
    Write,
)
from pomelogauge.tasks.control_messages import (
    EngineObserved,
    LeaseHeld,
    LeasePaused,
    OwnerAddress,
    SendOrder,
    ShardMessage,
    WatchMessage,
    WatchReport,
)
from pomelogauge.tasks.engine_watch import EngineLinks, EngineWatch
from pomelogauge.tasks.mailbox import Outbox
from pomelogauge.tasks.messages import (
    ConfigurationInForce,
    InstancesListed,
    ReplicasSuspected,
    ShardViews,
)
from pomelogauge.tasks.shard_owner import ShardOwner, ShardOwnerPorts
from pomelogauge.tasks.transactions import TransactionNames
from pomelogauge.wire.rows import (
    LEASES,
    MEMBERS,
    REPLICAS,
    decode_membership,
    decode_replica,
)

from .control_fakes import FakeClock, FakeEngines, RecordingTask, engine

ENGINES = tuple(engine(number) for number in range(1, 6))
CONFIGURATION = Configuration(
    ConfigVersion(1),
    Manifest(
        deployments=(
            Deployment(
                DeploymentName('quotes'),
                ModelName('m'),
                '1',
                4,
                1,
                (DataCentreName('a'),),
            ),
        )
    ),
)


class DirectWatch:
    """Sends orders in the caller's thread; the test delivers the polls."""

    def __init__(self, instance: Instance, parent: 'Watches', owner: Any):
        engines = parent.engines
        links = EngineLinks(engines, engines)
        self.watch = EngineWatch(
            instance, links, owner, ControlTimes(), parent.clock
        )
        self.is_hung = lambda: instance.address in engines.hung

    def post(self, message: WatchMessage) -> None:
        # The task of a hung engine still waits for an earlier answer.
        if isinstance(message, SendOrder) and not self.is_hung():
            self.watch.on_message(message)

    def stop(self, timeout_s: float | None = None) -> None:
        """Do nothing; there is no thread."""


class Watches:
    """Starts watches on fake engines."""

    def __init__(self, engines: FakeEngines, clock: FakeClock) -> None:
        self.engines = engines
        self.clock = clock

    def start(
        self, instance: Instance, owner: Outbox[WatchReport]
    ) -> DirectWatch:
        return DirectWatch(instance, self, owner)


class ShardOwnerTest(unittest.TestCase):
    """Guards against replicas that stay broken or run under an old lease.

    Five engines; one deployment of one replica with four members.
    """

    def setUp(self) -> None:
        self.platform = MemoryPlatform()
        self.clock = FakeClock()
        self.engines = FakeEngines(*ENGINES)
        self.allocator: RecordingTask[ShardViews] = RecordingTask()
        self.lease = self.take_lease(1)
        self.owner = self.start_owner()

    def take_lease(self, epoch: int) -> Lease:
        """Write the row of the lease anew, so that its version rises."""
        write = Write(RowKey(LEASES, 'a/d'), 'x')
        committed = self.platform.commit(Transaction(f'l{epoch}', (), (write,)))
        return Lease(
            ShardName('a/d'),
            NodeName('n'),
            Epoch(epoch),
            committed.unwrap().versions[0],
        )

    def start_owner(self) -> ShardOwner:
        """Start an owner under the present lease; it knows all engines."""
        owner = ShardOwner(
            self.lease,
            TransactionNames('n', f'{self.lease.epoch}'),
            ShardOwnerPorts(
                self.platform, Watches(self.engines, self.clock), self.allocator
            ),
            load_chart('replica', REPLICA_WORDS),
            ControlTimes(),
            self.clock,
            Random(self.lease.epoch),
        )
        self.reports: RecordingTask[ShardMessage] = RecordingTask()
        owner.on_message(OwnerAddress(self.reports))
        owner.on_message(ConfigurationInForce(CONFIGURATION))
        owner.on_message(InstancesListed(ENGINES))
        return owner

    def run_for(self, seconds: float, *, held: bool = True) -> None:
        """Run the owner in steps of one watch interval, 0.25 s.

        ``held`` renews the lease in each step.
        """
        end_s = self.clock.now + seconds
        while self.clock.now < end_s:
            self.clock.now += 0.25
            if held:
                until_s = self.clock.now + 2
                self.owner.on_message(LeaseHeld(self.lease, until_s))
            for instance in ENGINES:
                status = self.engines.status(instance.address).value_or(None)
                refused = instance.address in self.engines.down
                poll = EngineObserved(
                    instance.name, status, self.clock.now, refused
                )
                self.owner.on_message(poll)
            self.deliver()
            self.owner.on_timer()

    def deliver(self) -> None:
        """Deliver the reports of the engines' tasks to the owner."""
        reports, self.reports.posted = self.reports.posted, []
        for report in reports:
            self.owner.on_message(report)

    def view(self) -> ReplicaView:
        """Return the view of the only replica as last published."""
        views = self.allocator.posted[-1].views
        self.assertEqual(len(views), 1)
        return views[0]

    def test_forms_one_replica_of_four_members(self) -> None:
        self.run_for(2)
        view = self.view()
        self.assertTrue(view.serving)
        self.assertEqual(len(view.replica.members), 4)
        self.assertEqual(len(self.engines.orders), 4)
        self.assertEqual((view.current_capacity, view.capacity), (1, 4))

    def test_lost_member_is_replaced_under_a_higher_epoch(self) -> None:
        self.run_for(2)
        old = self.view().replica
        self.engines.down.add(old.members[0].address)
        self.run_for(1)
        self.assertTrue(self.view().serving)
        self.run_for(2)
        new = self.view()
        self.assertTrue(new.serving)
        self.assertGreater(new.replica.epoch, old.epoch)
        names = {member.instance for member in new.replica.members}
        self.assertNotIn(old.members[0].instance, names)
        rows = self.platform.scan(MEMBERS).unwrap()
        owned = [decode_membership(row).unwrap() for row in rows]
        named = [row.instance for row in owned if row.replica]
        self.assertEqual(set(named), names)

    def test_two_refused_connections_break_the_replica(self) -> None:
        self.run_for(2)
        self.engines.down.add(self.view().replica.members[0].address)
        self.run_for(0.25)
        self.assertTrue(self.view().serving)
        old = self.view().replica
        self.run_for(0.25)
        self.assertNotEqual(self.view().replica.replica, old.replica)

    def test_suspicion_by_a_router_counts_as_a_failed_poll(self) -> None:
        self.run_for(2)
        replica = self.view().replica
        self.owner.on_message(ReplicasSuspected((replica.replica,)))
        self.run_for(1)
        self.assertTrue(self.view().serving)
        self.owner.on_message(ReplicasSuspected((replica.replica,)))
        self.engines.hung.add(replica.members[0].address)
        self.run_for(0.25)
        self.assertNotEqual(self.view().replica.replica, replica.replica)

    def test_hung_member_delays_no_other(self) -> None:
        self.engines.hung.add(ENGINES[0].address)
        self.engines.hung_polls = False
        self.run_for(1)
        self.assertEqual(len(self.engines.orders), 3)
        self.engines.hung_polls = True
        self.run_for(3)
        view = self.view()
        self.assertTrue(view.serving)
        names = {member.instance for member in view.replica.members}
        self.assertNotIn(ENGINES[0].name, names)

    def test_restarted_member_breaks_the_replica_at_once(self) -> None:
        self.run_for(2)
        old = self.view().replica
        address = old.members[1].address
        self.engines.reports[address] = replace(
            self.engines.reports[address],
            incarnation=Incarnation('i2'),
            state=EngineState.EMPTY,
        )
        self.run_for(0.25)
        self.run_for(1)
        self.assertGreater(self.view().replica.epoch, old.epoch)

    def test_successor_adopts_without_orders(self) -> None:
        self.run_for(2)
        old = self.view().replica
        orders = len(self.engines.orders)
        self.lease = self.take_lease(2)
        self.owner = self.start_owner()
        self.run_for(1)
        self.assertEqual(self.view().replica.replica, old.replica)
        self.assertTrue(self.view().serving)
        self.assertEqual(len(self.engines.orders), orders)

    def test_former_holder_of_the_lease_changes_no_rows(self) -> None:
        self.take_lease(2)
        self.run_for(3)
        self.assertEqual(self.engines.orders, [])
        self.assertEqual(self.platform.scan(MEMBERS).unwrap(), ())

    def test_paused_owner_serves_but_forms_nothing(self) -> None:
        self.run_for(2)
        orders = len(self.engines.orders)
        self.owner.on_message(LeasePaused())
        self.run_for(2, held=False)
        self.assertTrue(self.view().serving)
        self.assertFalse(self.allocator.posted[-1].held)
        self.engines.down.add(self.view().replica.members[0].address)
        self.run_for(3, held=False)
        self.assertFalse(self.view().serving)
        self.engines.down.clear()
        self.run_for(3, held=False)
        self.assertTrue(self.view().serving)
        self.assertEqual(len(self.engines.orders), orders)

    def test_newer_model_version_is_loaded_after_draining(self) -> None:
        self.run_for(3)
        rows = self.platform.scan(REPLICAS).unwrap()
        self.assertEqual(
            decode_replica(rows[0]).unwrap().state, ReplicaState.SERVING
        )
        writes = self.platform._count
        self.run_for(5)
        self.assertEqual(self.platform._count, writes)
        deployment = CONFIGURATION.manifest.deployments[0]
        newer = replace(deployment, model_version='2')
        manifest = replace(CONFIGURATION.manifest, deployments=(newer,))
        configuration = replace(CONFIGURATION, manifest=manifest)
        self.owner.on_message(ConfigurationInForce(configuration))
        self.run_for(1)
        self.assertEqual(self.view().replica.state, ReplicaState.DRAINING)
        self.run_for(8)
        self.assertTrue(self.view().serving)
        self.assertEqual(self.view().replica.model_version, '2')
        ordered = [
            order.model_version
            for order in self.engines.orders
            if isinstance(order, LoadOrder)
        ]
        self.assertEqual(ordered, ['1'] * 4 + ['2'] * 4)

    def test_drained_data_centre_stays_drained_in_an_outage(self) -> None:
        self.run_for(2)
        drained = replace(CONFIGURATION, drained=(DataCentreName('a'),))
        self.owner.on_message(ConfigurationInForce(drained))
        self.platform.fault = PlatformError(PlatformFault.INDETERMINATE, 'lost')
        self.run_for(6)
        self.assertFalse(self.view().serving)
        self.platform.fault = None
        self.run_for(3)
        self.assertEqual(self.allocator.posted[-1].views, ())

    def test_drained_data_centre_is_emptied_after_draining(self) -> None:
        self.run_for(2)
        drained = replace(CONFIGURATION, drained=(DataCentreName('a'),))
        self.owner.on_message(ConfigurationInForce(drained))
        self.run_for(0.5)
        self.assertEqual(self.view().replica.state, ReplicaState.DRAINING)
        self.assertFalse(self.view().serving)
        self.run_for(4)
        self.assertEqual(self.allocator.posted[-1].views, ())

"""Tests of the grants of slots to routers."""

import unittest
from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from pomelogauge.model.ids import (
    Address,
    DataCentreName,
    DeploymentName,
    Epoch,
    Incarnation,
    NodeName,
    ReplicaId,
    ShardName,
)
from pomelogauge.model.peers import (
    Demand,
    ExchangeAnswer,
    ExchangeRequest,
    NodeReport,
    ReplicaUse,
)
from pomelogauge.model.placement import Replica, ReplicaView
from pomelogauge.model.times import ControlTimes
from pomelogauge.model.topology import InstanceRole
from pomelogauge.tasks.grant_allocator import GrantAllocator
from pomelogauge.tasks.messages import (
    ExchangeRequested,
    ReplicasSuspected,
    ShardViews,
)

from .control_fakes import FakeClock, RecordingTask

TIMES = ControlTimes()
QUOTES = DeploymentName('quotes')
REPLICA = Replica(
    ReplicaId('quotes#0.x'), QUOTES, Epoch(1), ShardName('a/d'), ()
)


def report(name: str, role: InstanceRole = InstanceRole.ROUTER) -> NodeReport:
    return NodeReport(
        NodeName(name),
        role,
        Incarnation('i'),
        0,
        DataCentreName('a'),
        Address(''),
        Address(''),
    )


class GrantFixture:
    """A grant allocator with one replica of capacity 8."""

    def __init__(self, current_capacity: int, *, held: bool = True) -> None:
        self.clock = FakeClock()
        controller = report('c', InstanceRole.CONTROLLER)
        self.allocator = GrantAllocator(controller, TIMES, self.clock)
        self.owner: RecordingTask[ReplicasSuspected] = RecordingTask()
        self.publish_view(current_capacity, held=held)

    def publish_view(
        self,
        current_capacity: int,
        *,
        held: bool = True,
        epoch: int = 1,
        formed: bool = False,
        running: int = 0,
    ) -> None:
        """Send the owner's view of the replica, with a lease of 30 s."""
        view = ReplicaView(REPLICA, True, running, current_capacity, capacity=8)
        formed_names = frozenset((REPLICA.replica,) if formed else ())
        self.allocator.on_message(
            ShardViews(
                REPLICA.shard,
                Epoch(epoch),
                held,
                (view,),
                formed_names,
                self.clock.now + 30,
                self.clock.now,
                self.owner,
            )
        )

    def suspect(self, *replicas: ReplicaId) -> None:
        """Send a router's request that suspects replicas."""
        request = ExchangeRequest(report('r1'), suspects=replicas)
        self.allocator.on_message(ExchangeRequested(request, RecordingTask()))

    def request_slots(
        self,
        router: str,
        waiting: int,
        running: int = 0,
        sequence: int = 0,
        held: int | None = None,
    ) -> int:
        """Send a router's request; return the slots granted."""
        reply: RecordingTask[ExchangeAnswer] = RecordingTask()
        request = ExchangeRequest(
            replace(report(router), sequence=sequence),
            (Demand(QUOTES, waiting, running),),
            (ReplicaUse(REPLICA.replica, running, held),),
        )
        self.allocator.on_message(ExchangeRequested(request, reply))
        return sum(grant.slots for grant in reply.posted[0].grants)


class GrantsTest(unittest.TestCase):
    """Guards against more live grants than the replica can run."""

    def test_new_lease_grants_after_the_life_of_old_grants(self) -> None:
        fixture = GrantFixture(7)
        self.assertEqual(fixture.request_slots('r1', 9), 0)
        fixture.clock.now += TIMES.grant_life_s + 0.2
        self.assertEqual(fixture.request_slots('r1', 9), 7)
        fixture.publish_view(7, epoch=2)
        self.assertEqual(fixture.request_slots('r1', 9), 0)

    def test_new_lease_grants_free_slots_of_a_warm_target_at_once(self) -> None:
        fixture = GrantFixture(8)
        fixture.publish_view(8, epoch=2, running=5)
        self.assertEqual(fixture.request_slots('r1', 9, running=2), 5)
        self.assertEqual(fixture.request_slots('r2', 9, running=1), 1)

    def test_replica_formed_under_the_present_lease_is_granted_at_once(
        self,
    ) -> None:
        fixture = GrantFixture(8)
        fixture.publish_view(8, epoch=2, formed=True)
        self.assertEqual(fixture.request_slots('r1', 9), 8)

    def test_suspicions_reach_the_owner_of_the_shard(self) -> None:
        fixture = GrantFixture(8)
        fixture.suspect(ReplicaId('other#0.1'))
        self.assertEqual(fixture.owner.posted, [])
        fixture.suspect(REPLICA.replica, ReplicaId('other#0.1'))
        named = ReplicasSuspected((REPLICA.replica,))
        self.assertEqual(fixture.owner.posted, [named])

    def test_idle_slots_move_to_the_router_with_waiting_requests(self) -> None:
        fixture = GrantFixture(8)
        fixture.clock.now += 2
        self.assertEqual(fixture.request_slots('r1', 0), 8)
        fixture.clock.now += 1
        self.assertEqual(fixture.request_slots('r2', 9), 0)
        self.assertEqual(fixture.request_slots('r1', 0), 1)
        fixture.clock.now += 1
        self.assertEqual(fixture.request_slots('r1', 0), 1)
        self.assertEqual(fixture.request_slots('r2', 9), 7)

    def test_slots_that_a_router_may_still_use_count_as_granted(self) -> None:
        fixture = GrantFixture(8)
        fixture.clock.now += 2
        self.assertEqual(fixture.request_slots('r1', 9, sequence=1, held=0), 8)
        fixture.clock.now += 2
        self.assertEqual(fixture.request_slots('r2', 9), 0)
        # The router reports that it holds 4 of its 8 slots; an older request
        # that arrives late must not free more.
        fixture.request_slots('r1', 0, sequence=3, held=4)
        fixture.request_slots('r1', 0, sequence=2, held=0)
        self.assertEqual(fixture.request_slots('r2', 9), 4)

    def test_cold_target_is_not_granted_without_the_lease(self) -> None:
        for current_capacity, slots in ((2, 0), (8, 8)):
            fixture = GrantFixture(current_capacity, held=False)
            fixture.clock.now += 2
            fixture.publish_view(current_capacity, held=False)
            self.assertEqual(fixture.request_slots('r1', 9), slots)

    def test_report_older_than_a_lease_term_counts_as_cold(self) -> None:
        fixture = GrantFixture(8)
        fixture.clock.now += 31
        self.assertEqual(fixture.request_slots('r1', 9), 0)
        fixture.publish_view(8, held=False)
        self.assertEqual(fixture.request_slots('r1', 9), 8)

    def test_cold_target_is_not_granted_after_a_long_pause(self) -> None:
        fixture = GrantFixture(2)
        fixture.clock.now += 2
        self.assertEqual(fixture.request_slots('r1', 9), 2)
        fixture.clock.now += 30
        self.assertEqual(fixture.request_slots('r1', 9), 0)

    @settings(deadline=None, max_examples=200)
    @given(
        st.integers(1, 12),
        st.lists(
            st.tuples(st.integers(0, 4), st.integers(0, 9), st.floats(0, 1)),
            max_size=40,
        ),
    )
    def test_live_grants_never_exceed_the_current_capacity(
        self, current_capacity: int, requests: list[tuple[int, int, float]]
    ) -> None:
        fixture = GrantFixture(current_capacity)
        fixture.clock.now += 2
        granted: list[tuple[int, int, float]] = []
        for router, waiting, wait_s in requests:
            fixture.clock.now += wait_s
            slots = fixture.request_slots(f'r{router}', waiting)
            until_s = fixture.clock.now + TIMES.grant_life_s
            granted.append((router, slots, until_s))
            peaks = [
                max(
                    (
                        slots
                        for at, slots, until_s in granted
                        if at == name and until_s > fixture.clock.now
                    ),
                    default=0,
                )
                for name in range(5)
            ]
            self.assertLessEqual(sum(peaks), current_capacity)

"""Tests of the grants of capacity."""

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
    ExchangeAsked,
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


class Bench:
    """A desk with one replica and its routers."""

    def __init__(self, current_capacity: int, *, held: bool = True) -> None:
        self.clock = FakeClock()
        controller = report('c', InstanceRole.CONTROLLER)
        self.allocator = GrantAllocator(controller, TIMES, self.clock)
        self.owner: RecordingTask[ReplicasSuspected] = RecordingTask()
        self.show(current_capacity, held=held)

    def show(
        self,
        current_capacity: int,
        *,
        held: bool = True,
        epoch: int = 1,
        formed: bool = False,
        running: int = 0,
    ) -> None:
        view = ReplicaView(REPLICA, True, running, current_capacity, capacity=8)
        own = frozenset((REPLICA.replica,) if formed else ())
        self.allocator.on_message(
            ShardViews(
                REPLICA.shard,
                Epoch(epoch),
                held,
                (view,),
                own,
                self.clock.now + 30,
                self.clock.now,
                self.owner,
            )
        )

    def suspect(self, *replicas: ReplicaId) -> None:
        ask = ExchangeRequest(report('r1'), suspects=replicas)
        self.allocator.on_message(ExchangeAsked(ask, RecordingTask()))

    def ask(
        self,
        router: str,
        waiting: int,
        running: int = 0,
        sequence: int = 0,
        held: int | None = None,
    ) -> int:
        box: RecordingTask[ExchangeAnswer] = RecordingTask()
        ask = ExchangeRequest(
            replace(report(router), sequence=sequence),
            (Demand(QUOTES, waiting, running),),
            (ReplicaUse(REPLICA.replica, running, held),),
        )
        self.allocator.on_message(ExchangeAsked(ask, box))
        return sum(grant.slots for grant in box.posted[0].grants)


class GrantsTest(unittest.TestCase):
    def test_new_desk_waits_a_grants_life(self) -> None:
        bench = Bench(7)
        self.assertEqual(bench.ask('r1', 9), 0)
        bench.clock.now += TIMES.grant_life_s + 0.2
        self.assertEqual(bench.ask('r1', 9), 7)
        bench.show(7, epoch=2)
        self.assertEqual(bench.ask('r1', 9), 0)

    def test_new_desk_grants_at_once_what_a_warm_target_has_free(self) -> None:
        bench = Bench(8)
        bench.show(8, epoch=2, running=5)
        self.assertEqual(bench.ask('r1', 9, running=2), 5)
        self.assertEqual(bench.ask('r2', 9, running=1), 1)

    def test_replica_formed_under_the_own_lease_needs_no_wait(self) -> None:
        bench = Bench(8)
        bench.show(8, epoch=2, formed=True)
        self.assertEqual(bench.ask('r1', 9), 8)

    def test_suspects_reach_the_owner_of_their_shard(self) -> None:
        bench = Bench(8)
        bench.suspect(ReplicaId('other#0.1'))
        self.assertEqual(bench.owner.posted, [])
        bench.suspect(REPLICA.replica, ReplicaId('other#0.1'))
        named = ReplicasSuspected((REPLICA.replica,))
        self.assertEqual(bench.owner.posted, [named])

    def test_idle_slots_go_to_the_hungry_router(self) -> None:
        bench = Bench(8)
        bench.clock.now += 2
        self.assertEqual(bench.ask('r1', 0), 8)
        bench.clock.now += 1
        self.assertEqual(bench.ask('r2', 9), 0)
        self.assertEqual(bench.ask('r1', 0), 1)
        bench.clock.now += 1
        self.assertEqual(bench.ask('r1', 0), 1)
        self.assertEqual(bench.ask('r2', 9), 7)

    def test_what_a_router_may_have_started_counts(self) -> None:
        bench = Bench(8)
        bench.clock.now += 2
        self.assertEqual(bench.ask('r1', 9, sequence=1, held=0), 8)
        bench.clock.now += 2
        self.assertEqual(bench.ask('r2', 9), 0)
        # It holds half of it, and an ask that comes late says no more.
        bench.ask('r1', 0, sequence=3, held=4)
        bench.ask('r1', 0, sequence=2, held=0)
        self.assertEqual(bench.ask('r2', 9), 4)

    def test_cold_target_gets_nothing_without_the_lease(self) -> None:
        for current_capacity, slots in ((2, 0), (8, 8)):
            bench = Bench(current_capacity, held=False)
            bench.clock.now += 2
            bench.show(current_capacity, held=False)
            self.assertEqual(bench.ask('r1', 9), slots)

    def test_desk_that_wakes_up_late_takes_nothing_for_warm(self) -> None:
        bench = Bench(8)
        bench.clock.now += 31
        self.assertEqual(bench.ask('r1', 9), 0)
        bench.show(8, held=False)
        self.assertEqual(bench.ask('r1', 9), 8)

    def test_desk_that_wakes_up_late_grants_nothing_cold(self) -> None:
        bench = Bench(2)
        bench.clock.now += 2
        self.assertEqual(bench.ask('r1', 9), 2)
        bench.clock.now += 30
        self.assertEqual(bench.ask('r1', 9), 0)

    @settings(deadline=None, max_examples=200)
    @given(
        st.integers(1, 12),
        st.lists(
            st.tuples(st.integers(0, 4), st.integers(0, 9), st.floats(0, 1)),
            max_size=40,
        ),
    )
    def test_live_grants_never_exceed_what_is_bearable(
        self, current_capacity: int, asks: list[tuple[int, int, float]]
    ) -> None:
        bench = Bench(current_capacity)
        bench.clock.now += 2
        granted: list[tuple[int, int, float]] = []
        for router, waiting, wait_s in asks:
            bench.clock.now += wait_s
            slots = bench.ask(f'r{router}', waiting)
            until_s = bench.clock.now + TIMES.grant_life_s
            granted.append((router, slots, until_s))
            peaks = [
                max(
                    (
                        slots
                        for at, slots, until_s in granted
                        if at == name and until_s > bench.clock.now
                    ),
                    default=0,
                )
                for name in range(5)
            ]
            self.assertLessEqual(sum(peaks), current_capacity)

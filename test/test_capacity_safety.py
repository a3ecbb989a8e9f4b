"""Property of grants and dispatchers together: no target is overloaded."""

import unittest
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from heapq import heappop, heappush
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from pomelogauge.charts.reader import load_chart
from pomelogauge.decide.routing import LeastLoaded
from pomelogauge.decide.warmth_chart import WARMTH_WORDS
from pomelogauge.model.ids import Epoch, Incarnation, NodeName, RequestId
from pomelogauge.model.phase import NodePhase
from pomelogauge.model.placement import ReplicaView
from pomelogauge.model.request import Slot, SlotOutcome
from pomelogauge.model.times import ControlTimes
from pomelogauge.tasks.dispatcher import Dispatcher, DispatcherSettings
from pomelogauge.tasks.grant_allocator import GrantAllocator
from pomelogauge.tasks.mailbox import Mailbox
from pomelogauge.tasks.messages import (
    ConfigurationInForce,
    DemandRequested,
    ExchangeDone,
    ExchangeRequested,
    ReleaseSlot,
    RequestSlot,
    ShardViews,
)
from pomelogauge.tasks.published import Published
from pomelogauge.tasks.router_state import RouterState
from pomelogauge.tasks.shutdown_messages import PhaseChanged

from .control_fakes import FakeClock
from .router_fixtures import NORTH, OWN, configuration, request, view

CHART = load_chart('target_warmth', WARMTH_WORDS)
TIMES = ControlTimes()
COLD, WARM = 2, 8
ROUTERS, RUN_S = 8, 30.0
LAG_S, POLL_S, LINK_TIMEOUT_S, LEASE_S = 0.3, 0.2, 1.0, 3.0
#: A warm target that is cold again is known to be cold everywhere only after
#: this time: its report is polled and passed on, and earlier grants end.
COOL_DOWN_NOTICE_S = LAG_S + POLL_S + 2 * LINK_TIMEOUT_S + TIMES.grant_life_s


@dataclass(frozen=True, order=True)
class Event:
    """A function to be called at a time; the number keeps the order."""

    at_s: float
    number: int
    act: Callable[[], None] = field(compare=False)


class Timeline:
    """Runs events in the order of a fake clock."""

    def __init__(self, clock: FakeClock) -> None:
        self.clock = clock
        self.events: list[Event] = []
        self.count = 0

    def later(self, delay_s: float, act: Callable[[], None]) -> None:
        """Schedule a function after a delay."""
        self.count += 1
        at_s = self.clock.now + delay_s
        heappush(self.events, Event(at_s, self.count, act))

    def run(self, until_s: float) -> None:
        """Run the events up to a time; the clock moves from one to the next."""
        while self.events and self.events[0].at_s <= until_s:
            event = heappop(self.events)
            self.clock.now = event.at_s
            event.act()


class Target:
    """A replica that warms up with completions and records overloads.

    Warm, it bears ``WARM`` requests at once, cold only ``COLD``.
    """

    def __init__(self, clock: FakeClock) -> None:
        self.clock = clock
        self.number = 0
        self.peak = 0
        self.overloads: list[str] = []
        self.cold_since_s = float('-inf')
        self.reset()

    def reset(self) -> None:
        """Crash; a new replica is formed of the restarted instance."""
        self.number += 1
        self.current_capacity = COLD
        self.running: dict[RequestId, float] = {}
        self.history: list[tuple[float, ReplicaView]] = []
        self.record_view()

    def cool_down(self) -> None:
        """Become cold without a crash, in the same incarnation."""
        self.current_capacity = COLD
        self.cold_since_s = self.clock.now
        self.record_view()

    def record_view(self) -> None:
        """Record the present state, which is reported after a lag."""
        former = view(f'p-{self.number}')
        replica = replace(former.replica, epoch=Epoch(self.number))
        now = replace(
            former,
            replica=replica,
            running=len(self.running),
            current_capacity=self.current_capacity,
            capacity=WARM,
            incarnation=Incarnation(str(self.number)),
        )
        self.history.append((self.clock.now, now))

    def report(self) -> ReplicaView:
        """Return the state of ``LAG_S`` ago."""
        views = [
            past_view
            for at_s, past_view in self.history
            if at_s <= self.clock.now - LAG_S
        ]
        return replace(views[-1] if views else self.history[0][1])

    def start(self, slot: Slot) -> bool:
        """Start a request; return whether its replica still exists.

        Requests that start before the routers can know that the target is
        cold are left out of the count.
        """
        if slot.view.replica.epoch != self.number:
            return False
        self.running[slot.request] = self.clock.now
        self.peak = max(self.peak, len(self.running))
        known_at_s = self.cold_since_s + COOL_DOWN_NOTICE_S
        counted = sum(at_s > known_at_s for at_s in self.running.values())
        # A warm engine refuses the requests beyond its limit without running
        # them.
        if counted > self.current_capacity < WARM:
            self.overloads.append(f'{counted}/{self.current_capacity}')
        self.record_view()
        return True

    def end(self, name: RequestId, *, completed: bool) -> None:
        """End a request; each completed one warms the target."""
        if self.running.pop(name, None) is not None:
            self.current_capacity = min(self.current_capacity + completed, WARM)
            self.record_view()


class Controller:
    """A controller that grants slots, and may be paused, killed or replaced."""

    def __init__(self, name: str, epoch: int, world: 'World') -> None:
        self.name = NodeName(name)
        self.epoch = epoch
        self.world = world
        self.allocator = GrantAllocator(
            replace(OWN, node=self.name), TIMES, world.clock
        )
        self.dead = self.paused = False
        self.backlog: list[ExchangeRequested] = []
        self.held_until_s = 0.0
        self.known_epoch = 0
        self.poll()

    def poll(self) -> None:
        """Send the grant task what the owner of the shard would send."""
        if self.dead:
            return
        now_s = self.world.clock.now
        if not self.paused:
            if self.world.holder is self or self.world.holder is None:
                self.held_until_s = now_s + LEASE_S
            report = self.world.target.report()
            is_formed = self.known_epoch not in {0, report.replica.epoch}
            self.known_epoch = report.replica.epoch
            formed = frozenset((report.replica.replica,) if is_formed else ())
            self.allocator.on_message(
                ShardViews(
                    report.replica.shard,
                    Epoch(self.epoch),
                    now_s < self.held_until_s,
                    (report,),
                    formed,
                    self.held_until_s,
                    now_s - LAG_S,
                )
            )
        self.world.timeline.later(POLL_S, self.poll)

    def resume(self) -> None:
        """Continue after a pause and answer the exchanges of that time."""
        self.paused = False
        for requested in self.backlog:
            self.allocator.on_message(requested)
        self.backlog.clear()

    def receive(self, requested: ExchangeRequested) -> None:
        """Answer an exchange, or keep it while paused."""
        if self.paused:
            self.backlog.append(requested)
        elif not self.dead:
            self.allocator.on_message(requested)


@dataclass(frozen=True)
class Reply:
    """Outbox that calls a function instead of storing the message."""

    act: Callable[[object], None]

    def post(self, message: object) -> None:
        self.act(message)


class Router:
    """A dispatcher with its callers and its exchanges."""

    def __init__(self, number: int, world: 'World') -> None:
        self.world = world
        self.number = number
        self.sent = 0
        self.cut_off_until_s = 0.0
        own = replace(OWN, node=NodeName(f'r-{number}'))
        self.dispatcher = Dispatcher(
            DispatcherSettings(own),
            world.clock,
            LeastLoaded(NORTH),
            CHART,
            Published(RouterState()),
            Mailbox(),
        )
        self.post(ConfigurationInForce(configuration()))
        self.post(PhaseChanged(NodePhase.READY))

    def post(self, message) -> None:
        """Pass a message to the dispatcher."""
        self.dispatcher.on_message(message)

    def call(self) -> None:
        """Send a burst of one to five requests and schedule the next."""
        rng = self.world.rng
        for _ in range(rng.choice((1, 1, 3, 5))):
            self.sent += 1
            name = f'q-{self.number}-{self.sent}'
            reply = Reply(self.run_request)
            now_s = self.world.clock.now
            self.post(RequestSlot(request(name), now_s, reply))
        self.world.timeline.later(rng.expovariate(1.5), self.call)

    def run_request(self, slot: object) -> None:
        """Run a request that got a slot; some are lost in the middle."""
        if not isinstance(slot, Slot):
            return
        rng, timeline = self.world.rng, self.world.timeline
        target = self.world.target
        name = slot.request
        if not target.start(slot):
            timeline.later(0, lambda: self.release(name, SlotOutcome.REFUSED))
        elif rng.random() < 0.05:
            # The connection fails, which the target detects only later.
            timeline.later(0.2, lambda: self.release(name, SlotOutcome.LOST))
            timeline.later(2, lambda: target.end(name, completed=False))
        else:
            timeline.later(rng.uniform(0.1, 3), lambda: self.complete(name))

    def complete(self, name: RequestId) -> None:
        self.world.target.end(name, completed=True)
        self.release(name, SlotOutcome.COMPLETED)

    def release(self, name: RequestId, end: SlotOutcome) -> None:
        self.post(ReleaseSlot(name, end))

    def exchange(self, controller: Controller) -> None:
        """Exchange once; the request and the answer may be lost or late."""
        rng, timeline = self.world.rng, self.world.timeline
        box: Mailbox = Mailbox()
        self.post(DemandRequested(box, controller.name))
        request_sent = box.take(0)
        requested_at_s = self.world.clock.now
        open_calls = [True]

        def finish(answer: object) -> None:
            if not open_calls:
                return
            open_calls.clear()
            sequence = request_sent.sender.sequence
            self.post(
                ExchangeDone(controller.name, requested_at_s, answer, sequence)
            )
            self.dispatcher.on_timer()
            pause_s = rng.choice((0.05, 0.25))
            timeline.later(pause_s, lambda: self.exchange(controller))

        def answered(answer: object) -> None:
            if self.reaches():
                timeline.later(self.delay_s(), lambda: finish(answer))

        if self.reaches():
            requested = ExchangeRequested(request_sent, Reply(answered))
            timeline.later(
                self.delay_s(), lambda: controller.receive(requested)
            )
        timeline.later(LINK_TIMEOUT_S, lambda: finish(None))

    def reaches(self) -> bool:
        """Return whether a message arrives; one in ten is lost."""
        is_cut_off = self.world.clock.now < self.cut_off_until_s
        return not is_cut_off and self.world.rng.random() > 0.1

    def delay_s(self) -> float:
        return self.world.rng.choice((0.001, 0.001, 0.02, 0.6))


class World:
    """One target, the two controllers that own its shard, and the routers."""

    def __init__(self, seed: int) -> None:
        self.rng = Random(seed)
        self.clock = FakeClock()
        self.timeline = Timeline(self.clock)
        self.target = Target(self.clock)
        self.holder: Controller | None = None
        self.holder = Controller('c-1', 1, self)
        self.routers = [Router(number, self) for number in range(ROUTERS)]
        for router in self.routers:
            self.timeline.later(self.rng.random(), router.call)
            self.connect(router, self.holder)

    def connect(self, router: Router, controller: Controller) -> None:
        """Start the exchanges of a router with a controller."""
        self.timeline.later(0, lambda: router.exchange(controller))

    def stop_holder(self) -> None:
        """Stop the holder; another takes over once its lease has expired."""
        former = self.holder
        if former is None:
            return
        if self.rng.random() < 0.5:
            former.dead = True
        else:
            former.paused = True
            self.timeline.later(self.rng.uniform(1, 9), former.resume)
        self.timeline.later(LEASE_S + 1, lambda: self.take_over(former))

    def take_over(self, former: Controller) -> None:
        """Give the shard to another controller and connect all routers."""
        if former.held_until_s > self.clock.now - 1:
            # The former holder continued in time and renewed its lease.
            return
        self.holder = Controller('c-2', former.epoch + 1, self)
        for router in self.routers:
            self.connect(router, self.holder)

    def disturb(self) -> None:
        """Cool the target down, crash it, or cut a router off for a time."""
        match self.rng.randrange(3):
            case 0:
                self.target.cool_down()
            case 1:
                self.target.reset()
            case _:
                router = self.rng.choice(self.routers)
                router.cut_off_until_s = self.clock.now + self.rng.uniform(1, 6)
        self.timeline.later(self.rng.uniform(2, 8), self.disturb)

    def run(self) -> None:
        self.timeline.later(self.rng.uniform(4, 12), self.stop_holder)
        self.timeline.later(self.rng.uniform(6, 10), self.disturb)
        self.timeline.run(self.clock.now + RUN_S)


class CapacitySafetyTest(unittest.TestCase):
    """Guards against a target that gets more requests than it can bear.

    Eight routers count their own slots only. Lost or late exchanges, a paused
    or replaced controller and a crashed target could make their grants add up
    to more than the target bears.
    """

    @settings(deadline=None, max_examples=15)
    @given(st.integers(0, 2**32))
    def test_running_requests_never_exceed_what_the_target_bears(
        self, seed: int
    ) -> None:
        world = World(seed)
        world.run()
        self.assertEqual(world.target.overloads, [])
        self.assertGreater(world.target.peak, 0)

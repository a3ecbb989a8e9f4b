"""Property of grants and dispatchers together: a target is never overfed."""

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
from pomelogauge.model.peers import NodePhase
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
    PhaseChanged,
    ReleaseSlot,
    RequestSlot,
    ShardViews,
)
from pomelogauge.tasks.published import Published
from pomelogauge.tasks.router_state import RouterState

from .control_fakes import FakeClock
from .router_fixtures import NORTH, OWN, configuration, request, view

CHART = load_chart('target_warmth', WARMTH_WORDS)
TIMES = ControlTimes()
COLD, WARM = 2, 8
ROUTERS, RUN_S = 8, 30.0
LAG_S, POLL_S, LINK_TIMEOUT_S, LEASE_S = 0.3, 0.2, 1.0, 3.0
#: A sudden chill is unknown until it is reported and the grants have ended.
CHILL_S = LAG_S + POLL_S + 2 * LINK_TIMEOUT_S + TIMES.grant_life_s


@dataclass(frozen=True, order=True)
class Event:
    at_s: float
    number: int
    act: Callable[[], None] = field(compare=False)


class Timeline:
    """Events in fake time."""

    def __init__(self, clock: FakeClock) -> None:
        self.clock = clock
        self.events: list[Event] = []
        self.count = 0

    def later(self, delay_s: float, act: Callable[[], None]) -> None:
        self.count += 1
        at_s = self.clock.now + delay_s
        heappush(self.events, Event(at_s, self.count, act))

    def run(self, until_s: float) -> None:
        while self.events and self.events[0].at_s <= until_s:
            event = heappop(self.events)
            self.clock.now = event.at_s
            event.act()


class Target:
    """A replica that gets warm by completions and counts what it runs."""

    def __init__(self, clock: FakeClock) -> None:
        self.clock = clock
        self.number = 0
        self.peak = 0
        self.overfed: list[str] = []
        self.chilled_at_s = float('-inf')
        self.reset()

    def reset(self) -> None:
        """Crash; another replica is formed of the restarted instance."""
        self.number += 1
        self.current_capacity = COLD
        self.running: dict[RequestId, float] = {}
        self.history: list[tuple[float, ReplicaView]] = []
        self.note()

    def chill(self) -> None:
        self.current_capacity = COLD
        self.chilled_at_s = self.clock.now
        self.note()

    def note(self) -> None:
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
        """Return the state as it was a lag ago."""
        known = [
            one for at_s, one in self.history if at_s <= self.clock.now - LAG_S
        ]
        return replace(known[-1] if known else self.history[0][1])

    def start(self, place: Slot) -> bool:
        if place.view.replica.epoch != self.number:
            return False
        self.running[place.request] = self.clock.now
        self.peak = max(self.peak, len(self.running))
        known_at_s = self.chilled_at_s + CHILL_S
        counted = sum(at_s > known_at_s for at_s in self.running.values())
        # A warm engine refuses what is too much, and runs none of it.
        if counted > self.current_capacity < WARM:
            self.overfed.append(f'{counted}/{self.current_capacity}')
        self.note()
        return True

    def end(self, name: RequestId, *, whole: bool) -> None:
        if self.running.pop(name, None) is not None:
            self.current_capacity = min(self.current_capacity + whole, WARM)
            self.note()


class Controller:
    """A grant desk that may be paused, killed or succeeded."""

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
        self.seen = 0
        self.poll()

    def poll(self) -> None:
        """Tell the desk what an owner of the shard would tell it."""
        if self.dead:
            return
        now_s = self.world.clock.now
        if not self.paused:
            if self.world.holder is self or self.world.holder is None:
                self.held_until_s = now_s + LEASE_S
            one = self.world.target.report()
            is_formed = self.seen not in {0, one.replica.epoch}
            self.seen = one.replica.epoch
            formed = frozenset((one.replica.replica,) if is_formed else ())
            self.allocator.on_message(
                ShardViews(
                    one.replica.shard,
                    Epoch(self.epoch),
                    now_s < self.held_until_s,
                    (one,),
                    formed,
                    self.held_until_s,
                    now_s - LAG_S,
                )
            )
        self.world.line.later(POLL_S, self.poll)

    def resume(self) -> None:
        self.paused = False
        for asked in self.backlog:
            self.allocator.on_message(asked)
        self.backlog.clear()

    def take(self, asked: ExchangeRequested) -> None:
        if self.paused:
            self.backlog.append(asked)
        elif not self.dead:
            self.allocator.on_message(asked)


@dataclass(frozen=True)
class Reply:
    """Calls back where a mailbox would keep the message."""

    act: Callable[[object], None]

    def post(self, message: object) -> None:
        self.act(message)


class Router:
    """A dispatcher, its callers and its exchanges."""

    def __init__(self, number: int, world: 'World') -> None:
        self.world = world
        self.number = number
        self.asked = 0
        self.cut_until_s = 0.0
        own = replace(OWN, node=NodeName(f'r-{number}'))
        self.dispatcher = Dispatcher(
            DispatcherSettings(own),
            world.clock,
            LeastLoaded(NORTH),
            CHART,
            Published(RouterState()),
            Mailbox(),
        )
        self.tell(ConfigurationInForce(configuration()))
        self.tell(PhaseChanged(NodePhase.READY))

    def tell(self, message) -> None:
        self.dispatcher.on_message(message)

    def call(self) -> None:
        """Send a burst of requests, then wait."""
        rng = self.world.rng
        for _ in range(rng.choice((1, 1, 3, 5))):
            self.asked += 1
            name = f'q-{self.number}-{self.asked}'
            reply = Reply(self.placed)
            now_s = self.world.clock.now
            self.tell(RequestSlot(request(name), now_s, reply))
        self.world.line.later(rng.expovariate(1.5), self.call)

    def placed(self, place: object) -> None:
        if not isinstance(place, Slot):
            return
        rng, line = self.world.rng, self.world.line
        target = self.world.target
        name = place.request
        if not target.start(place):
            line.later(0, lambda: self.free(name, SlotOutcome.REFUSED))
        elif rng.random() < 0.05:
            # The link breaks; the target notices later.
            line.later(0.2, lambda: self.free(name, SlotOutcome.LOST))
            line.later(2, lambda: target.end(name, whole=False))
        else:
            line.later(rng.uniform(0.1, 3), lambda: self.complete(name))

    def complete(self, name: RequestId) -> None:
        self.world.target.end(name, whole=True)
        self.free(name, SlotOutcome.COMPLETED)

    def free(self, name: RequestId, end: SlotOutcome) -> None:
        self.tell(ReleaseSlot(name, end))

    def exchange(self, controller: Controller) -> None:
        """Ask; the ask and the answer may be lost or late."""
        rng, line = self.world.rng, self.world.line
        box: Mailbox = Mailbox()
        self.tell(DemandRequested(box, controller.name))
        ask = box.take(0)
        requested_at_s = self.world.clock.now
        open_calls = [True]

        def finish(answer: object) -> None:
            if not open_calls:
                return
            open_calls.clear()
            sequence = ask.sender.sequence
            self.tell(
                ExchangeDone(controller.name, requested_at_s, answer, sequence)
            )
            self.dispatcher.on_timer()
            pause_s = rng.choice((0.05, 0.25))
            line.later(pause_s, lambda: self.exchange(controller))

        def answered(answer: object) -> None:
            if self.reaches():
                line.later(self.delay_s(), lambda: finish(answer))

        if self.reaches():
            asked = ExchangeRequested(ask, Reply(answered))
            line.later(self.delay_s(), lambda: controller.take(asked))
        line.later(LINK_TIMEOUT_S, lambda: finish(None))

    def reaches(self) -> bool:
        is_cut = self.world.clock.now < self.cut_until_s
        return not is_cut and self.world.rng.random() > 0.1

    def delay_s(self) -> float:
        return self.world.rng.choice((0.001, 0.001, 0.02, 0.6))


class World:
    """One target, two controllers and the routers."""

    def __init__(self, seed: int) -> None:
        self.rng = Random(seed)
        self.clock = FakeClock()
        self.line = Timeline(self.clock)
        self.target = Target(self.clock)
        self.holder: Controller | None = None
        self.holder = Controller('c-1', 1, self)
        self.routers = [Router(number, self) for number in range(ROUTERS)]
        for router in self.routers:
            self.line.later(self.rng.random(), router.call)
            self.meet(router, self.holder)

    def meet(self, router: Router, controller: Controller) -> None:
        self.line.later(0, lambda: router.exchange(controller))

    def succeed(self) -> None:
        """Stop the holder; another takes the lease once it has lapsed."""
        former = self.holder
        if former is None:
            return
        if self.rng.random() < 0.5:
            former.dead = True
        else:
            former.paused = True
            self.line.later(self.rng.uniform(1, 9), former.resume)
        self.line.later(LEASE_S + 1, lambda: self.take_over(former))

    def take_over(self, former: Controller) -> None:
        if former.held_until_s > self.clock.now - 1:
            # It came back in time and has renewed the lease.
            return
        self.holder = Controller('c-2', former.epoch + 1, self)
        for router in self.routers:
            self.meet(router, self.holder)

    def disturb(self) -> None:
        match self.rng.randrange(3):
            case 0:
                self.target.chill()
            case 1:
                self.target.reset()
            case _:
                router = self.rng.choice(self.routers)
                router.cut_until_s = self.clock.now + self.rng.uniform(1, 6)
        self.line.later(self.rng.uniform(2, 8), self.disturb)

    def run(self) -> None:
        self.line.later(self.rng.uniform(4, 12), self.succeed)
        self.line.later(self.rng.uniform(6, 10), self.disturb)
        self.line.run(self.clock.now + RUN_S)


class CapacitySafetyTest(unittest.TestCase):
    @settings(deadline=None, max_examples=15)
    @given(st.integers(0, 2**32))
    def test_what_runs_never_exceeds_what_is_bearable(self, seed: int) -> None:
        world = World(seed)
        world.run()
        self.assertEqual(world.target.overfed, [])
        self.assertGreater(world.target.peak, 0)

"""Tests of the exchange with controllers."""

import unittest
from dataclasses import replace

from returns.result import Failure, Success

from pomelogauge.model.ids import Address, NodeName
from pomelogauge.model.peers import ExchangeAnswer, ExchangeRequest, PeerView
from pomelogauge.model.topology import InstanceRole
from pomelogauge.tasks.exchange import Exchange, ExchangeSettings
from pomelogauge.tasks.exchange_set import ExchangeSet
from pomelogauge.tasks.links import LinkError
from pomelogauge.tasks.messages import (
    DemandRequested,
    ExchangeDone,
    ExchangeExpedited,
    PeersChanged,
)

from .router_fixtures import OWN, FakeClock

ADDRESS = Address('c-1:2')
ANSWER = ExchangeAnswer(OWN)


class FakeLinks:
    """A controller whose answer takes one second of the clock."""

    def __init__(self, clock: FakeClock, outcome) -> None:
        self._clock = clock
        self._outcome = outcome

    def exchange(self, address, ask):
        self._clock.at_s += 1
        return self._outcome


class FakeDispatcher:
    """Replies with its demand at once and records the other messages."""

    def __init__(self) -> None:
        self.received: list[ExchangeDone] = []

    def post(self, message) -> None:
        if isinstance(message, DemandRequested):
            message.reply.post(ExchangeRequest(OWN))
        else:
            self.received.append(message)


class FakeTask:
    """Records whether it runs and which messages it received."""

    def __init__(self, name: str, actor) -> None:
        self.name = name
        self.runs = False
        self.received: list[object] = []

    def post(self, message) -> None:
        self.received.append(message)

    def start(self) -> None:
        self.runs = True

    def stop(self, timeout_s=None) -> None:
        self.runs = False


class ExchangeTest(unittest.TestCase):
    """Guards against grants used for too long and against too many calls.

    A grant counts from before the request was sent. Counted from the answer,
    it would outlive the controller's own count by the time of the exchange.
    """

    def test_exchange_is_dated_before_its_request(self) -> None:
        failed = Failure(LinkError(ADDRESS, 'gone'))
        for outcome, answer in ((Success(ANSWER), ANSWER), (failed, None)):
            clock = FakeClock()
            dispatcher = FakeDispatcher()
            exchange = Exchange(
                ExchangeSettings(exchange_interval_s=3),
                NodeName('c-1'),
                ADDRESS,
                clock,
                FakeLinks(clock, outcome),
                dispatcher,
            )
            self.assertEqual(exchange.on_timer(), 2)
            self.assertEqual(
                dispatcher.received,
                [ExchangeDone(NodeName('c-1'), 100, answer)],
            )
            exchange.on_timer()
            self.assertEqual(len(dispatcher.received), 1)

    def test_expedited_exchanges_keep_a_shortest_interval(self) -> None:
        clock = FakeClock()
        exchange = Exchange(
            ExchangeSettings(exchange_interval_s=9, hastened_interval_s=4),
            NodeName('c-1'),
            ADDRESS,
            clock,
            FakeLinks(clock, Success(ANSWER)),
            FakeDispatcher(),
        )
        for _ in range(2):
            self.assertEqual(exchange.on_timer(), 8)
            exchange.on_message(ExchangeExpedited())
            self.assertEqual(exchange.on_timer(), 3)
            clock.at_s += 3


class ExchangeSetTest(unittest.TestCase):
    """Guards against exchanges with dead controllers and lost messages."""

    def peer(self, name: str, age_s: float = 0) -> PeerView:
        """Build a controller whose last report is ``age_s`` old."""
        report = replace(
            OWN,
            node=NodeName(name),
            role=InstanceRole.CONTROLLER,
            peer_address=Address(f'{name}:2'),
        )
        return PeerView(report, age_s)

    def test_exchanges_run_with_the_live_controllers_only(self) -> None:
        tasks: list[FakeTask] = []

        def make_task(name, actor):
            tasks.append(FakeTask(name, actor))
            return tasks[-1]

        exchanges = ExchangeSet(
            ExchangeSettings(), lambda controller, address: None, make_task
        )
        first, second = self.peer('c-1'), self.peer('c-2')
        exchanges.on_message(PeersChanged((first, second, PeerView(OWN, 0))))
        exchanges.on_message(PeersChanged((first, self.peer('c-2', 99))))
        running = [task.name for task in tasks if task.runs]
        self.assertEqual(running, ['exchange-c-1'])
        exchanges.on_message(ExchangeExpedited())
        self.assertEqual([len(task.received) for task in tasks], [1, 0])
        exchanges.on_stop()
        self.assertFalse(any(task.runs for task in tasks))
        self.assertEqual(len(tasks), 2)

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
    """A controller whose answer takes a second."""

    def __init__(self, clock: FakeClock, outcome) -> None:
        self._clock = clock
        self._outcome = outcome

    def exchange(self, address, ask):
        self._clock.at_s += 1
        return self._outcome


class FakeDispatcher:
    """Says its demand at once and keeps what it is told."""

    def __init__(self) -> None:
        self.told: list[ExchangeDone] = []

    def post(self, message) -> None:
        if isinstance(message, DemandRequested):
            message.reply.post(ExchangeRequest(OWN))
        else:
            self.told.append(message)


class FakeTask:
    """Notes whether it runs."""

    def __init__(self, name: str, actor) -> None:
        self.name = name
        self.runs = False
        self.told: list[object] = []

    def post(self, message) -> None:
        self.told.append(message)

    def start(self) -> None:
        self.runs = True

    def stop(self, timeout_s=None) -> None:
        self.runs = False


class ExchangeTest(unittest.TestCase):
    def test_counts_from_before_it_asked(self) -> None:
        lost = Failure(LinkError(ADDRESS, 'gone'))
        for outcome, answer in ((Success(ANSWER), ANSWER), (lost, None)):
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
                dispatcher.told, [ExchangeDone(NodeName('c-1'), 100, answer)]
            )
            exchange.on_timer()
            self.assertEqual(len(dispatcher.told), 1)

    def test_hastens_at_a_bounded_rate(self) -> None:
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
    def peer(self, name: str, age_s: float = 0) -> PeerView:
        report = replace(
            OWN,
            node=NodeName(name),
            role=InstanceRole.CONTROLLER,
            peer_address=Address(f'{name}:2'),
        )
        return PeerView(report, age_s)

    def test_follows_the_live_controllers(self) -> None:
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
        self.assertEqual([len(task.told) for task in tasks], [1, 0])
        exchanges.on_stop()
        self.assertFalse(any(task.runs for task in tasks))
        self.assertEqual(len(tasks), 2)

"""Tests of the shutdown task."""

import unittest

from pomelogauge.charts.reader import load_chart
from pomelogauge.decide.shutdown_chart import SHUTDOWN_WORDS
from pomelogauge.model.phase import NodePhase
from pomelogauge.tasks.mailbox import Mailbox
from pomelogauge.tasks.shutdown import (
    ProcessEnd,
    ShutdownActor,
    ShutdownPorts,
    ShutdownRequested,
    ShutdownTimes,
)
from pomelogauge.tasks.shutdown_messages import (
    PhaseChanged,
    RunningCount,
    RunningCountRequested,
)

LEAVING = PhaseChanged(NodePhase.LEAVING)


class FakeClock:
    """A clock whose time the test sets."""

    def __init__(self) -> None:
        self.time_s = 0.0

    def now_s(self) -> float:
        return self.time_s


class ShutdownTest(unittest.TestCase):
    """Guards against cut requests and against a shutdown without end."""

    def setUp(self) -> None:
        self.clock = FakeClock()
        self.membership: Mailbox[PhaseChanged] = Mailbox()
        self.dispatcher: Mailbox[PhaseChanged] = Mailbox()
        self.counter: Mailbox[RunningCountRequested] = Mailbox()
        self.ended: Mailbox[ProcessEnd] = Mailbox()
        ports = ShutdownPorts(
            self.membership,
            self.dispatcher,
            self.counter,
            self.ended,
        )
        chart = load_chart('router_shutdown', SHUTDOWN_WORDS)
        times = ShutdownTimes(answer_life_s=2, limit_s=30)
        self.actor = ShutdownActor(chart, times, ports, self.clock)
        self.actor.listen_on(Mailbox())

    def test_serves_until_cached_answers_expire_and_then_finishes_requests(
        self,
    ) -> None:
        self.actor.on_message(ShutdownRequested('signal'))
        self.assertEqual(self.membership.take(0), LEAVING)
        self.clock.time_s = 1.9
        self.actor.on_timer()
        self.assertIsNone(self.dispatcher.take(0))
        self.clock.time_s = 2.0
        self.actor.on_timer()
        self.assertEqual(self.dispatcher.take(0), LEAVING)
        self.actor.on_message(RunningCount(1))
        self.assertIsNone(self.ended.take(0))
        self.actor.on_message(RunningCount(0))
        self.assertEqual(self.ended.take(0), ProcessEnd.FINISHED)
        self.assertIsNone(self.actor.on_timer())

    def test_second_signal_refuses_new_requests_but_cuts_none(self) -> None:
        self.actor.on_message(ShutdownRequested('signal'))
        self.actor.on_message(ShutdownRequested('signal'))
        self.assertEqual(self.dispatcher.take(0), LEAVING)
        self.actor.on_message(ShutdownRequested('signal'))
        self.actor.on_message(RunningCount(1))
        self.assertIsNone(self.ended.take(0))

    def test_time_limit_ends_a_shutdown_with_running_requests(self) -> None:
        self.actor.on_message(ShutdownRequested('signal'))
        self.clock.time_s = 2.0
        self.actor.on_timer()
        self.clock.time_s = 30.0
        self.actor.on_timer()
        self.assertEqual(self.ended.take(0), ProcessEnd.CUT)

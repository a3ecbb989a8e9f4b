"""Tests of the caller's task with engines that fail."""

import unittest
from collections.abc import Iterator

from returns.result import Failure, Success

from pomelogauge.charts.reader import load_chart
from pomelogauge.decide.request_chart import REQUEST_WORDS, RequestState
from pomelogauge.engines.protocols import (
    EngineError,
    EngineFault,
    StreamRequest,
    Token,
)
from pomelogauge.model.ids import Address, DeploymentName, Incarnation
from pomelogauge.model.request import (
    Execution,
    Refusal,
    RefusalCode,
    Slot,
    SlotOutcome,
)
from pomelogauge.tasks.caller_task import (
    AnswerCompleted,
    CallerParts,
    CallerSettings,
    CallerTask,
)
from pomelogauge.tasks.messages import ReleaseSlot, RequestSlot

from .router_fixtures import FakeClock, request, view

CHART = load_chart('caller_request', REQUEST_WORDS)
INTERRUPTED = EngineError(EngineFault.INTERRUPTED, 'cut')
FULL = EngineError(EngineFault.OVERLOADED, 'full', Execution.NOT_RUN)


class FakeStream:
    """Yields tokens from the one asked and may be cut before a token."""

    incarnation = Incarnation('one')

    def __init__(self, ask: StreamRequest, cut_at: int) -> None:
        self.ask = ask
        self.cancelled = None
        self._cut_at = cut_at

    def tokens(self) -> Iterator:
        for index in range(self.ask.resume_at, 5):
            if index == self._cut_at:
                yield Failure(INTERRUPTED)
                return
            yield Success(Token(index, f't{index}'))

    def close(self, *, cancel: bool) -> bool:
        self.cancelled = cancel
        return True


class FakeTargets:
    """The dispatcher and the engines: one scripted target after another."""

    def __init__(self, *script: int | EngineError | Refusal) -> None:
        self.script = list(script)
        self.streams: list[FakeStream] = []
        self.asks: list[RequestSlot] = []
        self.ends: list[SlotOutcome] = []

    def post(self, message) -> None:
        if isinstance(message, ReleaseSlot):
            self.ends.append(message.end)
        if isinstance(message, RequestSlot):
            self.asks.append(message)
            message.reply.post(self._place())

    def _place(self) -> Slot | Refusal:
        if isinstance(self.script[0], Refusal):
            return self.script.pop(0)
        number = len(self.asks)
        return Slot(
            request().request,
            DeploymentName('quotes'),
            view(f'p-{number}'),
            Address(f'p-{number}:1'),
        )

    def open(self, address: Address, ask: StreamRequest):
        step = self.script.pop(0)
        if isinstance(step, EngineError):
            return Failure(step)
        self.streams.append(FakeStream(ask, step))
        return Success(self.streams[-1])


class CallerTaskTest(unittest.TestCase):
    def run_against(self, targets: FakeTargets) -> CallerTask:
        parts = CallerParts(
            CallerSettings(max_tries=3),
            FakeClock(),
            targets,
            targets,
            CHART,
            targets,
            targets,
        )
        return CallerTask(parts, request(), b'{}')

    def test_resumes_without_a_gap_or_a_repeat(self) -> None:
        targets = FakeTargets(2, FULL, -1)
        task = self.run_against(targets)
        *tokens, last = task.items()
        self.assertEqual([one.index for one in tokens], [0, 1, 2, 3, 4])
        self.assertEqual(last, AnswerCompleted(5))
        self.assertEqual(task.state, RequestState.ENDED)
        self.assertEqual(
            targets.ends,
            [SlotOutcome.LOST, SlotOutcome.REFUSED, SlotOutcome.COMPLETED],
        )
        self.assertEqual(targets.asks[1].avoid, ('p-1',))
        self.assertTrue(targets.asks[1].admitted)

    def test_refuses_truthfully(self) -> None:
        turned_away = Refusal(RefusalCode.NO_CAPACITY, 'no')
        cases = (
            ((turned_away,), Execution.NOT_RUN),
            ((FULL, FULL, FULL), Execution.NOT_RUN),
            ((FULL, turned_away), Execution.NOT_RUN),
            ((INTERRUPTED, turned_away), Execution.MAY_HAVE_RUN),
            ((0, FULL, FULL), Execution.MAY_HAVE_RUN),
        )
        for script, execution in cases:
            with self.subTest(script):
                task = self.run_against(FakeTargets(*script))
                (refusal,) = task.items()
                self.assertEqual(refusal.execution, execution)
                self.assertEqual(task.state, RequestState.REFUSED)

    def test_cancels_when_the_caller_leaves(self) -> None:
        targets = FakeTargets(-1)
        task = self.run_against(targets)
        sent = task.items()
        next(sent)
        sent.close()
        self.assertTrue(targets.streams[0].cancelled)
        self.assertEqual(targets.ends, [SlotOutcome.CANCELLED])
        self.assertEqual(task.state, RequestState.CANCELLED)

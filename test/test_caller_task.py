"""Tests of the caller's task against engines that fail."""

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
    """Yields tokens from the requested index; may fail before a token."""

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
    """Stands in for the dispatcher and the engines.

    Each step of the script is one target: the index of the token before which
    its stream fails, the error with which it refuses the request, or the
    refusal of the slot.
    """

    def __init__(self, *script: int | EngineError | Refusal) -> None:
        self.script = list(script)
        self.streams: list[FakeStream] = []
        self.slot_requests: list[RequestSlot] = []
        self.ends: list[SlotOutcome] = []

    def post(self, message) -> None:
        if isinstance(message, ReleaseSlot):
            self.ends.append(message.end)
        if isinstance(message, RequestSlot):
            self.slot_requests.append(message)
            message.reply.post(self._grant_slot())

    def _grant_slot(self) -> Slot | Refusal:
        if isinstance(self.script[0], Refusal):
            return self.script.pop(0)
        number = len(self.slot_requests)
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
    """Guards what a caller gets when targets fail in the middle.

    Failures are missing or repeated tokens after a change of target, a
    refusal that misstates whether the request may have run, and work that
    goes on after the caller has left.
    """

    def run_against(self, targets: FakeTargets) -> CallerTask:
        """Build a task that tries up to three of the scripted targets."""
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

    def test_resumed_stream_neither_skips_nor_repeats_tokens(self) -> None:
        targets = FakeTargets(2, FULL, -1)
        task = self.run_against(targets)
        *tokens, last = task.items()
        self.assertEqual([token.index for token in tokens], [0, 1, 2, 3, 4])
        self.assertEqual(last, AnswerCompleted(5))
        self.assertEqual(task.state, RequestState.ENDED)
        self.assertEqual(
            targets.ends,
            [SlotOutcome.LOST, SlotOutcome.REFUSED, SlotOutcome.COMPLETED],
        )
        self.assertEqual(targets.slot_requests[1].avoid, ('p-1',))
        self.assertTrue(targets.slot_requests[1].admitted)

    def test_refusal_states_whether_the_request_may_have_run(self) -> None:
        slot_denied = Refusal(RefusalCode.NO_CAPACITY, 'no')
        cases = (
            ((slot_denied,), Execution.NOT_RUN),
            ((FULL, FULL, FULL), Execution.NOT_RUN),
            ((FULL, slot_denied), Execution.NOT_RUN),
            ((INTERRUPTED, slot_denied), Execution.MAY_HAVE_RUN),
            ((0, FULL, FULL), Execution.MAY_HAVE_RUN),
        )
        for script, execution in cases:
            with self.subTest(script):
                task = self.run_against(FakeTargets(*script))
                (refusal,) = task.items()
                self.assertEqual(refusal.execution, execution)
                self.assertEqual(task.state, RequestState.REFUSED)

    def test_request_is_cancelled_when_the_caller_leaves(self) -> None:
        targets = FakeTargets(-1)
        task = self.run_against(targets)
        answer = task.items()
        next(answer)
        answer.close()
        self.assertTrue(targets.streams[0].cancelled)
        self.assertEqual(targets.ends, [SlotOutcome.CANCELLED])
        self.assertEqual(task.state, RequestState.CANCELLED)

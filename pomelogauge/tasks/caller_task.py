"""A caller's model request, without its encoding.

The thread that serves the caller runs this; it owns the caller's connection
and one upstream stream, and asks the dispatcher for places by message.
"""

from collections.abc import Generator
from contextlib import ExitStack
from dataclasses import dataclass, replace

from opentelemetry.trace import SpanKind
from returns.result import Failure

from ..decide.request_chart import (
    RequestAction,
    RequestEvent,
    RequestFacts,
    RequestState,
)
from ..engines.protocols import (
    EngineError,
    EngineFault,
    EngineStreams,
    StreamRequest,
    Token,
    TokenStream,
)
from ..model.chart import Chart
from ..model.ids import ReplicaId, RequestId
from ..model.request import (
    Execution,
    ModelRequest,
    Refusal,
    RefusalCode,
    Slot,
    SlotOutcome,
)
from .caller_link import CallerLeft, CallerLink, PermanentLink
from .canceller import CancelOnLeave, CancelRequest
from .clock import Clock
from .mailbox import Mailbox, Outbox
from .messages import (
    IncarnationObserved,
    ReleaseSlot,
    RequestSlot,
    WithdrawRequest,
)
from .metrics import RequestMetrics
from .request_meter import RequestMeter
from .spans import start_span, trace_parent

RequestChart = Chart[RequestState, RequestEvent, RequestAction, RequestFacts]
ToDispatcher = RequestSlot | WithdrawRequest | ReleaseSlot | IncarnationObserved


@dataclass(frozen=True)
class CallerSettings:
    """Settings of callers' tasks.

    Parameters
    ----------
    max_tries
        Replicas tried for one request, the first included.
    answer_slack_s
        Seconds past the deadline for which the dispatcher may be late.

    """

    max_tries: int = 4
    answer_slack_s: float = 2


@dataclass(frozen=True)
class AnswerCompleted:
    """The whole answer has been relayed.

    Parameters
    ----------
    tokens
        Number of tokens.

    """

    tokens: int


CallerItem = Token | AnswerCompleted | Refusal


@dataclass(frozen=True)
class CallerParts:
    """What all callers' tasks of a process share.

    Parameters
    ----------
    cfg
        Settings.
    clock
        Own clock.
    dispatcher
        Gives places.
    streams
        Requests to engines.
    chart
        Bound request chart.
    canceller
        Cancels the work of callers who left.
    metrics
        Takes what each request counts.

    """

    cfg: CallerSettings
    clock: Clock
    dispatcher: Outbox[ToDispatcher]
    streams: EngineStreams
    chart: RequestChart
    canceller: Outbox[CancelRequest]
    metrics: Outbox[RequestMetrics]


class CallerTask:
    """Relays one request and survives the loss of its target.

    Parameters
    ----------
    parts
        Shared by all callers' tasks.
    request
        The request.
    body
        The caller's body, sent on as it came.
    link
        The caller's connection; ``None`` for a caller that never leaves.

    """

    def __init__(
        self,
        parts: CallerParts,
        request: ModelRequest,
        body: bytes,
        link: CallerLink | None = None,
    ) -> None:
        """Send nothing yet."""
        self._parts = parts
        self._request = request
        self._body = body
        self._link = link or PermanentLink()
        self._meter = RequestMeter(parts.clock, request.organisation)
        self._target_span = ExitStack()
        self._state = parts.chart.initial
        self._tries = 0
        self._lost: tuple[ReplicaId, ...] = ()
        self._place: Slot | None = None
        self._stream: TokenStream | None = None
        self._next_token = 0
        self._execution = Execution.NOT_RUN
        self._refusal = _refusal(
            request.request, RefusalCode.TARGET_LOST, 'no target was tried'
        )

    @property
    def state(self) -> RequestState:
        """State in the request chart."""
        return self._state

    def items(self) -> Generator[CallerItem, None, None]:
        """Yield the tokens, then how the request ended.

        The last item is an ``AnswerCompleted`` or a ``Refusal``. Closing the iterator
        before that means that the caller has left, as does the news from its
        link: the target's work is cancelled and the place freed.
        """
        event = RequestEvent.SUBMITTED
        # A generator that is closed gets no other chance to clean up.
        try:  # noqa: WPS501
            while self._state not in self._parts.chart.final:
                action = self._step(event)
                event = yield from self._act(action)
        finally:
            self._release()

    def _step(self, event: RequestEvent) -> RequestAction | None:
        facts = RequestFacts(self._parts.cfg.max_tries - self._tries)
        move = self._parts.chart.step(self._state, event, facts)
        self._state = move.state
        return move.action

    def _act(
        self,
        action: RequestAction | None,
    ) -> Generator[CallerItem, None, RequestEvent]:
        """Do what the chart asks and return what came of it."""
        match action:
            case RequestAction.REQUEST_SLOT:
                return self._ask_place()
            case RequestAction.OPEN_STREAM:
                return self._open_stream()
            case RequestAction.RELAY:
                return (yield from self._relay())
            case RequestAction.FINISH:
                self._free(SlotOutcome.COMPLETED)
                yield AnswerCompleted(self._next_token)
            case RequestAction.REFUSE:
                yield self._refusal
            case RequestAction.CANCEL:
                self._cancel()
                yield self._left()
        return RequestEvent.CALLER_LEFT

    def _ask_place(self) -> RequestEvent:
        reply: Mailbox[Slot | Refusal | CallerLeft] = Mailbox()
        requested_at_s = self._parts.clock.now_s()
        self._link.watch(reply)
        self._parts.dispatcher.post(
            RequestSlot(
                self._request,
                requested_at_s,
                reply,
                avoid=self._lost,
                admitted=self._tries > 0,
            )
        )
        slack_s = self._parts.cfg.answer_slack_s
        with start_span('place wait'):
            answer = reply.take(self._request.deadline_s + slack_s)
        self._meter.note_place(requested_at_s)
        if isinstance(answer, Slot):
            self._place = answer
            return RequestEvent.SLOT_GRANTED
        return self._not_placed(answer)

    def _not_placed(self, answer: Refusal | CallerLeft | None) -> RequestEvent:
        request = self._request.request
        if not isinstance(answer, Refusal):
            self._parts.dispatcher.post(WithdrawRequest(request))
        if isinstance(answer, CallerLeft):
            return RequestEvent.CALLER_LEFT
        if answer is None:
            answer = _refusal(request, RefusalCode.INTERNAL, 'no answer')
        # What an earlier target may have run stays true of the request.
        execution = self._execution
        self._refusal = replace(answer, execution=execution)
        return RequestEvent.SLOT_DENIED

    def _open_stream(self) -> RequestEvent:
        slot = self._place
        if slot is None:
            return RequestEvent.TARGET_LOST
        replica = slot.view.replica
        self._tries += 1
        order = CancelRequest(slot.address, slot.request)
        self._link.watch(CancelOnLeave(order, self._parts.canceller))
        self._target_span.enter_context(
            start_span('target', SpanKind.CLIENT, request=slot.request)
        )
        ask = StreamRequest(
            self._request.request,
            replica.replica,
            replica.epoch,
            self._body,
            self._next_token,
            trace_parent(),
        )
        opened = self._parts.streams.open(slot.address, ask)
        if isinstance(opened, Failure):
            return self._lose(opened.failure())
        self._stream = opened.unwrap()
        self._execution = Execution.MAY_HAVE_RUN
        seen = IncarnationObserved(replica.replica, self._stream.incarnation)
        self._parts.dispatcher.post(seen)
        return RequestEvent.STREAM_OPENED

    def _relay(self) -> Generator[CallerItem, None, RequestEvent]:
        if self._stream is None:
            return RequestEvent.TARGET_LOST
        for received in self._stream.tokens():
            if isinstance(received, Failure):
                return self._lose(received.failure())
            token = received.unwrap()
            self._next_token = token.index + 1
            self._meter.note_token()
            yield token
        self._close(cancel=False)
        return RequestEvent.COMPLETED

    def _lose(self, error: EngineError) -> RequestEvent:
        """Give a place back whose target did not answer whole."""
        if self._link.has_left():
            return self._leave(error)
        # A closed connection is all that a lost target can notice.
        self._close(cancel=False)
        not_run = error.execution is Execution.NOT_RUN
        is_refusal = not_run and error.fault is not EngineFault.UNREACHABLE
        if self._place and not is_refusal:
            replica = self._place.view.replica.replica
            self._lost = (*self._lost, replica)
        self._free(SlotOutcome.REFUSED if is_refusal else SlotOutcome.LOST)
        if not not_run:
            self._execution = error.execution
        code = RefusalCode.TARGET_LOST
        if is_refusal:
            code = RefusalCode.TARGET_REFUSED
        refusal = _refusal(self._request.request, code, error.message)
        self._refusal = replace(refusal, execution=self._execution)
        return RequestEvent.TARGET_LOST

    def _leave(self, error: EngineError) -> RequestEvent:
        may_run = error.execution is not Execution.NOT_RUN
        if self._stream is None and may_run:
            # There is no stream whose end would tell that nothing runs.
            self._free(SlotOutcome.LOST)
        return RequestEvent.CALLER_LEFT

    def _close(self, *, cancel: bool) -> bool:
        """Close the stream and return whether nothing runs any more."""
        self._target_span.close()
        stream = self._stream
        self._stream = None
        return stream is None or stream.close(cancel=cancel)

    def _free(self, end: SlotOutcome) -> None:
        slot = self._place
        self._place = None
        if slot:
            self._parts.dispatcher.post(ReleaseSlot(slot.request, end))

    def _release(self) -> None:
        """Cancel what the caller no longer waits for, and report."""
        self._link.unwatch()
        if self._state not in self._parts.chart.final:
            self._step(RequestEvent.CALLER_LEFT)
            self._cancel()
        measured = self._meter.measured(self._state, self._next_token)
        self._parts.metrics.post(measured)

    def _cancel(self) -> None:
        is_stopped = self._close(cancel=True)
        self._free(SlotOutcome.CANCELLED if is_stopped else SlotOutcome.LOST)

    def _left(self) -> Refusal:
        return Refusal(
            RefusalCode.CALLER_LEFT,
            'the caller left before its answer',
            self._execution,
            request=self._request.request,
        )


def _refusal(
    request: RequestId,
    code: RefusalCode,
    message: str,
) -> Refusal:
    return Refusal(code, message, retry_after_s=1, request=request)

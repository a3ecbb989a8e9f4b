"""Serves one model request of a caller, whatever its encoding.

It runs on the thread that serves the caller. That thread owns the caller's
connection and the stream from the engine, and requests slots from the
dispatcher by message.
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
        Most replicas that are tried for one request, the first included.
    answer_slack_s
        Seconds beyond the request's deadline for which a task waits for the
        dispatcher's answer before it refuses the request itself.

    """

    max_tries: int = 4
    answer_slack_s: float = 2


@dataclass(frozen=True)
class AnswerCompleted:
    """The complete answer has been relayed.

    Parameters
    ----------
    tokens
        Number of tokens in the answer.

    """

    tokens: int


CallerItem = Token | AnswerCompleted | Refusal


@dataclass(frozen=True)
class CallerParts:
    """Settings and neighbours that all callers' tasks of a process share.

    Parameters
    ----------
    cfg
        Settings.
    clock
        Local clock.
    dispatcher
        Grants and takes back slots.
    streams
        Opens streams from engines.
    chart
        Request chart, bound to its guards and actions.
    canceller
        Cancels requests at engines after their callers have left.
    metrics
        Receives the counts and times of each request.

    """

    cfg: CallerSettings
    clock: Clock
    dispatcher: Outbox[ToDispatcher]
    streams: EngineStreams
    chart: RequestChart
    canceller: Outbox[CancelRequest]
    metrics: Outbox[RequestMetrics]


class CallerTask:
    """Relays one answer, and resumes it elsewhere when its target is lost.

    Parameters
    ----------
    parts
        Settings and neighbours shared by all callers' tasks.
    request
        Request to serve.
    body
        Body of the caller's request, passed to the engine unchanged.
    link
        Reports that the caller has left; ``None`` when that is not watched.

    """

    def __init__(
        self,
        parts: CallerParts,
        request: ModelRequest,
        body: bytes,
        link: CallerLink | None = None,
    ) -> None:
        """Prepare the request; nothing is sent before ``items`` is used."""
        self._parts = parts
        self._request = request
        self._body = body
        self._link = link or PermanentLink()
        self._meter = RequestMeter(parts.clock, request.organisation)
        self._target_span = ExitStack()
        self._state = parts.chart.initial
        self._attempts = 0
        self._lost: tuple[ReplicaId, ...] = ()
        self._slot: Slot | None = None
        self._stream: TokenStream | None = None
        self._next_token = 0
        self._execution = Execution.NOT_RUN
        self._refusal = _refusal(
            request.request,
            RefusalCode.TARGET_LOST,
            'the request was not sent to any target',
        )

    @property
    def state(self) -> RequestState:
        """Present state in the request chart."""
        return self._state

    def items(self) -> Generator[CallerItem, None, None]:
        """Yield the tokens, then how the request ended.

        The last item is an ``AnswerCompleted`` or a ``Refusal``. An iterator
        that is closed earlier means that the caller has left, as does a
        report of the caller's link: the request is cancelled at the target
        and its slot released.
        """
        event = RequestEvent.SUBMITTED
        # The ``finally`` clause also runs when the generator is closed early.
        try:  # noqa: WPS501
            while self._state not in self._parts.chart.final:
                action = self._step(event)
                event = yield from self._carry_out(action)
        finally:
            self._clean_up()

    def _step(self, event: RequestEvent) -> RequestAction | None:
        facts = RequestFacts(self._parts.cfg.max_tries - self._attempts)
        move = self._parts.chart.step(self._state, event, facts)
        self._state = move.state
        return move.action

    def _carry_out(
        self,
        action: RequestAction | None,
    ) -> Generator[CallerItem, None, RequestEvent]:
        """Carry out an action of the chart and return the event it led to."""
        match action:
            case RequestAction.REQUEST_SLOT:
                return self._request_slot()
            case RequestAction.OPEN_STREAM:
                return self._open_stream()
            case RequestAction.RELAY:
                return (yield from self._relay())
            case RequestAction.FINISH:
                self._release_slot(SlotOutcome.COMPLETED)
                yield AnswerCompleted(self._next_token)
            case RequestAction.REFUSE:
                yield self._refusal
            case RequestAction.CANCEL:
                self._cancel()
                yield self._caller_left_refusal()
        return RequestEvent.CALLER_LEFT

    def _request_slot(self) -> RequestEvent:
        reply: Mailbox[Slot | Refusal | CallerLeft] = Mailbox()
        requested_at_s = self._parts.clock.now_s()
        self._link.watch(reply)
        self._parts.dispatcher.post(
            RequestSlot(
                self._request,
                requested_at_s,
                reply,
                avoid=self._lost,
                admitted=self._attempts > 0,
            )
        )
        slack_s = self._parts.cfg.answer_slack_s
        with start_span('place wait'):
            answer = reply.take(self._request.deadline_s + slack_s)
        self._meter.record_slot_answer(requested_at_s)
        if isinstance(answer, Slot):
            self._slot = answer
            return RequestEvent.SLOT_GRANTED
        return self._slot_denied(answer)

    def _slot_denied(self, answer: Refusal | CallerLeft | None) -> RequestEvent:
        request = self._request.request
        if not isinstance(answer, Refusal):
            self._parts.dispatcher.post(WithdrawRequest(request))
        if isinstance(answer, CallerLeft):
            return RequestEvent.CALLER_LEFT
        if answer is None:
            answer = _refusal(
                request,
                RefusalCode.INTERNAL,
                'the dispatcher did not answer the request for a slot',
            )
        # An earlier target may have run the request, which the dispatcher's
        # refusal does not know.
        execution = self._execution
        self._refusal = replace(answer, execution=execution)
        return RequestEvent.SLOT_DENIED

    def _open_stream(self) -> RequestEvent:
        slot = self._slot
        if slot is None:
            return RequestEvent.TARGET_LOST
        replica = slot.view.replica
        self._attempts += 1
        order = CancelRequest(slot.address, slot.request)
        self._link.watch(CancelOnLeave(order, self._parts.canceller))
        self._target_span.enter_context(
            start_span('target', SpanKind.CLIENT, request=slot.request)
        )
        stream_request = StreamRequest(
            self._request.request,
            replica.replica,
            replica.epoch,
            self._body,
            self._next_token,
            trace_parent(),
        )
        opened = self._parts.streams.open(slot.address, stream_request)
        if isinstance(opened, Failure):
            return self._target_failed(opened.failure())
        self._stream = opened.unwrap()
        self._execution = Execution.MAY_HAVE_RUN
        observed = IncarnationObserved(
            replica.replica, self._stream.incarnation
        )
        self._parts.dispatcher.post(observed)
        return RequestEvent.STREAM_OPENED

    def _relay(self) -> Generator[CallerItem, None, RequestEvent]:
        if self._stream is None:
            return RequestEvent.TARGET_LOST
        for received in self._stream.tokens():
            if isinstance(received, Failure):
                return self._target_failed(received.failure())
            token = received.unwrap()
            self._next_token = token.index + 1
            self._meter.record_token()
            yield token
        self._close(cancel=False)
        return RequestEvent.COMPLETED

    def _target_failed(self, error: EngineError) -> RequestEvent:
        """Release the slot of a target that did not complete the answer."""
        if self._link.has_left():
            return self._caller_left(error)
        # A lost target can notice nothing but that its connection is closed,
        # so no cancellation is sent.
        self._close(cancel=False)
        not_run = error.execution is Execution.NOT_RUN
        is_refusal = not_run and error.fault is not EngineFault.UNREACHABLE
        if self._slot and not is_refusal:
            replica = self._slot.view.replica.replica
            self._lost = (*self._lost, replica)
        self._release_slot(
            SlotOutcome.REFUSED if is_refusal else SlotOutcome.LOST
        )
        if not not_run:
            self._execution = error.execution
        code = RefusalCode.TARGET_LOST
        if is_refusal:
            code = RefusalCode.TARGET_REFUSED
        refusal = _refusal(self._request.request, code, error.message)
        self._refusal = replace(refusal, execution=self._execution)
        return RequestEvent.TARGET_LOST

    def _caller_left(self, error: EngineError) -> RequestEvent:
        may_run = error.execution is not Execution.NOT_RUN
        if self._stream is None and may_run:
            # Without a stream, nothing will show that the target has stopped
            # running the request.
            self._release_slot(SlotOutcome.LOST)
        return RequestEvent.CALLER_LEFT

    def _close(self, *, cancel: bool) -> bool:
        """Close the stream; return whether the target surely runs nothing."""
        self._target_span.close()
        stream = self._stream
        self._stream = None
        return stream is None or stream.close(cancel=cancel)

    def _release_slot(self, end: SlotOutcome) -> None:
        slot = self._slot
        self._slot = None
        if slot:
            self._parts.dispatcher.post(ReleaseSlot(slot.request, end))

    def _clean_up(self) -> None:
        """Cancel a request that has not ended and report its metrics."""
        self._link.unwatch()
        if self._state not in self._parts.chart.final:
            self._step(RequestEvent.CALLER_LEFT)
            self._cancel()
        metrics = self._meter.metrics(self._state, self._next_token)
        self._parts.metrics.post(metrics)

    def _cancel(self) -> None:
        is_stopped = self._close(cancel=True)
        self._release_slot(
            SlotOutcome.CANCELLED if is_stopped else SlotOutcome.LOST
        )

    def _caller_left_refusal(self) -> Refusal:
        return Refusal(
            RefusalCode.CALLER_LEFT,
            'the caller closed its connection before the answer ended',
            self._execution,
            request=self._request.request,
        )


def _refusal(
    request: RequestId,
    code: RefusalCode,
    message: str,
) -> Refusal:
    return Refusal(code, message, retry_after_s=1, request=request)

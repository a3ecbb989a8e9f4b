"""A caller's call to a plain service, without its encoding."""

from dataclasses import dataclass, replace

from opentelemetry.trace import SpanKind
from returns.result import Failure, Result, Success

from ..decide.access import call_for
from ..model.ids import Address
from ..model.manifest import Configuration
from ..model.metrics import Counter, Timing
from ..model.request import (
    Execution,
    Refusal,
    RefusalCode,
    ServiceRequest,
    ServiceSlot,
    SlotOutcome,
)
from ..services.ledger import AtMostOnceLedger, Outcome
from ..services.protocols import (
    ServiceAnswer,
    ServiceCallRequest,
    ServiceCalls,
    ServiceError,
)
from .clock import Clock
from .mailbox import Mailbox, Outbox
from .messages import ReleaseSlot, RequestServiceSlot, WithdrawRequest
from .metrics import CounterIncrement, RequestMetrics, TimingSample
from .non_idempotent_messages import KeyRequested
from .spans import start_span, trace_parent


@dataclass(frozen=True)
class ServiceCallParts:
    """What all calls of a process share.

    Parameters
    ----------
    clock
        Own clock.
    dispatcher
        Gives places.
    calls
        Calls to plain services.
    ledger
        Bookkeeping of calls that may run at most once.
    minted
        Mints keys that only this life of this router may run.
    metrics
        Takes what each call counts.
    max_tries
        Instances tried for one call, the first included.
    slot_timeout_s
        Seconds for the dispatcher's answer.

    """

    clock: Clock
    dispatcher: Outbox[RequestServiceSlot | ReleaseSlot | WithdrawRequest]
    calls: ServiceCalls
    ledger: AtMostOnceLedger
    minted: Outbox[KeyRequested]
    metrics: Outbox[RequestMetrics]
    max_tries: int = 3
    slot_timeout_s: float = 5


class ServiceCallTask:
    """Sends one call, again only while it surely has not run.

    Parameters
    ----------
    parts
        Shared by all calls.
    request
        The call.
    body
        Its body.

    """

    def __init__(
        self,
        parts: ServiceCallParts,
        request: ServiceRequest,
        body: bytes,
    ) -> None:
        """Send nothing yet."""
        self._parts = parts
        self._request = request
        self._ask = ServiceCallRequest(
            request.request,
            request.call,
            request.idempotency_key,
            body,
        )
        self._begun_at_s = parts.clock.now_s()

    def run(
        self,
        configuration: Configuration,
    ) -> Result[ServiceAnswer, Refusal]:
        """Return the whole answer or a truthful refusal."""
        answered = self._run(configuration)
        if isinstance(answered, Success):
            self._parts.metrics.post(self._measured())
        return answered

    def _measured(self) -> RequestMetrics:
        served = Counter.REQUESTS_SERVED
        whole_s = self._parts.clock.now_s() - self._begun_at_s
        return RequestMetrics(
            (CounterIncrement(served, self._request.organisation),),
            (TimingSample(Timing.SERVICE_CALL, whole_s),),
        )

    def _run(
        self,
        configuration: Configuration,
    ) -> Result[ServiceAnswer, Refusal]:
        declared = call_for(configuration, self._request)
        if isinstance(declared, Failure):
            return declared
        if declared.unwrap().idempotent:
            return self._refused(self._send(idempotent=True))
        begun = self._parts.ledger.begin(self._request, self._ask.body)
        if isinstance(begun, Failure):
            return begun
        permit = begun.unwrap()
        if isinstance(permit, ServiceAnswer):
            return Success(permit)
        outcome = self._send(idempotent=False)
        self._parts.ledger.finish(permit, _known(outcome))
        return self._refused(outcome)

    def _send(
        self,
        *,
        idempotent: bool,
    ) -> Result[ServiceAnswer, ServiceError | Refusal]:
        tried: tuple[Address, ...] = ()
        failed: ServiceError | None = None
        while len(tried) < self._parts.max_tries:
            slot = self._place(tried)
            if isinstance(slot, Refusal):
                return Failure(failed or slot)
            outcome = self._call(slot.address)
            if isinstance(outcome, Success):
                self._free(SlotOutcome.COMPLETED)
                return Success(outcome.unwrap())
            failed = _worse(failed, outcome.failure())
            self._free(SlotOutcome.LOST)
            if failed.execution is not Execution.NOT_RUN and not idempotent:
                break
            tried = (*tried, slot.address)
        return Failure(failed or ServiceError('no try', Execution.NOT_RUN))

    def _call(self, address: Address) -> Outcome:
        with start_span(
            'target', SpanKind.CLIENT, request=self._request.request
        ):
            ask = replace(self._ask, trace_parent=trace_parent())
            return self._parts.calls.call(address, ask)

    def _place(self, tried: tuple[Address, ...]) -> ServiceSlot | Refusal:
        reply: Mailbox[ServiceSlot | Refusal] = Mailbox()
        now_s = self._parts.clock.now_s()
        self._parts.dispatcher.post(
            RequestServiceSlot(self._request, now_s, reply, tried)
        )
        with start_span('place wait'):
            slot = reply.take(self._parts.slot_timeout_s)
        if slot is not None:
            return slot
        request = self._request.request
        self._parts.dispatcher.post(WithdrawRequest(request))
        message = 'the dispatcher did not answer'
        return Refusal(RefusalCode.INTERNAL, message, request=request)

    def _free(self, end: SlotOutcome) -> None:
        self._parts.dispatcher.post(ReleaseSlot(self._request.request, end))

    def _refused(
        self,
        outcome: Result[ServiceAnswer, ServiceError | Refusal],
    ) -> Result[ServiceAnswer, Refusal]:
        return outcome.alt(self._refusal)

    def _refusal(self, error: ServiceError | Refusal) -> Refusal:
        if isinstance(error, Refusal):
            return replace(error, request=self._request.request)
        code = RefusalCode.TARGET_LOST
        if error.execution is Execution.NOT_RUN:
            code = RefusalCode.TARGET_REFUSED
        request = self._request.request
        return Refusal(code, error.message, error.execution, request=request)


def _worse(before: ServiceError | None, now: ServiceError) -> ServiceError:
    """Return the later error, with what an earlier try may have run."""
    if before is None or before.execution is Execution.NOT_RUN:
        return now
    return ServiceError(now.message, before.execution)


def _known(outcome: Result[ServiceAnswer, ServiceError | Refusal]) -> Outcome:
    """Return the outcome for the ledger; a refused place ran nothing."""
    return outcome.alt(_as_error)


def _as_error(error: ServiceError | Refusal) -> ServiceError:
    if isinstance(error, Refusal):
        return ServiceError(error.message, Execution.NOT_RUN)
    return error

"""Serves one call of a caller to a service, whatever its encoding."""

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
    """Settings and neighbours that all calls of a process share.

    Parameters
    ----------
    clock
        Local clock.
    dispatcher
        Allocates instances.
    calls
        Sends calls to instances.
    ledger
        Records non-idempotent calls, so that they run at most once.
    minted
        Mints keys that only this incarnation of this router may run.
    metrics
        Receives the counts and times of each call.
    max_tries
        Most instances that are tried for one call, the first included.
    slot_timeout_s
        Longest wait in seconds for the dispatcher's answer.

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
    """Sends one call, and sends it again after a failure where it may.

    A non-idempotent call is sent again only if it surely has not run.

    Parameters
    ----------
    parts
        Settings and neighbours shared by all calls.
    request
        Call to serve.
    body
        Body of the call, passed to the service unchanged.

    """

    def __init__(
        self,
        parts: ServiceCallParts,
        request: ServiceRequest,
        body: bytes,
    ) -> None:
        """Prepare the call; ``run`` sends it."""
        self._parts = parts
        self._request = request
        self._call_request = ServiceCallRequest(
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
        """Return the answer of the service or a refusal.

        Parameters
        ----------
        configuration
            Configuration that declares the call.

        """
        answered = self._run(configuration)
        if isinstance(answered, Success):
            self._parts.metrics.post(self._request_metrics())
        return answered

    def _request_metrics(self) -> RequestMetrics:
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
        begun = self._parts.ledger.begin(self._request, self._call_request.body)
        if isinstance(begun, Failure):
            return begun
        permit = begun.unwrap()
        if isinstance(permit, ServiceAnswer):
            return Success(permit)
        outcome = self._send(idempotent=False)
        self._parts.ledger.finish(permit, _ledger_outcome(outcome))
        return self._refused(outcome)

    def _send(
        self,
        *,
        idempotent: bool,
    ) -> Result[ServiceAnswer, ServiceError | Refusal]:
        tried: tuple[Address, ...] = ()
        failed: ServiceError | None = None
        while len(tried) < self._parts.max_tries:
            slot = self._request_slot(tried)
            if isinstance(slot, Refusal):
                return Failure(failed or slot)
            outcome = self._call(slot.address)
            if isinstance(outcome, Success):
                self._release_slot(SlotOutcome.COMPLETED)
                return Success(outcome.unwrap())
            failed = _combined_error(failed, outcome.failure())
            self._release_slot(SlotOutcome.LOST)
            if failed.execution is not Execution.NOT_RUN and not idempotent:
                break
            tried = (*tried, slot.address)
        return Failure(
            failed
            or ServiceError(
                'the call was not sent to any instance', Execution.NOT_RUN
            )
        )

    def _call(self, address: Address) -> Outcome:
        with start_span(
            'target', SpanKind.CLIENT, request=self._request.request
        ):
            call_request = replace(
                self._call_request, trace_parent=trace_parent()
            )
            return self._parts.calls.call(address, call_request)

    def _request_slot(
        self, tried: tuple[Address, ...]
    ) -> ServiceSlot | Refusal:
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
        message = 'the dispatcher did not answer the request for an instance'
        return Refusal(RefusalCode.INTERNAL, message, request=request)

    def _release_slot(self, end: SlotOutcome) -> None:
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


def _combined_error(
    before: ServiceError | None, now: ServiceError
) -> ServiceError:
    """Return the later error, as one that may have run if an earlier one may.

    Parameters
    ----------
    before
        Error of the earlier attempts; ``None`` at the first one.
    now
        Error of the latest attempt.

    """
    if before is None or before.execution is Execution.NOT_RUN:
        return now
    return ServiceError(now.message, before.execution)


def _ledger_outcome(
    outcome: Result[ServiceAnswer, ServiceError | Refusal],
) -> Outcome:
    """Return the outcome for the ledger.

    A call that was denied an instance has not run.
    """
    return outcome.alt(_as_error)


def _as_error(error: ServiceError | Refusal) -> ServiceError:
    if isinstance(error, Refusal):
        return ServiceError(error.message, Execution.NOT_RUN)
    return error

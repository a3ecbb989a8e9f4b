"""Runs one request by its state chart, from the slot to the answer."""

import math
from dataclasses import dataclass

from ..decide.answer_verdict import judge
from ..decide.entry_request_chart import (
    RequestAction,
    RequestEvent,
    RequestFacts,
    RequestState,
)
from ..decide.serving_rules import check_parts, recheck
from ..decide.stall_timeout import stall_timeout_s
from ..model.entry_request import (
    NO_NOTICE,
    AdmittedRequest,
    CallerRequest,
    TargetRequest,
)
from ..model.ids import OrganisationName, TargetName
from ..model.log_parts import Part
from ..tasks.log import part_logger
from ..tasks.mailbox import Mailbox
from ..wire.caller_connection import CallerConnection, CallerLeftError
from ..wire.target_link import (
    AnswerEnded,
    BodyRead,
    HeadRead,
    LinkError,
    LinkEvent,
)
from .caller_answer import AnswerTooLargeError, CallerAnswer
from .dispatch_messages import (
    LimitNamed,
    LoadReceived,
    NoticeReceived,
    Outcome,
    SlotAnswer,
    SlotDenied,
    SlotReleased,
    SlotRequested,
    TargetStalled,
)
from .messages import (
    AnswerLost,
    AnswerUnderWay,
    PartsServed,
)
from .request_ports import RequestPorts
from .target_attempt import Interruption, TargetAttempt

#: Seconds after the head of an answer from which on it is under way: its target
#: has begun to write it.
UNDER_WAY_S = 0.5
#: Seconds after which a caller is told to try again if the last target rejected
#: its request: some slots become free in this time.
REJECTED_RETRY_AFTER_S = 0.6
#: The same if its admission has lapsed, mostly for want of a confirmed
#: configuration.
LAPSED_RETRY_AFTER_S = 1.0

_log = part_logger(Part.REQUEST)

_BAD_GATEWAY = 502
_UNAVAILABLE = 503
_GATEWAY_TIMEOUT = 504


@dataclass(frozen=True)
class _InterruptionMeaning:
    """Event for the request and outcome for the target."""

    event: RequestEvent
    outcome: Outcome


_INTERRUPTIONS = {
    Interruption.CALLER_LEFT: _InterruptionMeaning(
        RequestEvent.CALLER_LEFT, Outcome.LEFT
    ),
    Interruption.EXPIRED: _InterruptionMeaning(
        RequestEvent.EXPIRED, Outcome.LEFT
    ),
    Interruption.STALLED: _InterruptionMeaning(
        RequestEvent.ATTEMPT_STALLED, Outcome.STALLED
    ),
}


@dataclass(frozen=True)
class RequestEnd:
    """How a request ended.

    Parameters
    ----------
    state
        Final state.
    status
        Status that the caller got; zero without an answer.
    targets
        Targets that the request was sent to, in this order.
    reason
        Reason for the latest failure, or the verdict on the latest answer.
    first_s, whole_s
        Seconds from the complete request to the first byte and to the end
        of the answer.

    """

    state: RequestState
    status: int
    targets: tuple[TargetName, ...]
    reason: str
    first_s: float
    whole_s: float


class RequestRun:
    """Runs one request; used by the task of the caller's connection.

    Parameters
    ----------
    conn
        The caller's connection.
    admitted
        The request, its route and its deadline.
    ports
        What all connections share.

    """

    def __init__(
        self,
        conn: CallerConnection,
        admitted: AdmittedRequest,
        ports: RequestPorts,
    ) -> None:
        """Start without a slot."""
        self._conn = conn
        self._admitted = admitted
        self._ports = ports
        self._answer = CallerAnswer(
            conn,
            ports.codec,
            ports.leaving,
            admitted.req.received_at_s,
            ports.clock,
        )
        self._replies: Mailbox[SlotAnswer] = Mailbox()
        self._attempt: TargetAttempt | None = None
        self._tried: tuple[TargetName, ...] = ()
        self._sent: tuple[TargetName, ...] = ()
        self._began_s = 0.0
        self._under_way_s = math.inf
        #: Targets that have not said that they did not run the request.
        self._unsettled: frozenset[TargetName] = frozenset()
        self._retry_after_s = 0.0
        self._reason = ''
        self._outcome = Outcome.ANSWERED

    def run(self) -> RequestEnd:
        """Serve the request and return how it ended."""
        state = self._ports.chart.initial
        action: RequestAction | None = RequestAction.REQUEST_SLOT
        try:
            while action is not None and state not in self._ports.chart.final:
                event = self._step(action)
                move = self._ports.chart.step(state, event, self._facts())
                state, action = move.state, move.action
            self._release_slot()
            if action is not None:
                self._finish(action)
        except CallerLeftError:
            state = RequestState.CALLER_LEFT
            self._outcome = Outcome.LEFT
        finally:
            self._release_slot()
        whole_s = self._ports.clock.now_s() - self._admitted.req.received_at_s
        return RequestEnd(
            state,
            self._answer.status,
            self._sent,
            self._reason,
            self._answer.first_s,
            whole_s,
        )

    def _facts(self) -> RequestFacts:
        route = self._admitted.route
        started = self._answer.has_started
        return RequestFacts(
            started=started,
            retryable=route.may_resume if started else route.may_retry(),
            targets_left=route.max_targets - len(self._sent),
            may_have_run=bool(self._unsettled),
        )

    def _step(self, action: RequestAction) -> RequestEvent:
        if action is RequestAction.REQUEST_SLOT:
            self._release_slot()
            return self._request_slot()
        if action is RequestAction.REQUEST_OTHER_SLOT:
            return self._request_slot()
        if self._attempt is None:
            return RequestEvent.CONNECT_FAILED
        if action is RequestAction.SEND:
            return self._send(self._attempt)
        if action is RequestAction.AWAIT_HEAD:
            return self._await_head(self._attempt)
        return self._relay(self._attempt)

    def _request_slot(self) -> RequestEvent:
        """Request a slot; a silent target keeps the request until the grant."""
        remaining_s = self._admitted.deadline_s - self._ports.clock.now_s()
        if remaining_s <= 0:
            return RequestEvent.EXPIRED
        if self._conn.has_left():
            return RequestEvent.CALLER_LEFT
        self._ports.dispatcher.post(
            SlotRequested(
                self._admitted,
                frozenset(self._tried),
                bool(self._sent),
                self._replies,
            )
        )
        answer = self._replies.take(remaining_s)
        if answer is None:
            return RequestEvent.EXPIRED
        if isinstance(answer, SlotDenied):
            self._retry_after_s = answer.retry_after_s
            self._reason = answer.denial
            if self._attempt is not None:
                self._outcome = Outcome.ANSWERED
                stalled = TargetStalled(self._attempt.destination.target)
                self._ports.dispatcher.post(stalled)
            return RequestEvent.SLOT_DENIED
        self._release_slot()
        self._outcome = Outcome.ANSWERED
        self._tried = (*self._tried, answer.destination.target)
        self._attempt = TargetAttempt(
            answer.destination,
            self._conn,
            self._admitted.deadline_s,
            self._ports.clock,
        )
        return RequestEvent.SLOT_GRANTED

    def _send(self, attempt: TargetAttempt) -> RequestEvent:
        error = attempt.connect()
        if error is not None:
            self._outcome = Outcome.UNREACHED
            self._reason = error.message
            return RequestEvent.CONNECT_FAILED
        remaining_s = self._admitted.deadline_s - self._ports.clock.now_s()
        if remaining_s <= 0:
            return RequestEvent.EXPIRED
        if self._conn.has_left():
            return RequestEvent.CALLER_LEFT
        if self._has_lapsed():
            return RequestEvent.ADMISSION_LAPSED
        self._sent = (*self._sent, attempt.destination.target)
        self._unsettled |= {attempt.destination.target}
        sent = _target_request(
            self._admitted,
            attempt.destination.target,
            remaining_s,
            self._answer.last_event,
        )
        head = self._ports.codec.encode_request(sent)
        error = attempt.send(head, self._admitted.req.body)
        if error is not None and not attempt.has_early_answer():
            return self._fail(error.message)
        return self._await_head(attempt)

    def _has_lapsed(self) -> bool:
        """Return whether the request must not be sent any more."""
        fleet = self._ports.published_fleet.latest()
        denial = check_parts(
            self._admitted.req, fleet, is_retry=bool(self._sent)
        )
        if denial is None and not self._answer.has_started:
            denial = recheck(
                self._admitted,
                fleet,
                self._ports.bounds,
                self._ports.clock.now_s(),
            )
        if denial is None:
            return False
        self._outcome = Outcome.LEFT
        self._reason = denial
        self._retry_after_s = LAPSED_RETRY_AFTER_S
        return True

    def _await_head(self, attempt: TargetAttempt) -> RequestEvent:
        sent_s = self._ports.clock.now_s()
        event = attempt.next_event(sent_s + self._stall_timeout_s())
        if isinstance(event, HeadRead):
            return self._judge(event, attempt)
        return self._end_of_attempt(event)

    def _judge(self, head: HeadRead, attempt: TargetAttempt) -> RequestEvent:
        answer = self._ports.codec.decode_answer(head)
        if answer.load is not None:
            reported = LoadReceived(attempt.destination.target, answer.load)
            self._ports.dispatcher.post(reported)
        if answer.notice != NO_NOTICE:
            self._ports.dispatcher.post(
                NoticeReceived(attempt.destination, answer.notice)
            )
        # Of the answers without a limit, only a stamped one is sure to come from
        # the target.
        if answer.is_stamped or answer.limit_per_s is not None:
            self._ports.dispatcher.post(
                LimitNamed(attempt.destination.target, answer.limit_per_s)
            )
        if answer.was_not_run:
            self._unsettled -= {attempt.destination.target}
        verdict = judge(answer, self._admitted.req, self._facts())
        self._reason = verdict.reason
        if verdict.event is RequestEvent.HEAD_RECEIVED:
            self._began_s = self._ports.clock.now_s()
            if self._admitted.req.shared_parts:
                self._under_way_s = self._began_s + UNDER_WAY_S
            self._answer.begin(answer)
        elif verdict.event is RequestEvent.REJECTED:
            self._outcome = Outcome.TURNED_AWAY
            self._retry_after_s = REJECTED_RETRY_AFTER_S
        else:
            self._outcome = Outcome.LOST
        return verdict.event

    def _relay(self, attempt: TargetAttempt) -> RequestEvent:
        try:
            event = self._relay_body(attempt)
        except AnswerTooLargeError as exc:
            return self._fail(str(exc))
        if not isinstance(event, AnswerEnded):
            return self._end_of_attempt(event)
        self._reason = ''
        if self._answer.has_partial_event():
            return self._fail('the stream ends inside an event')
        if event.is_framed and self._admitted.req.shared_parts:
            self._ports.parts.post(
                PartsServed(self._admitted.req.shared_parts, self._began_s)
            )
        return RequestEvent.ANSWER_COMPLETED

    def _relay_body(self, attempt: TargetAttempt) -> LinkEvent | Interruption:
        """Relay the pieces of the body; return the event that follows them."""
        progress_s = self._ports.clock.now_s()
        while True:
            event = attempt.next_event(progress_s + self._stall_timeout_s())
            if not isinstance(event, BodyRead):
                return event
            if self._answer.add_piece(event.piece):
                progress_s = self._ports.clock.now_s()
                if progress_s >= self._under_way_s:
                    self._under_way_s = math.inf
                    self._ports.parts.post(
                        AnswerUnderWay(
                            self._admitted.req.shared_parts, self._began_s
                        )
                    )

    def _stall_timeout_s(self) -> float:
        """Return the stall timeout at a target.

        It is infinite if the request can't be retried, since no other target
        may take over then.
        """
        if not self._facts().may_retry():
            return math.inf
        has_begun = bool(self._answer.last_event)
        return stall_timeout_s(self._admitted.route, has_begun)

    def _end_of_attempt(self, event: LinkEvent | Interruption) -> RequestEvent:
        """Return the event for an attempt that ended early."""
        if isinstance(event, Interruption):
            meaning = _INTERRUPTIONS[event]
            self._outcome = meaning.outcome
            self._reason = event
            return meaning.event
        if isinstance(event, LinkError):
            return self._fail(event.message)
        return self._fail('no head came')

    def _fail(self, reason: str) -> RequestEvent:
        self._outcome = Outcome.LOST
        self._reason = reason
        return RequestEvent.ATTEMPT_FAILED

    def _release_slot(self) -> None:
        """Release the slot and close the connection to the target."""
        if self._attempt is None:
            return
        self._attempt.close()
        destination = self._attempt.destination
        self._attempt = None
        self._ports.dispatcher.post(
            SlotReleased(destination.target, self._outcome)
        )
        if self._outcome is Outcome.LOST:
            _log_loss(self._admitted.req, destination.target, self._reason)
            self._ports.parts.post(
                AnswerLost(destination, self._admitted.req.shared_parts)
            )

    def _finish(self, action: RequestAction) -> None:
        """Complete, abort or refuse the answer to the caller."""
        if action is RequestAction.FINISH:
            self._answer.finish()
        elif action is RequestAction.CUT:
            self._answer.abort()
        elif action is not RequestAction.CANCEL:
            status = _refusal_status(action, may_have_run=bool(self._unsettled))
            self._answer.refuse(status, self._reason, self._retry_after_s)


def _log_loss(req: CallerRequest, target: TargetName, reason: str) -> None:
    _log.info(
        'request %s lost its answer at target %s',
        req.attempt,
        target,
        extra={
            'request': req.attempt,
            'target': target,
            'reason': reason,
            'shared_parts': req.shared_parts,
        },
    )


def _target_request(
    admitted: AdmittedRequest,
    target: TargetName,
    remaining_s: float,
    last_event: str,
) -> TargetRequest:
    organisation = OrganisationName('')
    if admitted.organisation is not None:
        organisation = admitted.organisation.name
    return TargetRequest(
        req=admitted.req,
        expected=target,
        organisation=organisation,
        priority=admitted.priority,
        remaining_s=remaining_s,
        last_event=last_event or admitted.req.last_event,
    )


def _refusal_status(action: RequestAction, *, may_have_run: bool) -> int:
    """Return the status of a refusal.

    503 means that the request has not run. Callers may then send it again
    even if it must not run twice.
    """
    if action is RequestAction.REFUSE or not may_have_run:
        return _UNAVAILABLE
    if action is RequestAction.TIME_OUT:
        return _GATEWAY_TIMEOUT
    return _BAD_GATEWAY

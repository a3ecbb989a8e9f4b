"""Runs one request by its chart: places it, sends it, relays the answer."""

import math
from dataclasses import dataclass

from ..decide.answer_verdict import judge
from ..decide.entry_request_chart import (
    RequestAction,
    RequestEvent,
    RequestFacts,
    RequestState,
)
from ..decide.stall_timeout import stall_timeout_s
from ..model.entry_request import AdmittedRequest, TargetRequest
from ..model.ids import OrganisationName, TargetName
from ..tasks.mailbox import Mailbox
from ..wire.caller_connection import CallerConnection, CallerLeftError
from ..wire.target_link import (
    AnswerEnded,
    BodyRead,
    HeadRead,
    LinkError,
    LinkEvent,
)
from .caller_answer import CallerAnswer
from .messages import (
    LoadReceived,
    Outcome,
    SlotAnswer,
    SlotDenied,
    SlotReleased,
    SlotRequested,
)
from .request_ports import RequestPorts
from .target_attempt import Interruption, TargetAttempt

#: Seconds after which a caller is told to come back whose request a target
#: has turned away: some places become free in this time.
RETRY_AFTER_S = 0.6

_BAD_GATEWAY = 502
_UNAVAILABLE = 503
_GATEWAY_TIMEOUT = 504


@dataclass(frozen=True)
class _Meaning:
    """What an interruption means for the request, and for the target."""

    event: RequestEvent
    outcome: Outcome


_INTERRUPTED = {
    Interruption.CALLER_LEFT: _Meaning(RequestEvent.CALLER_LEFT, Outcome.LEFT),
    Interruption.EXPIRED: _Meaning(RequestEvent.EXPIRED, Outcome.LEFT),
    Interruption.NO_ANSWER: _Meaning(
        RequestEvent.ATTEMPT_FAILED, Outcome.NO_ANSWER
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
        Status that the caller got; zero for none.
    targets
        Targets that it was sent to, in this order.
    reason
        What was seen last.
    first_s, whole_s
        Seconds until the first byte and the end of the answer.

    """

    state: RequestState
    status: int
    targets: tuple[TargetName, ...]
    reason: str
    first_s: float
    whole_s: float


class RequestRun:
    """One request; used by the task of its connection.

    Parameters
    ----------
    conn
        The caller's connection.
    admitted
        The request.
    ports
        Whom to talk to.

    """

    def __init__(
        self,
        conn: CallerConnection,
        admitted: AdmittedRequest,
        ports: RequestPorts,
    ) -> None:
        """Start without a target."""
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
        self._try: TargetAttempt | None = None
        self._tried: tuple[TargetName, ...] = ()
        self._sent: tuple[TargetName, ...] = ()
        self._may_have_run = False
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
            self._release()
            if action is not None:
                self._finish(action)
        except CallerLeftError:
            state = RequestState.CALLER_LEFT
            self._outcome = Outcome.LEFT
        finally:
            self._release()
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
            may_have_run=self._may_have_run,
        )

    def _step(self, action: RequestAction) -> RequestEvent:
        if action is RequestAction.REQUEST_SLOT:
            return self._place()
        if self._try is None:
            return RequestEvent.CONNECT_FAILED
        if action is RequestAction.SEND:
            return self._send(self._try)
        return self._relay(self._try)

    def _place(self) -> RequestEvent:
        self._release()
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
        given = self._replies.take(remaining_s)
        if given is None:
            return RequestEvent.EXPIRED
        if isinstance(given, SlotDenied):
            self._retry_after_s = given.retry_after_s
            self._reason = given.denial
            return RequestEvent.SLOT_DENIED
        self._outcome = Outcome.ANSWERED
        self._tried = (*self._tried, given.destination.target)
        self._try = TargetAttempt(
            given.destination,
            self._conn,
            self._admitted.deadline_s,
            self._ports.clock,
        )
        return RequestEvent.SLOT_GRANTED

    def _send(self, attempt: TargetAttempt) -> RequestEvent:
        failed = attempt.connect()
        if failed is not None:
            self._outcome = Outcome.UNREACHED
            self._reason = failed.message
            return RequestEvent.CONNECT_FAILED
        remaining_s = self._admitted.deadline_s - self._ports.clock.now_s()
        if remaining_s <= 0:
            return RequestEvent.EXPIRED
        if self._conn.has_left():
            return RequestEvent.CALLER_LEFT
        self._sent = (*self._sent, attempt.destination.target)
        sent = self._message(attempt.destination.target, remaining_s)
        head = self._ports.codec.encode_request(sent)
        failed = attempt.send(head, self._admitted.req.body)
        if failed is not None:
            self._may_have_run = True
            return self._lost(failed.message)
        return self._await_head(attempt)

    def _message(self, target: TargetName, remaining_s: float) -> TargetRequest:
        admitted = self._admitted
        organisation = OrganisationName('')
        if admitted.organisation is not None:
            organisation = admitted.organisation.name
        return TargetRequest(
            req=admitted.req,
            expected=target,
            organisation=organisation,
            priority=admitted.priority,
            remaining_s=remaining_s,
            last_event=self._answer.last_event or admitted.req.last_event,
        )

    def _await_head(self, attempt: TargetAttempt) -> RequestEvent:
        event = attempt.next_event(self._patience_s())
        if isinstance(event, HeadRead):
            return self._judge(event, attempt)
        self._may_have_run = True
        return self._ended(event)

    def _judge(self, head: HeadRead, attempt: TargetAttempt) -> RequestEvent:
        answer = self._ports.codec.decode_answer(head)
        if answer.load is not None:
            heard = LoadReceived(attempt.destination.target, answer.load)
            self._ports.dispatcher.post(heard)
        if not answer.was_not_run:
            self._may_have_run = True
        verdict = judge(answer, self._admitted.req, self._facts())
        self._reason = verdict.reason
        if verdict.event is RequestEvent.HEAD_RECEIVED:
            self._answer.begin(answer)
        elif verdict.event is RequestEvent.REJECTED:
            self._outcome = Outcome.TURNED_AWAY
            self._retry_after_s = RETRY_AFTER_S
        else:
            self._outcome = Outcome.LOST
        return verdict.event

    def _relay(self, attempt: TargetAttempt) -> RequestEvent:
        while True:
            event = attempt.next_event(self._patience_s())
            if isinstance(event, BodyRead):
                self._answer.take(event.piece)
            elif isinstance(event, AnswerEnded):
                if self._answer.has_partial_event():
                    return self._lost('the stream ends inside an event')
                return RequestEvent.ANSWER_COMPLETED
            else:
                return self._ended(event)

    def _patience_s(self) -> float:
        """Return the longest silence; endless for what runs once only."""
        if not self._facts().may_retry():
            return math.inf
        has_begun = bool(self._answer.last_event)
        return stall_timeout_s(self._admitted.route, has_begun)

    def _ended(self, event: LinkEvent | Interruption) -> RequestEvent:
        """Say what the early end of a try means for the request."""
        if isinstance(event, Interruption):
            meaning = _INTERRUPTED[event]
            self._outcome = meaning.outcome
            self._reason = event
            return meaning.event
        if isinstance(event, LinkError):
            return self._lost(event.message)
        return self._lost('no head came')

    def _lost(self, reason: str) -> RequestEvent:
        self._outcome = Outcome.LOST
        self._reason = reason
        return RequestEvent.ATTEMPT_FAILED

    def _release(self) -> None:
        """Give the place back and close the target's connection."""
        if self._try is not None:
            self._try.close()
            ended = SlotReleased(self._try.destination.target, self._outcome)
            self._ports.dispatcher.post(ended)
            self._try = None

    def _finish(self, action: RequestAction) -> None:
        """Give the caller the end of the answer."""
        if action is RequestAction.FINISH:
            self._answer.finish()
        elif action is RequestAction.CUT:
            self._answer.cut()
        elif action is not RequestAction.CANCEL:
            status = self._refusal_status(action)
            self._answer.refuse(status, self._reason, self._retry_after_s)

    def _refusal_status(self, action: RequestAction) -> int:
        """Return a status that is true: 503 says that nothing has run."""
        if action is RequestAction.REFUSE or not self._may_have_run:
            return _UNAVAILABLE
        if action is RequestAction.TIME_OUT:
            return _GATEWAY_TIMEOUT
        return _BAD_GATEWAY

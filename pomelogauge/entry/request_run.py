"""Runs one request by its chart: places it, sends it, relays the answer."""

from dataclasses import dataclass

from returns.result import Failure

from ..decide.entry_request_chart import (
    RequestAction,
    RequestEvent,
    RequestFacts,
    RequestState,
)
from ..decide.serving_rules import Denial
from ..decide.silence import longest_silence_s
from ..model.entry_request import (
    AdmittedRequest,
    Spot,
    TargetAnswer,
    TargetRequest,
)
from ..model.ids import OrganisationName, TargetName
from ..tasks.mailbox import Mailbox
from ..wire.caller_connection import (
    CallerConnection,
    CallerLeftError,
    wait_readable,
)
from ..wire.event_stream import EventCutter
from ..wire.target_link import (
    AnswerEnded,
    BodyRead,
    HeadRead,
    LinkError,
    LinkEvent,
    TargetLink,
)
from .messages import (
    LoadHeard,
    Outcome,
    PlaceAnswer,
    PlaceAsked,
    PlaceDenied,
    PlaceEnded,
)
from .request_ports import RequestPorts

#: Seconds to connect to a target. A new connection takes about one
#: millisecond of the target's time and two on the way.
CONNECT_S = 0.4
#: Longest seconds between two looks at a silent request.
LOOK_S = 0.25
#: Status of a failure of the target itself.
_SERVER_ERROR = 500
_BAD_GATEWAY = 502
_UNAVAILABLE = 503
_GATEWAY_TIMEOUT = 504


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
        self._replies: Mailbox[PlaceAnswer] = Mailbox()
        self._spot: Spot | None = None
        self._link: TargetLink | None = None
        self._answer: TargetAnswer | None = None
        self._pending: list[LinkEvent] = []
        self._tried: tuple[TargetName, ...] = ()
        self._sent: tuple[TargetName, ...] = ()
        self._cutter = EventCutter()
        self._body = bytearray()
        self._started = False
        self._may_have_run = False
        self._retry_after_s = 0.0
        self._reason = ''
        self._status = 0
        self._first_s = 0.0
        self._outcome = Outcome.ANSWERED

    def run(self) -> RequestEnd:
        """Serve the request and return how it ended."""
        state = self._ports.chart.initial
        action: RequestAction | None = RequestAction.PLACE
        try:
            while action is not None and state not in self._ports.chart.final:
                event = self._step(action)
                move = self._ports.chart.step(state, event, self._facts())
                state, action = move.state, move.action
            if action is not None:
                self._finish(action)
        except CallerLeftError:
            state = RequestState.LEFT
            self._outcome = Outcome.LEFT
        finally:
            self._release()
        req = self._admitted.req
        return RequestEnd(
            state,
            self._status,
            self._sent,
            self._reason,
            self._first_s,
            self._ports.clock.now_s() - req.read_s,
        )

    def _facts(self) -> RequestFacts:
        route = self._admitted.route
        return RequestFacts(
            started=self._started,
            repeatable=self._is_repeatable(),
            targets_left=route.most_targets - len(self._sent),
            may_have_run=self._may_have_run,
        )

    def _is_repeatable(self) -> bool:
        route = self._admitted.route
        if self._started:
            return route.may_resume
        return route.may_repeat()

    def _step(self, action: RequestAction) -> RequestEvent:
        if action is RequestAction.PLACE:
            return self._place()
        if action is RequestAction.SEND:
            return self._send()
        return self._relay()

    def _place(self) -> RequestEvent:
        self._release()
        left_s = self._left_s()
        if left_s <= 0:
            return RequestEvent.EXPIRED
        if self._conn.has_left():
            return RequestEvent.CALLER_LEFT
        self._ports.dispatcher.post(
            PlaceAsked(
                self._admitted,
                frozenset(self._tried),
                bool(self._sent),
                self._replies,
            )
        )
        answer = self._replies.take(left_s)
        if answer is None:
            return RequestEvent.EXPIRED
        if isinstance(answer, PlaceDenied):
            self._retry_after_s = answer.retry_after_s
            self._reason = answer.denial
            return RequestEvent.NO_PLACE
        self._spot = answer.spot
        self._outcome = Outcome.ANSWERED
        self._tried = (*self._tried, answer.spot.target)
        return RequestEvent.PLACED

    def _send(self) -> RequestEvent:
        spot = self._spot
        if spot is None:
            return RequestEvent.UNREACHED
        opened = TargetLink.connect(spot.address, CONNECT_S)
        if isinstance(opened, Failure):
            return self._unreached(opened.failure())
        self._link = opened.unwrap()
        left_s = self._left_s()
        if left_s <= 0:
            return RequestEvent.EXPIRED
        if self._conn.has_left():
            return RequestEvent.CALLER_LEFT
        self._sent = (*self._sent, spot.target)
        head = self._ports.codec.encode_request(self._message(spot, left_s))
        failed = self._link.send(head, self._admitted.req.body, left_s)
        if failed is not None:
            self._may_have_run = True
            return self._lost(failed.message)
        return self._await_head()

    def _message(self, spot: Spot, left_s: float) -> TargetRequest:
        admitted = self._admitted
        organisation = OrganisationName('')
        if admitted.organisation is not None:
            organisation = admitted.organisation.name
        return TargetRequest(
            req=admitted.req,
            expected=spot.target,
            organisation=organisation,
            priority=admitted.priority,
            left_s=left_s,
            last_event=self._cutter.last_id or admitted.req.last_event,
        )

    def _await_head(self) -> RequestEvent:
        event = self._next()
        if isinstance(event, RequestEvent):
            self._may_have_run = True
            return event
        if not isinstance(event, HeadRead):
            self._may_have_run = True
            return self._lost(_message_of(event))
        return self._judge(self._ports.codec.decode_answer(event))

    def _judge(self, answer: TargetAnswer) -> RequestEvent:
        """Say what the head of an answer means for the request."""
        self._answer = answer
        spot = self._spot
        if answer.load is not None and spot is not None:
            self._ports.dispatcher.post(LoadHeard(spot.target, answer.load))
        if answer.was_not_run:
            self._outcome = Outcome.TURNED_AWAY
            self._reason = f'turned away with {answer.status}'
            self._retry_after_s = RETRY_AFTER_TURNED_AWAY_S
            return RequestEvent.TURNED_AWAY
        self._may_have_run = True
        if answer.attempt and answer.attempt != self._admitted.req.attempt:
            return self._lost('answer to another request')
        if answer.is_success():
            if not answer.is_stamped or answer.is_encoded:
                return self._lost("answer is not the target's own")
            return RequestEvent.HEAD
        if self._started or self._may_try_again(answer):
            return self._lost(f'target answered {answer.status}')
        return RequestEvent.HEAD

    def _may_try_again(self, answer: TargetAnswer) -> bool:
        return answer.status >= _SERVER_ERROR and self._facts().may_repeat()

    def _relay(self) -> RequestEvent:
        answer = self._answer
        is_stream = answer is not None and (
            answer.is_stream and answer.is_success()
        )
        if self._started:
            self._cutter.restart()
        while True:
            event = self._next()
            if isinstance(event, RequestEvent):
                return event
            if isinstance(event, BodyRead):
                self._take_piece(event.piece, is_stream)
            elif isinstance(event, AnswerEnded):
                return self._complete(is_stream)
            else:
                return self._lost(_message_of(event))

    def _take_piece(self, piece: bytes, is_stream: bool) -> None:
        if not is_stream:
            self._body += piece
            return
        whole = self._cutter.whole(piece)
        if whole:
            self._start()
            self._conn.send_piece(whole)

    def _complete(self, is_stream: bool) -> RequestEvent:
        if is_stream and self._cutter.is_torn:
            return self._lost('the stream ends inside an event')
        return RequestEvent.ENDED

    def _start(self) -> None:
        answer = self._answer
        if self._started or answer is None:
            return
        self._started = True
        self._note_first(answer.status)
        self._conn.start_answer(
            answer.status, answer.headers, self._ports.leaving.latest()
        )

    def _note_first(self, status: int) -> None:
        self._status = status
        now_s = self._ports.clock.now_s()
        self._first_s = now_s - self._admitted.req.read_s

    def _next(self) -> LinkEvent | RequestEvent:
        """Wait for the target's next event, the caller's leaving or time."""
        link = self._link
        if link is None:
            return RequestEvent.LOST
        if self._pending:
            return self._pending.pop(0)
        silent_since_s = self._ports.clock.now_s()
        while not self._pending:
            ended = self._wait(link, silent_since_s)
            if ended is not None:
                return ended
        return self._pending.pop(0)

    def _wait(
        self,
        link: TargetLink,
        silent_since_s: float,
    ) -> RequestEvent | None:
        now_s = self._ports.clock.now_s()
        left_s = self._admitted.until_s - now_s
        if left_s <= 0:
            self._reason = Denial.EXPIRED
            return RequestEvent.EXPIRED
        if self._is_silent(now_s - silent_since_s):
            self._outcome = Outcome.SILENT
            self._reason = 'the target is silent'
            return RequestEvent.LOST
        watched: tuple[int, ...] = (link.fileno(),)
        if self._conn.may_have_left:
            watched = (link.fileno(), self._conn.fileno())
        ready = wait_readable(watched, min(left_s, LOOK_S))
        if self._conn.fileno() in ready and self._conn.has_left():
            self._outcome = Outcome.LEFT
            return RequestEvent.CALLER_LEFT
        if link.fileno() in ready:
            self._pending.extend(link.receive())
        return None

    def _is_silent(self, silence_s: float) -> bool:
        longest_s = longest_silence_s(
            self._admitted.route, bool(self._cutter.last_id)
        )
        return silence_s > longest_s and self._facts().may_repeat()

    def _lost(self, reason: str) -> RequestEvent:
        self._outcome = Outcome.LOST
        self._reason = reason
        return RequestEvent.LOST

    def _unreached(self, error: LinkError) -> RequestEvent:
        self._outcome = Outcome.UNREACHED
        self._reason = error.message
        return RequestEvent.UNREACHED

    def _release(self) -> None:
        """Give the place back and close the target's connection."""
        if self._link is not None:
            self._link.close()
            self._link = None
        if self._spot is not None:
            ended = PlaceEnded(self._spot.target, self._outcome)
            self._ports.dispatcher.post(ended)
            self._spot = None
        self._pending = []
        self._body = bytearray()

    def _left_s(self) -> float:
        return self._admitted.until_s - self._ports.clock.now_s()

    def _finish(self, action: RequestAction) -> None:
        """Give the caller the end of the answer."""
        if action is RequestAction.FINISH:
            self._give_whole()
        elif action is RequestAction.CUT:
            self._conn.abort()
        elif action is RequestAction.REFUSE:
            self._refuse(_UNAVAILABLE)
        elif action is RequestAction.FAIL:
            self._refuse(_BAD_GATEWAY)
        elif action is RequestAction.TIME_OUT:
            ran = self._may_have_run
            self._refuse(_GATEWAY_TIMEOUT if ran else _UNAVAILABLE)

    def _give_whole(self) -> None:
        answer = self._answer
        if self._started:
            self._conn.end_answer()
        elif answer is not None:
            self._note_first(answer.status)
            self._conn.answer(
                answer.status,
                answer.headers,
                bytes(self._body),
                self._ports.leaving.latest(),
            )

    def _refuse(self, status: int) -> None:
        self._note_first(status)
        retry_after_s = self._retry_after_s if status == _UNAVAILABLE else 0
        self._conn.answer(
            status,
            self._ports.codec.refusal_headers(retry_after_s),
            self._ports.codec.refusal_body(self._reason),
            self._ports.leaving.latest(),
        )


def _message_of(event: LinkEvent) -> str:
    return event.message if isinstance(event, LinkError) else 'no head came'


#: Seconds after which a caller is told to come back whose request a target
#: has turned away.
RETRY_AFTER_TURNED_AWAY_S = 0.6

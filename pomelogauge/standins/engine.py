"""Stand-in for model engines: one process hosts one or several instances."""

from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from http import HTTPStatus
from typing import TypeVar

from ..model.ids import Address, Epoch, InstanceName, ReplicaId, RequestId
from ..tasks.clock import MonotonicClock
from ..tasks.mailbox import Mailbox
from ..tasks.task import Task
from .engine_json import (
    events_fields,
    mode_of,
    order_of,
    record_fields,
    report_fields,
)
from .engine_load import CacheEvent
from .engine_messages import (
    CancelAsked,
    Closing,
    CutsSet,
    EngineMessage,
    EngineRecord,
    EngineReport,
    EventsAsked,
    Gate,
    GateAsked,
    Held,
    MembersWatched,
    ModeSet,
    OrderGiven,
    RecordAsked,
    StatusAsked,
    StreamAsked,
    StreamMessage,
    StreamTaken,
)
from .engine_model import Admission, EngineLimits, OldFence
from .engine_stream import AnswerParts, plan_answer
from .engine_task import EngineActor, EngineTimes
from .engine_watch import MemberWatchActor
from .http_app import (
    NO_CONTENT,
    Cut,
    HttpAnswer,
    HttpAsk,
    HttpServer,
    HttpStream,
    RefusedError,
    Route,
    answer_of,
    error,
    json_answer,
    json_body,
    keep_open,
    print_ready,
    wait_for_signal,
)
from .tokens import prefix_of

ReplyT = TypeVar('ReplyT')


@dataclass(frozen=True)
class EngineStandinSettings(EngineTimes, EngineLimits):
    """Settings of a process that hosts engines, with limits and times.

    Parameters
    ----------
    port
        Port of the first engine, the others follow; zero takes free ports.
    count
        Number of engines.
    name_prefix
        The engines are named by it, a hyphen and their number from zero.
    threads
        Threads that answer calls, for each engine; more than the slots.

    """

    port: int = 0
    count: int = 1
    name_prefix: str = 'engine'
    threads: int = 32

    def names(self) -> tuple[InstanceName, ...]:
        """Return the names of the engines."""
        return tuple(
            InstanceName(f'{self.name_prefix}-{number}')
            for number in range(self.count)
        )

    def port_of(self, number: int) -> int:
        """Return the port that an engine binds."""
        return self.port + number if self.port else 0


class EngineCalls:
    """Answers the calls of an engine's own interface."""

    def __init__(self, task: Task[EngineMessage]) -> None:
        """Ask this task."""
        self._task = task
        self._clock = MonotonicClock()

    def routes(self) -> tuple[Route, ...]:
        """Return the routes of the interface."""
        routes = (
            Route('GET', '/v1/status', self._status),
            Route('POST', '/v1/orders', self._order),
            Route('POST', '/v1/chat/completions', self._stream),
            Route('DELETE', '/v1/requests/*', self._cancel),
            Route('GET', '/v1/cache-events', self._events),
        )
        return routes

    def _status(self, ask: HttpAsk) -> HttpAnswer:
        self._pass_gate(ask)
        reply: Mailbox[EngineReport] = Mailbox()
        self._task.post(StatusAsked(reply))
        return json_answer(report_fields(answer_of(reply)))

    def _order(self, ask: HttpAsk) -> HttpAnswer:
        self._pass_gate(ask)
        reply: Mailbox[EngineReport | OldFence] = Mailbox()
        self._task.post(OrderGiven(order_of(json_body(ask)), reply))
        outcome = answer_of(reply)
        if isinstance(outcome, OldFence):
            refused = {'code': 'old_fence', 'epoch': outcome.epoch}
            return json_answer({'error': refused}, HTTPStatus.CONFLICT)
        return json_answer(report_fields(outcome), HTTPStatus.ACCEPTED)

    def _stream(self, ask: HttpAsk) -> HttpStream:
        self._pass_gate(ask)
        request = RequestId(ask.headers.get('x-request-id', ''))
        replica = ReplicaId(ask.headers.get('x-replica', ''))
        first = int(ask.headers.get('x-resume-at', 0))
        fields = json_body(ask)
        plan = plan_answer(request, replica, first, fields)
        inbox: Mailbox[StreamMessage] = Mailbox()
        reply: Mailbox[StreamTaken | Admission] = Mailbox()
        asked = StreamAsked(
            request=request,
            client=ask.client,
            replica=replica,
            epoch=Epoch(int(ask.headers.get('x-epoch', 0))),
            prefix=prefix_of(fields['messages']),
            stream=inbox,
            reply=reply,
        )
        self._task.post(asked)
        taken = _taken(answer_of(reply))
        headers = (
            ('X-Request-Id', request),
            ('X-Incarnation', taken.incarnation),
        )
        parts = AnswerParts(plan, taken, inbox, self._task, self._clock)
        return HttpStream(parts, headers)

    def _cancel(self, ask: HttpAsk) -> HttpAnswer:
        self._pass_gate(ask)
        self._task.post(CancelAsked(RequestId(ask.names[0])))
        return NO_CONTENT

    def _events(self, ask: HttpAsk) -> HttpAnswer:
        self._pass_gate(ask)
        after = int(ask.query.get('after', 0))
        reply: Mailbox[tuple[CacheEvent, ...]] = Mailbox()
        self._task.post(EventsAsked(after, reply))
        return json_answer(events_fields(after, answer_of(reply)))

    def _pass_gate(self, ask: HttpAsk) -> None:
        reply: Mailbox[Gate] = Mailbox()
        self._task.post(GateAsked(ask.client, reply))
        gate = answer_of(reply)
        if gate is Gate.CUT:
            raise Cut
        if gate is Gate.HELD:
            cut = keep_open(ask.connection)
            self._task.post(Held(ask.connection))
            raise cut


class EngineControls:
    """Answers the calls of tests."""

    def __init__(self, task: Task[EngineMessage]) -> None:
        """Tell this task of changes."""
        self._task = task

    def routes(self) -> tuple[Route, ...]:
        """Return the routes of the interface."""
        return (
            Route('PUT', '/control/mode', self._set_mode),
            Route('PUT', '/control/cuts', self._set_cuts),
            Route('GET', '/control/record', self._record),
        )

    def _set_mode(self, ask: HttpAsk) -> HttpAnswer:
        self._task.post(ModeSet(mode_of(json_body(ask))))
        return NO_CONTENT

    def _set_cuts(self, ask: HttpAsk) -> HttpAnswer:
        clients = frozenset(json_body(ask)['clients'])
        self._task.post(CutsSet(clients))
        return NO_CONTENT

    def _record(self, ask: HttpAsk) -> HttpAnswer:
        reply: Mailbox[EngineRecord] = Mailbox()
        self._task.post(RecordAsked(reply))
        return json_answer(record_fields(answer_of(reply)))


class EngineStandin:
    """One engine: its server, and the tasks that own its state.

    Parameters
    ----------
    cfg
        Settings of the process.
    number
        Which of its engines this is.

    """

    def __init__(self, cfg: EngineStandinSettings, number: int = 0) -> None:
        """Bind the port."""
        clock = MonotonicClock()
        self.name = cfg.names()[number]
        actor = EngineActor(self.name, cfg, cfg, clock)
        self._task: Task[EngineMessage] = Task(self.name, actor)
        self._watch: Task[MembersWatched] = Task(
            f'{self.name}-watch',
            MemberWatchActor(clock, self._task),
        )
        actor.watch_with(self._watch)
        calls = EngineCalls(self._task)
        controls = EngineControls(self._task)
        self._server = HttpServer(
            cfg.port_of(number),
            calls.routes() + controls.routes(),
            cfg.threads,
        )

    @property
    def address(self) -> Address:
        """Return ``host:port``."""
        return self._server.address

    def start(self) -> None:
        """Answer calls."""
        self._task.start()
        self._watch.start()
        self._server.start()

    def stop(self) -> None:
        """Cut all streams, close the port and end the tasks."""
        self._task.post(Closing())
        # Calls in progress still need the task's answers.
        self._server.stop()
        self._watch.stop()
        self._task.stop()


def run_engine(cfg: EngineStandinSettings) -> None:
    """Serve until the process is told to end."""
    engines = [EngineStandin(cfg, number) for number in range(cfg.count)]
    for engine in engines:
        engine.start()
        print_ready('engine', engine.name, engine.address)
    wait_for_signal()
    # Each server waits a while for its threads, so they stop together.
    with ThreadPoolExecutor(cfg.count) as stops:
        stops.map(EngineStandin.stop, engines)


def _taken(admission: StreamTaken | Admission) -> StreamTaken:
    if isinstance(admission, StreamTaken):
        return admission
    if admission is Admission.FELL_OVER:
        raise Cut
    status = HTTPStatus.SERVICE_UNAVAILABLE
    if admission is Admission.WRONG_REPLICA:
        status = HTTPStatus.CONFLICT
    raise RefusedError(error(status, admission, 'the request was not run'))

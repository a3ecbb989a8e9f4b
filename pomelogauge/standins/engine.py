"""Stand-in for model engines; one process hosts one or more instances."""

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
    BlockedClientsSet,
    CancelRequested,
    Closing,
    ConnectionHeld,
    EngineMessage,
    EngineRecord,
    EngineReport,
    EventsRequested,
    GateDecision,
    GateDecisionRequested,
    ModeSet,
    OrderReceived,
    RecordRequested,
    StatusRequested,
    StreamAccepted,
    StreamMessage,
    StreamRequested,
    WatchMembers,
)
from .engine_model import Admission, EngineLimits, StaleFencingToken
from .engine_stream import TokenStream, plan_response
from .engine_task import EngineActor, EngineTimes
from .engine_watch import MemberWatchActor
from .http_app import (
    NO_CONTENT,
    ConnectionDroppedError,
    HttpRequest,
    HttpResponse,
    HttpServer,
    HttpStream,
    RefusedError,
    Route,
    await_reply,
    error_response,
    json_body,
    json_response,
    keep_open,
    print_ready,
    wait_for_signal,
)
from .tokens import prefix_of

ReplyT = TypeVar('ReplyT')


@dataclass(frozen=True)
class EngineStandinSettings(EngineTimes, EngineLimits):
    """Settings of a process that hosts engines.

    Parameters
    ----------
    port
        Port of the first engine; the others take the ports after it. Zero
        lets the system choose all ports.
    count
        Number of engines in the process.
    name_prefix
        Engines are named ``<prefix>-<number>``, counted from zero.
    threads
        HTTP worker threads of each engine. Has to exceed the slots, because
        each stream occupies a thread.

    """

    port: int = 0
    count: int = 1
    name_prefix: str = 'engine'
    threads: int = 32

    def names(self) -> tuple[InstanceName, ...]:
        """Return the instance names in the order of their numbers."""
        return tuple(
            InstanceName(f'{self.name_prefix}-{number}')
            for number in range(self.count)
        )

    def port_of(self, number: int) -> int:
        """Return the port that an engine binds; zero for any free port."""
        return self.port + number if self.port else 0


class EngineCalls:
    """HTTP handlers of the engine interface that routers and owners use."""

    def __init__(self, task: Task[EngineMessage]) -> None:
        """Forward calls to the task that owns the engine."""
        self._task = task
        self._clock = MonotonicClock()

    def routes(self) -> tuple[Route, ...]:
        """Return the routes that these handlers serve."""
        routes = (
            Route('GET', '/v1/status', self._status),
            Route('POST', '/v1/orders', self._order),
            Route('POST', '/v1/chat/completions', self._stream),
            Route('DELETE', '/v1/requests/*', self._cancel),
            Route('GET', '/v1/cache-events', self._events),
        )
        return routes

    def _status(self, http_request: HttpRequest) -> HttpResponse:
        self._check_gate(http_request)
        reply: Mailbox[EngineReport] = Mailbox()
        self._task.post(StatusRequested(reply))
        return json_response(report_fields(await_reply(reply)))

    def _order(self, http_request: HttpRequest) -> HttpResponse:
        self._check_gate(http_request)
        reply: Mailbox[EngineReport | StaleFencingToken] = Mailbox()
        self._task.post(OrderReceived(order_of(json_body(http_request)), reply))
        outcome = await_reply(reply)
        if isinstance(outcome, StaleFencingToken):
            refused = {'code': 'old_fence', 'epoch': outcome.epoch}
            return json_response({'error': refused}, HTTPStatus.CONFLICT)
        return json_response(report_fields(outcome), HTTPStatus.ACCEPTED)

    def _stream(self, http_request: HttpRequest) -> HttpStream:
        self._check_gate(http_request)
        request = RequestId(http_request.headers.get('x-request-id', ''))
        replica = ReplicaId(http_request.headers.get('x-replica', ''))
        first = int(http_request.headers.get('x-resume-at', 0))
        fields = json_body(http_request)
        plan = plan_response(request, replica, first, fields)
        inbox: Mailbox[StreamMessage] = Mailbox()
        reply: Mailbox[StreamAccepted | Admission] = Mailbox()
        requested = StreamRequested(
            request=request,
            client=http_request.client,
            replica=replica,
            epoch=Epoch(int(http_request.headers.get('x-epoch', 0))),
            prefix=prefix_of(fields['messages']),
            stream=inbox,
            reply=reply,
        )
        self._task.post(requested)
        accepted = _accepted_stream(await_reply(reply))
        headers = (
            ('X-Request-Id', request),
            ('X-Incarnation', accepted.incarnation),
        )
        parts = TokenStream(plan, accepted, inbox, self._task, self._clock)
        return HttpStream(parts, headers)

    def _cancel(self, http_request: HttpRequest) -> HttpResponse:
        self._check_gate(http_request)
        self._task.post(CancelRequested(RequestId(http_request.names[0])))
        return NO_CONTENT

    def _events(self, http_request: HttpRequest) -> HttpResponse:
        self._check_gate(http_request)
        after = int(http_request.query.get('after', 0))
        reply: Mailbox[tuple[CacheEvent, ...]] = Mailbox()
        self._task.post(EventsRequested(after, reply))
        return json_response(events_fields(after, await_reply(reply)))

    def _check_gate(self, http_request: HttpRequest) -> None:
        reply: Mailbox[GateDecision] = Mailbox()
        self._task.post(GateDecisionRequested(http_request.client, reply))
        gate = await_reply(reply)
        if gate is GateDecision.CUT:
            raise ConnectionDroppedError
        if gate is GateDecision.HELD:
            dropped = keep_open(http_request.connection)
            self._task.post(ConnectionHeld(http_request.connection))
            raise dropped


class EngineControls:
    """HTTP handlers with which tests inject faults and read the record."""

    def __init__(self, task: Task[EngineMessage]) -> None:
        """Forward changes to the task that owns the engine."""
        self._task = task

    def routes(self) -> tuple[Route, ...]:
        """Return the routes that these handlers serve."""
        return (
            Route('PUT', '/control/mode', self._set_mode),
            Route('PUT', '/control/cuts', self._set_cuts),
            Route('GET', '/control/record', self._record),
        )

    def _set_mode(self, http_request: HttpRequest) -> HttpResponse:
        self._task.post(ModeSet(mode_of(json_body(http_request))))
        return NO_CONTENT

    def _set_cuts(self, http_request: HttpRequest) -> HttpResponse:
        clients = frozenset(json_body(http_request)['clients'])
        self._task.post(BlockedClientsSet(clients))
        return NO_CONTENT

    def _record(self, http_request: HttpRequest) -> HttpResponse:
        reply: Mailbox[EngineRecord] = Mailbox()
        self._task.post(RecordRequested(reply))
        return json_response(record_fields(await_reply(reply)))


class EngineStandin:
    """HTTP server of one engine and the tasks that own its state.

    Parameters
    ----------
    cfg
        Settings of the process.
    number
        Index of this engine in the process, from zero.

    """

    def __init__(self, cfg: EngineStandinSettings, number: int = 0) -> None:
        """Bind the port; calls are served after `start`."""
        clock = MonotonicClock()
        self.name = cfg.names()[number]
        actor = EngineActor(self.name, cfg, cfg, clock)
        self._task: Task[EngineMessage] = Task(self.name, actor)
        self._watch: Task[WatchMembers] = Task(
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
        """Return the ``host:port`` that the server listens on."""
        return self._server.address

    def start(self) -> None:
        """Start the tasks, then serve calls."""
        self._task.start()
        self._watch.start()
        self._server.start()

    def stop(self) -> None:
        """Abort all streams, close the port and stop the tasks."""
        self._task.post(Closing())
        # Calls in progress still wait for replies of the task.
        self._server.stop()
        self._watch.stop()
        self._task.stop()


def run_engine(cfg: EngineStandinSettings) -> None:
    """Serve until the process receives SIGTERM or SIGINT."""
    engines = [EngineStandin(cfg, number) for number in range(cfg.count)]
    for engine in engines:
        engine.start()
        print_ready('engine', engine.name, engine.address)
    wait_for_signal()
    # Each server waits up to a second for its threads; stop them in parallel.
    with ThreadPoolExecutor(cfg.count) as stops:
        stops.map(EngineStandin.stop, engines)


def _accepted_stream(admission: StreamAccepted | Admission) -> StreamAccepted:
    if isinstance(admission, StreamAccepted):
        return admission
    if admission is Admission.FELL_OVER:
        raise ConnectionDroppedError
    status = HTTPStatus.SERVICE_UNAVAILABLE
    if admission is Admission.WRONG_REPLICA:
        status = HTTPStatus.CONFLICT
    raise RefusedError(
        error_response(status, admission, 'the request was not run')
    )

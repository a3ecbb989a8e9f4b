"""Stand-in for a plain service."""

import json
from dataclasses import asdict, dataclass
from http import HTTPStatus
from typing import Any

from ..model.ids import Address, CallName, RequestId
from ..tasks.clock import MonotonicClock
from ..tasks.mailbox import Mailbox
from ..tasks.task import Task
from .http_app import (
    NO_CONTENT,
    Cut,
    HttpAnswer,
    HttpAsk,
    HttpServer,
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
from .service_messages import (
    CallAsked,
    CallRan,
    CutsSet,
    Held,
    ModeSet,
    NotAnswered,
    RecordAsked,
    RunCount,
    ServiceMessage,
    ServiceMode,
    ServiceModeName,
    ServiceStatus,
    StatusAsked,
)
from .service_task import ServiceActor

_REFUSED = error(
    HTTPStatus.SERVICE_UNAVAILABLE,
    'refused',
    'the call was not run',
)


@dataclass(frozen=True)
class ServiceStandinSettings:
    """Settings of a service's stand-in.

    Parameters
    ----------
    port
        Zero takes a free port.
    name
        Name of the instance.
    capacity
        Calls at once that it reports to bear.
    threads
        Threads that answer calls.

    """

    port: int = 0
    name: str = 'service'
    capacity: int = 16
    threads: int = 24


class ServiceCalls:
    """Answers the calls of a service."""

    def __init__(self, task: Task[ServiceMessage]) -> None:
        """Ask this task."""
        self._task = task

    def routes(self) -> tuple[Route, ...]:
        """Return the routes of the interface."""
        return (
            Route('POST', '/v1/calls/*', self._call),
            Route('GET', '/v1/status', self._status),
            Route('PUT', '/control/mode', self._set_mode),
            Route('PUT', '/control/cuts', self._set_cuts),
            Route('GET', '/control/record', self._record),
        )

    def _call(self, ask: HttpAsk) -> HttpAnswer:
        reply: Mailbox[CallRan | NotAnswered] = Mailbox()
        asked = CallAsked(
            call=CallName(ask.names[0]),
            key=ask.headers.get('idempotency-key', ''),
            request=RequestId(ask.headers.get('x-request-id', '')),
            client=ask.client,
            reply=reply,
        )
        self._task.post(asked)
        ran = answer_of(reply)
        if isinstance(ran, NotAnswered):
            raise self._failure(ask, ran)
        body = {
            'request': asked.request,
            'call': asked.call,
            'run': ran.run,
            'echo': _echo(ask.body),
        }
        return HttpAnswer(
            body=json.dumps(body).encode(),
            headers=(('X-Request-Id', asked.request),),
        )

    def _status(self, ask: HttpAsk) -> HttpAnswer:
        reply: Mailbox[ServiceStatus | NotAnswered] = Mailbox()
        self._task.post(StatusAsked(ask.client, reply))
        status = answer_of(reply)
        if isinstance(status, NotAnswered):
            raise self._failure(ask, status)
        return json_answer(asdict(status))

    def _set_mode(self, ask: HttpAsk) -> HttpAnswer:
        self._task.post(ModeSet(_mode(json_body(ask))))
        return NO_CONTENT

    def _set_cuts(self, ask: HttpAsk) -> HttpAnswer:
        clients = frozenset(json_body(ask)['clients'])
        self._task.post(CutsSet(clients))
        return NO_CONTENT

    def _record(self, ask: HttpAsk) -> HttpAnswer:
        reply: Mailbox[tuple[RunCount, ...]] = Mailbox()
        self._task.post(RecordAsked(reply))
        return json_answer({'runs': [asdict(run) for run in answer_of(reply)]})

    def _failure(self, ask: HttpAsk, reason: NotAnswered) -> Exception:
        if reason is NotAnswered.REFUSED:
            return RefusedError(_REFUSED)
        if reason is NotAnswered.HELD:
            cut = keep_open(ask.connection)
            self._task.post(Held(ask.connection))
            return cut
        return Cut()


class ServiceStandin:
    """The server and the task that owns its state."""

    def __init__(self, cfg: ServiceStandinSettings) -> None:
        """Bind the port."""
        self._task: Task[ServiceMessage] = Task(
            cfg.name,
            ServiceActor(cfg.name, cfg.capacity, MonotonicClock()),
        )
        routes = ServiceCalls(self._task).routes()
        self._server = HttpServer(cfg.port, routes, cfg.threads)

    @property
    def address(self) -> Address:
        """Return ``host:port``."""
        return self._server.address

    def start(self) -> None:
        """Answer calls."""
        self._task.start()
        self._server.start()

    def stop(self) -> None:
        """Close the port and end the task."""
        self._server.stop()
        self._task.stop()


def run_service(cfg: ServiceStandinSettings) -> None:
    """Serve until the process is told to end."""
    standin = ServiceStandin(cfg)
    standin.start()
    print_ready('service', cfg.name, standin.address)
    wait_for_signal()
    standin.stop()


def _echo(body: bytes) -> Any:
    try:
        return json.loads(body)
    except ValueError:
        return body.decode(errors='replace')


def _mode(fields: dict[str, Any]) -> ServiceMode:
    count = fields.get('count')
    return ServiceMode(
        mode=ServiceModeName(fields['mode']),
        delay_s=float(fields.get('delay_s', 0)),
        count=None if count is None else int(count),
    )

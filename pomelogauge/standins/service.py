"""HTTP stand-in for a plain service."""

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
    ConnectionDroppedError,
    HttpRequest,
    HttpResponse,
    HttpServer,
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
from .service_messages import (
    BlockedClientsSet,
    CallRan,
    CallRequested,
    ConnectionHeld,
    ModeSet,
    NotAnswered,
    RecordRequested,
    RunCount,
    ServiceMessage,
    ServiceMode,
    ServiceModeName,
    ServiceStatus,
    StatusRequested,
)
from .service_task import ServiceActor

_REFUSED = error_response(
    HTTPStatus.SERVICE_UNAVAILABLE,
    'refused',
    'the call was not run',
)


@dataclass(frozen=True)
class ServiceStandinSettings:
    """Settings of the stand-in for a plain service.

    Parameters
    ----------
    port
        Port to bind; zero takes a free port.
    name
        Name of the instance.
    capacity
        Reported limit of concurrent calls; it is not enforced.
    threads
        HTTP worker threads.

    """

    port: int = 0
    name: str = 'service'
    capacity: int = 16
    threads: int = 24


class ServiceCalls:
    """HTTP handlers of the service and of its fault injection."""

    def __init__(self, task: Task[ServiceMessage]) -> None:
        """Forward calls to the task that owns the service."""
        self._task = task

    def routes(self) -> tuple[Route, ...]:
        """Return the routes that these handlers serve."""
        return (
            Route('POST', '/v1/calls/*', self._call),
            Route('GET', '/v1/status', self._status),
            Route('PUT', '/control/mode', self._set_mode),
            Route('PUT', '/control/cuts', self._set_cuts),
            Route('GET', '/control/record', self._record),
        )

    def _call(self, http_request: HttpRequest) -> HttpResponse:
        reply: Mailbox[CallRan | NotAnswered] = Mailbox()
        requested = CallRequested(
            call=CallName(http_request.names[0]),
            key=http_request.headers.get('idempotency-key', ''),
            request=RequestId(http_request.headers.get('x-request-id', '')),
            client=http_request.client,
            reply=reply,
        )
        self._task.post(requested)
        ran = await_reply(reply)
        if isinstance(ran, NotAnswered):
            raise self._failure(http_request, ran)
        body = {
            'request': requested.request,
            'call': requested.call,
            'run': ran.run,
            'echo': _echo(http_request.body),
        }
        return HttpResponse(
            body=json.dumps(body).encode(),
            headers=(('X-Request-Id', requested.request),),
        )

    def _status(self, http_request: HttpRequest) -> HttpResponse:
        reply: Mailbox[ServiceStatus | NotAnswered] = Mailbox()
        self._task.post(StatusRequested(http_request.client, reply))
        status = await_reply(reply)
        if isinstance(status, NotAnswered):
            raise self._failure(http_request, status)
        return json_response(asdict(status))

    def _set_mode(self, http_request: HttpRequest) -> HttpResponse:
        self._task.post(ModeSet(_mode(json_body(http_request))))
        return NO_CONTENT

    def _set_cuts(self, http_request: HttpRequest) -> HttpResponse:
        clients = frozenset(json_body(http_request)['clients'])
        self._task.post(BlockedClientsSet(clients))
        return NO_CONTENT

    def _record(self, http_request: HttpRequest) -> HttpResponse:
        reply: Mailbox[tuple[RunCount, ...]] = Mailbox()
        self._task.post(RecordRequested(reply))
        return json_response(
            {'runs': [asdict(run) for run in await_reply(reply)]}
        )

    def _failure(
        self, http_request: HttpRequest, reason: NotAnswered
    ) -> Exception:
        if reason is NotAnswered.REFUSED:
            return RefusedError(_REFUSED)
        if reason is NotAnswered.HELD:
            dropped = keep_open(http_request.connection)
            self._task.post(ConnectionHeld(http_request.connection))
            return dropped
        return ConnectionDroppedError()


class ServiceStandin:
    """HTTP server of one service and the task that owns its state."""

    def __init__(self, cfg: ServiceStandinSettings) -> None:
        """Bind the port; calls are served after `start`."""
        self._task: Task[ServiceMessage] = Task(
            cfg.name,
            ServiceActor(cfg.name, cfg.capacity, MonotonicClock()),
        )
        routes = ServiceCalls(self._task).routes()
        self._server = HttpServer(cfg.port, routes, cfg.threads)

    @property
    def address(self) -> Address:
        """Return the ``host:port`` that the server listens on."""
        return self._server.address

    def start(self) -> None:
        """Start the task, then serve calls."""
        self._task.start()
        self._server.start()

    def stop(self) -> None:
        """Close the port and stop the task."""
        self._server.stop()
        self._task.stop()


def run_service(cfg: ServiceStandinSettings) -> None:
    """Serve until the process receives SIGTERM or SIGINT."""
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

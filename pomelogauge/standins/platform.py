"""HTTP stand-in for the platform, backed by an in-memory store."""

from dataclasses import asdict, dataclass
from http import HTTPStatus
from typing import TypeVar

from returns.result import Failure, Result

from ..model.ids import Address, InstanceName
from ..tables.protocols import Committed, RowKey
from ..tasks.clock import MonotonicClock
from ..tasks.mailbox import Mailbox
from ..tasks.task import Task
from ..wire.json_fields import DecodeError
from ..wire.platform_json import (
    decode_instances,
    decode_transaction,
    encode_committed,
    encode_conflicts,
    encode_instances,
    encode_row,
    encode_rows,
)
from .http_app import (
    NO_CONTENT,
    ConnectionDroppedError,
    HttpRequest,
    HttpResponse,
    HttpServer,
    MalformedRequestError,
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
from .platform_messages import (
    BlockedClientsSet,
    Call,
    CommitRows,
    ConnectionHeld,
    GetObject,
    InstanceLeaving,
    InstanceRemoved,
    InstancesSet,
    ListInstances,
    ModeSet,
    NotAnswered,
    PlatformMessage,
    PlatformMode,
    PlatformModeName,
    PlatformStats,
    PutObject,
    Query,
    QueryResult,
    ReadRow,
    ScanRows,
    StatsRequested,
)
from .platform_store import PlatformActor

OutcomeT = TypeVar('OutcomeT')

_DOWN = error_response(
    HTTPStatus.SERVICE_UNAVAILABLE, 'down', 'nothing took effect'
)


@dataclass(frozen=True)
class PlatformStandinSettings:
    """Settings of the stand-in for the platform.

    Parameters
    ----------
    port
        Port to bind; zero takes a free port.
    name
        Name in the ready line.
    list_lag_s
        Seconds until a change shows in the instance list.
    threads
        HTTP worker threads; each slow call occupies one.

    """

    port: int = 0
    name: str = 'platform'
    list_lag_s: float = 0.5
    threads: int = 64


class PlatformCalls:
    """HTTP handlers of the platform interface."""

    def __init__(self, task: Task[PlatformMessage]) -> None:
        """Forward calls to the task that owns the store."""
        self._task = task

    def routes(self) -> tuple[Route, ...]:
        """Return the routes that these handlers serve."""
        routes = (
            Route('POST', '/v1/transactions', self._commit),
            Route('GET', '/v1/tables/*/rows/*', self._read),
            Route('GET', '/v1/tables/*/rows', self._scan),
            Route('PUT', '/v1/objects/*', self._put),
            Route('GET', '/v1/objects/*', self._get),
            Route('GET', '/v1/instances', self._list),
        )
        return routes

    def _commit(self, http_request: HttpRequest) -> HttpResponse:
        transaction = _decoded(decode_transaction(http_request.body))
        outcome = self._outcome(http_request, CommitRows(transaction))
        if isinstance(outcome, Committed):
            return HttpResponse(body=encode_committed(outcome))
        body = encode_conflicts(outcome.conflicts)
        return HttpResponse(HTTPStatus.CONFLICT, body)

    def _read(self, http_request: HttpRequest) -> HttpResponse:
        table, key = http_request.names
        row = self._outcome(http_request, ReadRow(RowKey(table, key)))
        if row is None:
            return error_response(
                HTTPStatus.NOT_FOUND, 'absent', f'{table}/{key}'
            )
        return HttpResponse(body=encode_row(row))

    def _scan(self, http_request: HttpRequest) -> HttpResponse:
        prefix = http_request.query.get('prefix', '')
        rows = self._outcome(
            http_request, ScanRows(http_request.names[0], prefix)
        )
        return HttpResponse(body=encode_rows(rows))

    def _put(self, http_request: HttpRequest) -> HttpResponse:
        self._outcome(
            http_request, PutObject(http_request.names[0], http_request.body)
        )
        return json_response({})

    def _get(self, http_request: HttpRequest) -> HttpResponse:
        body = self._outcome(http_request, GetObject(http_request.names[0]))
        if body is None:
            return error_response(
                HTTPStatus.NOT_FOUND, 'absent', http_request.names[0]
            )
        return HttpResponse(body=body, media_type='application/octet-stream')

    def _list(self, http_request: HttpRequest) -> HttpResponse:
        listed = self._outcome(http_request, ListInstances())
        return HttpResponse(body=encode_instances(listed))

    def _outcome(
        self, http_request: HttpRequest, query: Query[OutcomeT]
    ) -> OutcomeT:
        reply: Mailbox[QueryResult[OutcomeT] | NotAnswered] = Mailbox()
        self._task.post(Call(http_request.client, query, reply))
        result = await_reply(reply)
        if isinstance(result, QueryResult):
            return result.outcome
        if result is NotAnswered.DOWN:
            raise RefusedError(_DOWN)
        if result is NotAnswered.HELD:
            dropped = keep_open(http_request.connection)
            self._task.post(ConnectionHeld(http_request.connection))
            raise dropped
        raise ConnectionDroppedError


class PlatformControls:
    """HTTP handlers with which tests inject faults and read counts."""

    def __init__(self, task: Task[PlatformMessage]) -> None:
        """Forward changes to the task that owns the store."""
        self._task = task

    def routes(self) -> tuple[Route, ...]:
        """Return the routes that these handlers serve."""
        routes = (
            Route('PUT', '/control/instances', self._set_instances),
            Route('DELETE', '/control/instances/*', self._remove),
            Route('PUT', '/control/instances/*/leaving', self._mark_leaving),
            Route('PUT', '/control/mode', self._set_mode),
            Route('PUT', '/control/cuts', self._set_cuts),
            Route('GET', '/control/stats', self._stats),
        )
        return routes

    def _set_instances(self, http_request: HttpRequest) -> HttpResponse:
        instances = _decoded(decode_instances(http_request.body))
        return self._change(InstancesSet(instances))

    def _remove(self, http_request: HttpRequest) -> HttpResponse:
        return self._change(
            InstanceRemoved(InstanceName(http_request.names[0]))
        )

    def _mark_leaving(self, http_request: HttpRequest) -> HttpResponse:
        return self._change(
            InstanceLeaving(InstanceName(http_request.names[0]))
        )

    def _set_mode(self, http_request: HttpRequest) -> HttpResponse:
        return self._change(ModeSet(_mode(http_request)))

    def _set_cuts(self, http_request: HttpRequest) -> HttpResponse:
        clients = frozenset(json_body(http_request)['clients'])
        return self._change(BlockedClientsSet(clients))

    def _stats(self, http_request: HttpRequest) -> HttpResponse:
        reply: Mailbox[PlatformStats] = Mailbox()
        self._task.post(StatsRequested(reply))
        return json_response(asdict(await_reply(reply)))

    def _change(self, message: PlatformMessage) -> HttpResponse:
        # The mailbox is ordered, so later calls see the change.
        self._task.post(message)
        return NO_CONTENT


class PlatformStandin:
    """HTTP server of the platform and the task that owns its state."""

    def __init__(self, cfg: PlatformStandinSettings) -> None:
        """Bind the port; calls are served after `start`."""
        self._task: Task[PlatformMessage] = Task(
            'platform-store',
            PlatformActor(MonotonicClock(), cfg.list_lag_s),
        )
        calls = PlatformCalls(self._task)
        controls = PlatformControls(self._task)
        routes = calls.routes() + controls.routes()
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


def run_platform(cfg: PlatformStandinSettings) -> None:
    """Serve until the process receives SIGTERM or SIGINT."""
    standin = PlatformStandin(cfg)
    standin.start()
    print_ready('platform', cfg.name, standin.address)
    wait_for_signal()
    standin.stop()


def _decoded(decoded: Result[OutcomeT, DecodeError]) -> OutcomeT:
    if isinstance(decoded, Failure):
        raise MalformedRequestError(decoded.failure().message)
    return decoded.unwrap()


def _mode(http_request: HttpRequest) -> PlatformMode:
    fields = json_body(http_request)
    return PlatformMode(
        mode=PlatformModeName(fields['mode']),
        delay_s=float(fields.get('delay_s', 0)),
        count=int(fields.get('count', 1)),
        table=fields.get('table') or '',
    )

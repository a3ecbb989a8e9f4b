"""Stand-in for the platform: an HTTP server over the store in memory."""

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
    BadCallError,
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
from .platform_messages import (
    Call,
    CommitRows,
    CutsSet,
    Found,
    GetObject,
    Held,
    InstanceLeaving,
    InstanceRemoved,
    InstancesSet,
    ListInstances,
    ModeSet,
    PlatformMessage,
    PlatformMode,
    PlatformModeName,
    PlatformStats,
    PutObject,
    Query,
    ReadRow,
    ScanRows,
    StatsAsked,
    Verdict,
)
from .platform_store import PlatformActor

OutcomeT = TypeVar('OutcomeT')

_DOWN = error(HTTPStatus.SERVICE_UNAVAILABLE, 'down', 'nothing took effect')


@dataclass(frozen=True)
class PlatformStandinSettings:
    """Settings of the platform's stand-in.

    Parameters
    ----------
    port
        Zero takes a free port.
    name
        Name in the ready line.
    list_lag_s
        Seconds by which the instance list lags.
    threads
        Threads that answer calls; a slow call keeps one busy.

    """

    port: int = 0
    name: str = 'platform'
    list_lag_s: float = 0.5
    threads: int = 64


class PlatformCalls:
    """Answers the calls of the platform's own interface."""

    def __init__(self, task: Task[PlatformMessage]) -> None:
        """Ask this task for outcomes."""
        self._task = task

    def routes(self) -> tuple[Route, ...]:
        """Return the routes of the interface."""
        routes = (
            Route('POST', '/v1/transactions', self._commit),
            Route('GET', '/v1/tables/*/rows/*', self._read),
            Route('GET', '/v1/tables/*/rows', self._scan),
            Route('PUT', '/v1/objects/*', self._put),
            Route('GET', '/v1/objects/*', self._get),
            Route('GET', '/v1/instances', self._list),
        )
        return routes

    def _commit(self, ask: HttpAsk) -> HttpAnswer:
        transaction = _decoded(decode_transaction(ask.body))
        outcome = self._outcome(ask, CommitRows(transaction))
        if isinstance(outcome, Committed):
            return HttpAnswer(body=encode_committed(outcome))
        body = encode_conflicts(outcome.conflicts)
        return HttpAnswer(HTTPStatus.CONFLICT, body)

    def _read(self, ask: HttpAsk) -> HttpAnswer:
        table, key = ask.names
        row = self._outcome(ask, ReadRow(RowKey(table, key)))
        if row is None:
            return error(HTTPStatus.NOT_FOUND, 'absent', f'{table}/{key}')
        return HttpAnswer(body=encode_row(row))

    def _scan(self, ask: HttpAsk) -> HttpAnswer:
        prefix = ask.query.get('prefix', '')
        rows = self._outcome(ask, ScanRows(ask.names[0], prefix))
        return HttpAnswer(body=encode_rows(rows))

    def _put(self, ask: HttpAsk) -> HttpAnswer:
        self._outcome(ask, PutObject(ask.names[0], ask.body))
        return json_answer({})

    def _get(self, ask: HttpAsk) -> HttpAnswer:
        body = self._outcome(ask, GetObject(ask.names[0]))
        if body is None:
            return error(HTTPStatus.NOT_FOUND, 'absent', ask.names[0])
        return HttpAnswer(body=body, media_type='application/octet-stream')

    def _list(self, ask: HttpAsk) -> HttpAnswer:
        listed = self._outcome(ask, ListInstances())
        return HttpAnswer(body=encode_instances(listed))

    def _outcome(self, ask: HttpAsk, query: Query[OutcomeT]) -> OutcomeT:
        reply: Mailbox[Found[OutcomeT] | Verdict] = Mailbox()
        self._task.post(Call(ask.client, query, reply))
        found = answer_of(reply)
        if isinstance(found, Found):
            return found.outcome
        if found is Verdict.DOWN:
            raise RefusedError(_DOWN)
        if found is Verdict.HELD:
            cut = keep_open(ask.connection)
            self._task.post(Held(ask.connection))
            raise cut
        raise Cut


class PlatformControls:
    """Answers the calls of tests."""

    def __init__(self, task: Task[PlatformMessage]) -> None:
        """Tell this task of changes."""
        self._task = task

    def routes(self) -> tuple[Route, ...]:
        """Return the routes of the interface."""
        routes = (
            Route('PUT', '/control/instances', self._set_instances),
            Route('DELETE', '/control/instances/*', self._remove),
            Route('PUT', '/control/instances/*/leaving', self._mark_leaving),
            Route('PUT', '/control/mode', self._set_mode),
            Route('PUT', '/control/cuts', self._set_cuts),
            Route('GET', '/control/stats', self._stats),
        )
        return routes

    def _set_instances(self, ask: HttpAsk) -> HttpAnswer:
        instances = _decoded(decode_instances(ask.body))
        return self._change(InstancesSet(instances))

    def _remove(self, ask: HttpAsk) -> HttpAnswer:
        return self._change(InstanceRemoved(InstanceName(ask.names[0])))

    def _mark_leaving(self, ask: HttpAsk) -> HttpAnswer:
        return self._change(InstanceLeaving(InstanceName(ask.names[0])))

    def _set_mode(self, ask: HttpAsk) -> HttpAnswer:
        return self._change(ModeSet(_mode(ask)))

    def _set_cuts(self, ask: HttpAsk) -> HttpAnswer:
        clients = frozenset(json_body(ask)['clients'])
        return self._change(CutsSet(clients))

    def _stats(self, ask: HttpAsk) -> HttpAnswer:
        reply: Mailbox[PlatformStats] = Mailbox()
        self._task.post(StatsAsked(reply))
        return json_answer(asdict(answer_of(reply)))

    def _change(self, message: PlatformMessage) -> HttpAnswer:
        # The mailbox keeps the order, so later calls meet the change.
        self._task.post(message)
        return NO_CONTENT


class PlatformStandin:
    """The server and the task that owns its state."""

    def __init__(self, cfg: PlatformStandinSettings) -> None:
        """Bind the port."""
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


def run_platform(cfg: PlatformStandinSettings) -> None:
    """Serve until the process is told to end."""
    standin = PlatformStandin(cfg)
    standin.start()
    print_ready('platform', cfg.name, standin.address)
    wait_for_signal()
    standin.stop()


def _decoded(decoded: Result[OutcomeT, DecodeError]) -> OutcomeT:
    if isinstance(decoded, Failure):
        raise BadCallError(decoded.failure().message)
    return decoded.unwrap()


def _mode(ask: HttpAsk) -> PlatformMode:
    fields = json_body(ask)
    return PlatformMode(
        mode=PlatformModeName(fields['mode']),
        delay_s=float(fields.get('delay_s', 0)),
        count=int(fields.get('count', 1)),
        table=fields.get('table') or '',
    )

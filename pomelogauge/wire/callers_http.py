"""The callers' interface as a WSGI application."""

from collections.abc import Generator, Iterable, Mapping
from contextlib import ExitStack, closing
from dataclasses import dataclass
from typing import Protocol

from opentelemetry.trace import SpanKind
from returns.result import Failure, Result, Success

from ..model.ids import NO_VERSION, RequestId
from ..model.log_parts import Part
from ..model.manifest import Organisation
from ..model.request import Execution, Refusal, RefusalCode
from ..tasks.caller_link import CallerLink, PermanentLink
from ..tasks.caller_task import CallerParts
from ..tasks.caller_watch import WatchMessage
from ..tasks.log import part_logger
from ..tasks.mailbox import Mailbox, Outbox
from ..tasks.messages import RouterAddresses, RouterAddressesRequested
from ..tasks.published import Published
from ..tasks.router_state import RouterState
from ..tasks.service_call_task import ServiceCallParts
from ..tasks.spans import start_span
from .chat_route import ChatCaller, answer_chat
from .http_requests import (
    HttpRequest,
    new_request_id,
    read_request,
    trace_parent_of,
)
from .http_responses import (
    UNAVAILABLE,
    HttpResponse,
    json_response,
    refusal_response,
    text_response,
)
from .refusal_reporter import RefusalReporter
from .service_route import (
    KEY_PATH,
    SERVICES_PATH,
    answer_call,
    answer_key,
)
from .socket_link import SocketLink
from .wsgi_types import StartResponse

#: Hint to callers of a router that has no configuration yet.
RETRY_AFTER_S = 1.0

_log = part_logger(Part.CALLERS)


class MetricsText(Protocol):
    """The metrics of the process as text."""

    def text(self) -> str:
        """Return the metrics in the usual text format."""


@dataclass(frozen=True)
class AppSettings:
    """Settings of the callers' interface.

    Parameters
    ----------
    max_body_bytes
        Bound of a request's body.
    deadline_s
        Seconds that a caller waits for the first token.
    entries_timeout_s
        Seconds for the answer which entries to use.

    """

    max_body_bytes: int = 1_000_000
    deadline_s: float = 30
    entries_timeout_s: float = 2


@dataclass(frozen=True)
class AppParts:
    """What the callers' interface is made of.

    Parameters
    ----------
    cfg
        Settings.
    published
        State of the router.
    models
        Parts of callers' tasks.
    services
        Parts of calls to plain services.
    entries
        Says which addresses callers should use.
    metrics
        Metrics of the process.
    watch
        Notices callers who leave.

    """

    cfg: AppSettings
    published: Published[RouterState]
    models: CallerParts
    services: ServiceCallParts
    entries: Outbox[RouterAddressesRequested]
    metrics: MetricsText
    watch: Outbox[WatchMessage]


class CallersApp:
    """Answers callers; each call runs in the caller's own task."""

    def __init__(self, parts: AppParts) -> None:
        """Take the parts."""
        self._parts = parts
        self._notes = RefusalReporter(parts.models.metrics)

    def __call__(
        self,
        environ: Mapping[str, object],
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        """Answer one request."""
        request = new_request_id()
        parent = trace_parent_of(environ)
        with ExitStack() as span:
            span.enter_context(
                start_span('router request', SpanKind.SERVER, parent, request)
            )
            answer = self._answer(environ, request)
            headers = [('Content-Type', answer.media_type)]
            headers.extend((one.name, one.text) for one in answer.headers)
            if isinstance(answer.body, bytes):
                headers.append(('Content-Length', str(len(answer.body))))
                start_response(answer.status, headers)
                return [answer.body]
            start_response(answer.status, headers)
            return _within(span.pop_all(), answer.body)

    def _answer(
        self,
        environ: Mapping[str, object],
        request: RequestId,
    ) -> HttpResponse:
        # A fault of the project's own must not end the server's thread.
        try:
            read = read_request(
                environ, self._parts.cfg.max_body_bytes, request
            )
            return self._merge(read.bind(self._route))
        except Exception:
            _log.exception('a request failed', extra={'request': request})
            refusal = Refusal(
                RefusalCode.INTERNAL,
                'the router failed',
                Execution.MAY_HAVE_RUN,
                request=request,
            )
            return refusal_response(refusal)

    def _route(self, req: HttpRequest) -> Result[HttpResponse, Refusal]:
        match (req.method, req.path):
            case ('GET', '/healthz'):
                return Success(text_response('ok\n'))
            case ('GET', '/readyz'):
                return Success(self._ready())
            case ('GET', '/metrics'):
                return Success(text_response(self._parts.metrics.text()))
            case ('GET', '/v1/entry'):
                return self._entry(req)
        return self._organisation(req).bind(
            lambda organisation: self._route_known(req, organisation)
        )

    def _organisation(self, req: HttpRequest) -> Result[Organisation, Refusal]:
        state = self._parts.published.latest()
        if state.configuration.version == NO_VERSION:
            # Without a configuration no key can be judged.
            return Failure(state.not_ready_refusal(req.request, RETRY_AFTER_S))
        organisation = state.access.organisation_of(req.key)
        if organisation is None:
            message = 'the key is of no organisation'
            return Failure(req.refuse(RefusalCode.UNKNOWN_KEY, message))
        return Success(organisation)

    def _route_known(
        self,
        req: HttpRequest,
        organisation: Organisation,
    ) -> Result[HttpResponse, Refusal]:
        if req.method == 'GET' and req.path == '/v1/models':
            return Success(self._models(organisation))
        if req.method == 'GET' and req.path == KEY_PATH:
            return answer_key(req, organisation, self._parts.services.minted)
        if req.method == 'POST' and req.path == '/v1/chat/completions':
            return answer_chat(
                req,
                organisation,
                self._parts.models,
                self._parts.cfg.deadline_s,
                ChatCaller(self._link(req), self._notes),
            )
        if req.method == 'POST' and req.path.startswith(SERVICES_PATH):
            configuration = self._parts.published.latest().configuration
            return answer_call(
                req, organisation, self._parts.services, configuration
            )
        message = f'there is no {req.method} {req.path}'
        return Failure(req.refuse(RefusalCode.UNKNOWN_CALL, message))

    def _ready(self) -> HttpResponse:
        if self._parts.published.latest().is_ready:
            return text_response('ready\n')
        return text_response('not ready\n', UNAVAILABLE)

    def _merge(self, answered: Result[HttpResponse, Refusal]) -> HttpResponse:
        if not isinstance(answered, Failure):
            return answered.unwrap()
        refusal = answered.failure()
        self._notes.report(refusal)
        entries = None
        if refusal.code in _ASK_OTHERS:
            entries = self._entries()
        return refusal_response(refusal, entries.addresses if entries else ())

    def _entries(self) -> RouterAddresses | None:
        reply: Mailbox[RouterAddresses] = Mailbox()
        self._parts.entries.post(RouterAddressesRequested(reply))
        return reply.take(self._parts.cfg.entries_timeout_s)

    def _entry(self, req: HttpRequest) -> Result[HttpResponse, Refusal]:
        entries = self._entries()
        if entries is None:
            message = 'the entries are not known'
            return Failure(req.refuse(RefusalCode.INTERNAL, message))
        return Success(
            json_response(
                {
                    'addresses': entries.addresses,
                    'ttl_s': entries.ttl_s,
                }
            )
        )

    def _models(self, organisation: Organisation) -> HttpResponse:
        access = self._parts.published.latest().access
        listed = [
            {'id': name, 'object': 'model', 'owned_by': 'pomelogauge'}
            for name in access.models(organisation.name)
        ]
        return json_response({'object': 'list', 'data': listed})

    def _link(self, req: HttpRequest) -> CallerLink:
        if req.sock is None:
            return PermanentLink()
        return SocketLink(req.sock, self._parts.watch)


def _within(
    span: ExitStack,
    body: Generator[bytes, None, None],
) -> Generator[bytes, None, None]:
    """Yield a body and end its span with it."""
    with span, closing(body):
        yield from body


#: Refusals of this router only; another one may take the request.
_ASK_OTHERS = frozenset((RefusalCode.CUT_OFF, RefusalCode.DRAINING))

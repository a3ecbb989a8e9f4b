"""WSGI application that routes callers' requests to a router's tasks."""

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

#: Retry hint of a router that has no configuration yet, in seconds.
RETRY_AFTER_S = 1.0

_log = part_logger(Part.CALLERS)


class MetricsText(Protocol):
    """Source of the text that ``/metrics`` returns."""

    def text(self) -> str:
        """Return all metrics in the Prometheus text format."""


@dataclass(frozen=True)
class AppSettings:
    """Limits of the application.

    Parameters
    ----------
    max_body_bytes
        Largest body of a request; a larger one is refused with status 413.
    deadline_s
        Seconds from a request to its first token; then it is refused.
    entries_timeout_s
        Seconds to wait for the task that lists routers' addresses.

    """

    max_body_bytes: int = 1_000_000
    deadline_s: float = 30
    entries_timeout_s: float = 2


@dataclass(frozen=True)
class AppParts:
    """Collaborators of the application.

    Parameters
    ----------
    cfg
        Limits of the application.
    published
        State of the router, read anew for each request.
    models
        Collaborators of the task that serves a chat request.
    services
        Collaborators of the task that calls a plain service.
    entries
        Task that lists the routers' addresses for callers.
    metrics
        Source of the text that ``/metrics`` returns.
    watch
        Task that notices callers that disconnect.

    """

    cfg: AppSettings
    published: Published[RouterState]
    models: CallerParts
    services: ServiceCallParts
    entries: Outbox[RouterAddressesRequested]
    metrics: MetricsText
    watch: Outbox[WatchMessage]


class CallersApp:
    """Routes and answers requests in the worker threads of the server."""

    def __init__(self, parts: AppParts) -> None:
        """Set up the reporter of refusals."""
        self._parts = parts
        self._refusals = RefusalReporter(parts.models.metrics)

    def __call__(
        self,
        environ: Mapping[str, object],
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        """Answer one request as WSGI defines it, within a span."""
        request = new_request_id()
        parent = trace_parent_of(environ)
        with ExitStack() as span:
            span.enter_context(
                start_span('router request', SpanKind.SERVER, parent, request)
            )
            response = self._answer(environ, request)
            headers = [('Content-Type', response.media_type)]
            headers.extend((each.name, each.text) for each in response.headers)
            if isinstance(response.body, bytes):
                headers.append(('Content-Length', str(len(response.body))))
                start_response(response.status, headers)
                return [response.body]
            start_response(response.status, headers)
            return _within(span.pop_all(), response.body)

    def _answer(
        self,
        environ: Mapping[str, object],
        request: RequestId,
    ) -> HttpResponse:
        # An unexpected exception must not end the server's worker thread.
        try:
            read = read_request(
                environ, self._parts.cfg.max_body_bytes, request
            )
            return self._respond(read.bind(self._route))
        except Exception:
            _log.exception(
                'request failed with an unexpected exception',
                extra={'request': request},
            )
            refusal = Refusal(
                RefusalCode.INTERNAL,
                'internal error in the router',
                Execution.MAY_HAVE_RUN,
                request=request,
            )
            return refusal_response(refusal)

    def _route(self, req: HttpRequest) -> Result[HttpResponse, Refusal]:
        match (req.method, req.path):
            case ('GET', '/healthz'):
                return Success(text_response('ok\n'))
            case ('GET', '/readyz'):
                return Success(self._readiness())
            case ('GET', '/metrics'):
                return Success(text_response(self._parts.metrics.text()))
            case ('GET', '/v1/entry'):
                return self._list_addresses(req)
        return self._organisation(req).bind(
            lambda organisation: self._route_authorised(req, organisation)
        )

    def _organisation(self, req: HttpRequest) -> Result[Organisation, Refusal]:
        state = self._parts.published.latest()
        if state.configuration.version == NO_VERSION:
            # The keys of organisations come with the configuration.
            return Failure(state.not_ready_refusal(req.request, RETRY_AFTER_S))
        organisation = state.access.organisation_of(req.key)
        if organisation is None:
            message = 'API key is missing or belongs to no organisation'
            return Failure(req.refuse(RefusalCode.UNKNOWN_KEY, message))
        return Success(organisation)

    def _route_authorised(
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
                ChatCaller(self._link(req), self._refusals),
            )
        if req.method == 'POST' and req.path.startswith(SERVICES_PATH):
            configuration = self._parts.published.latest().configuration
            return answer_call(
                req, organisation, self._parts.services, configuration
            )
        message = f'no such endpoint: {req.method} {req.path}'
        return Failure(req.refuse(RefusalCode.UNKNOWN_CALL, message))

    def _readiness(self) -> HttpResponse:
        if self._parts.published.latest().is_ready:
            return text_response('ready\n')
        return text_response('not ready\n', UNAVAILABLE)

    def _respond(self, outcome: Result[HttpResponse, Refusal]) -> HttpResponse:
        if not isinstance(outcome, Failure):
            return outcome.unwrap()
        refusal = outcome.failure()
        self._refusals.report(refusal)
        entries = None
        if refusal.code in _SUGGEST_OTHER_ROUTERS:
            entries = self._entries()
        return refusal_response(refusal, entries.addresses if entries else ())

    def _entries(self) -> RouterAddresses | None:
        reply: Mailbox[RouterAddresses] = Mailbox()
        self._parts.entries.post(RouterAddressesRequested(reply))
        return reply.take(self._parts.cfg.entries_timeout_s)

    def _list_addresses(
        self, req: HttpRequest
    ) -> Result[HttpResponse, Refusal]:
        entries = self._entries()
        if entries is None:
            message = (
                'no list of router addresses within '
                f'{self._parts.cfg.entries_timeout_s:g} s'
            )
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
        models = [
            {'id': name, 'object': 'model', 'owned_by': 'pomelogauge'}
            for name in access.models(organisation.name)
        ]
        return json_response({'object': 'list', 'data': models})

    def _link(self, req: HttpRequest) -> CallerLink:
        if req.sock is None:
            return PermanentLink()
        return SocketLink(req.sock, self._parts.watch)


def _within(
    span: ExitStack,
    body: Generator[bytes, None, None],
) -> Generator[bytes, None, None]:
    """Yield a streamed body and end the request's span after it."""
    with span, closing(body):
        yield from body


#: Refusals for a reason of this router alone; the response lists the addresses
#: of other routers, which may accept the request.
_SUGGEST_OTHER_ROUTERS = frozenset((RefusalCode.CUT_OFF, RefusalCode.DRAINING))

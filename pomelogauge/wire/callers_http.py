"""The callers' interface as a WSGI application."""

import logging
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Protocol

from returns.result import Failure, Result, Success

from ..model.manifest import Organisation
from ..model.request import Execution, Refusal, RefusalCode
from ..tasks.caller_task import CallerParts
from ..tasks.mailbox import Mailbox, Outbox
from ..tasks.messages import Entries, EntriesAsked
from ..tasks.published import Published
from ..tasks.router_state import RouterState
from ..tasks.service_call_task import CallParts
from .chat_route import answer_chat
from .http_answers import (
    UNAVAILABLE,
    HttpAnswer,
    json_answer,
    refusal_answer,
    text_answer,
)
from .http_requests import HttpRequest, new_request_id, read_request
from .service_route import SERVICES_PATH, answer_call
from .wsgi_types import StartResponse

_log = logging.getLogger(__name__)


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

    """

    cfg: AppSettings
    published: Published[RouterState]
    models: CallerParts
    services: CallParts
    entries: Outbox[EntriesAsked]
    metrics: MetricsText


class CallersApp:
    """Answers callers; each call runs in the caller's own task."""

    def __init__(self, parts: AppParts) -> None:
        """Take the parts."""
        self._parts = parts

    def __call__(
        self,
        environ: Mapping[str, object],
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        """Answer one request."""
        answer = self._answer(environ)
        headers = [('Content-Type', answer.media_type)]
        headers.extend((one.name, one.text) for one in answer.headers)
        if isinstance(answer.body, bytes):
            headers.append(('Content-Length', str(len(answer.body))))
            start_response(answer.status, headers)
            return [answer.body]
        start_response(answer.status, headers)
        return answer.body

    def _answer(self, environ: Mapping[str, object]) -> HttpAnswer:
        # A fault of the project's own must not end the server's thread.
        try:
            read = read_request(environ, self._parts.cfg.max_body_bytes)
            return self._merge(read.bind(self._route))
        except Exception:
            _log.exception('callers: a request failed')
            refusal = Refusal(
                RefusalCode.INTERNAL,
                'the router failed',
                Execution.MAY_HAVE_RUN,
                request=new_request_id(),
            )
            return refusal_answer(refusal)

    def _route(self, req: HttpRequest) -> Result[HttpAnswer, Refusal]:
        match (req.method, req.path):
            case ('GET', '/healthz'):
                return Success(text_answer('ok\n'))
            case ('GET', '/readyz'):
                return Success(self._ready())
            case ('GET', '/metrics'):
                return Success(text_answer(self._parts.metrics.text()))
            case ('GET', '/v1/entry'):
                return self._entry(req)
        organisation = self._parts.published.latest().access.organisation_of(
            req.key
        )
        if organisation is None:
            message = 'the key is of no organisation'
            return Failure(req.refuse(RefusalCode.UNKNOWN_KEY, message))
        return self._route_known(req, organisation)

    def _route_known(
        self,
        req: HttpRequest,
        organisation: Organisation,
    ) -> Result[HttpAnswer, Refusal]:
        if req.method == 'GET' and req.path == '/v1/models':
            return Success(self._models(organisation))
        if req.method == 'POST' and req.path == '/v1/chat/completions':
            return answer_chat(
                req,
                organisation,
                self._parts.models,
                self._parts.cfg.deadline_s,
            )
        if req.method == 'POST' and req.path.startswith(SERVICES_PATH):
            configuration = self._parts.published.latest().configuration
            return answer_call(
                req, organisation, self._parts.services, configuration
            )
        message = f'there is no {req.method} {req.path}'
        return Failure(req.refuse(RefusalCode.UNKNOWN_CALL, message))

    def _ready(self) -> HttpAnswer:
        if self._parts.published.latest().is_ready:
            return text_answer('ready\n')
        return text_answer('not ready\n', UNAVAILABLE)

    def _merge(self, answered: Result[HttpAnswer, Refusal]) -> HttpAnswer:
        if not isinstance(answered, Failure):
            return answered.unwrap()
        refusal = answered.failure()
        entries = None
        if refusal.code in _ASK_OTHERS:
            entries = self._entries()
        return refusal_answer(refusal, entries.addresses if entries else ())

    def _entries(self) -> Entries | None:
        reply: Mailbox[Entries] = Mailbox()
        self._parts.entries.post(EntriesAsked(reply))
        return reply.take(self._parts.cfg.entries_timeout_s)

    def _entry(self, req: HttpRequest) -> Result[HttpAnswer, Refusal]:
        entries = self._entries()
        if entries is None:
            message = 'the entries are not known'
            return Failure(req.refuse(RefusalCode.INTERNAL, message))
        return Success(
            json_answer(
                {
                    'addresses': entries.addresses,
                    'ttl_s': entries.ttl_s,
                }
            )
        )

    def _models(self, organisation: Organisation) -> HttpAnswer:
        access = self._parts.published.latest().access
        listed = [
            {'id': name, 'object': 'model', 'owned_by': 'pomelogauge'}
            for name in access.models(organisation.name)
        ]
        return json_answer({'object': 'list', 'data': listed})


#: Refusals of this router only; another one may take the request.
_ASK_OTHERS = frozenset((RefusalCode.CUT_OFF, RefusalCode.DRAINING))

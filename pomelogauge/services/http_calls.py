"""Calls to plain services over HTTP."""

import json
from contextlib import closing
from dataclasses import dataclass
from urllib.parse import quote

from returns.result import Failure, Result, Success

from ..model.entry_request import Headers
from ..model.ids import Address, NodeName
from ..model.request import Execution
from ..tasks.clock import Clock
from ..wire.http_exchange import (
    ExchangeBounds,
    ExchangeError,
    ExchangeFault,
    HttpAnswer,
    HttpExchange,
)
from ..wire.target_link import RequestHead
from .protocols import ServiceAnswer, ServiceCallRequest, ServiceError

_UNAVAILABLE = 503
#: Largest answer of a service, in bytes.
_MAX_BODY_BYTES = 8 * 1024 * 1024
_NOT_SENT = frozenset((ExchangeFault.REFUSED, ExchangeFault.UNCONNECTED))


@dataclass(frozen=True)
class CallSettings:
    """Settings of the calls to plain services.

    Parameters
    ----------
    node
        Name of this node, sent as ``X-Client``.
    connect_timeout_s
        Time-out of the connection.
    answer_timeout_s
        Longest wait for the whole answer.

    """

    node: NodeName
    connect_timeout_s: float = 1
    answer_timeout_s: float = 20


class HttpServiceCalls:
    """Sends each call once, on a connection of its own.

    Connections are not reused: a service may close an idle one just as a call
    is sent, and a call that may run at most once could then not be retried.
    Safe for use by several tasks.

    Parameters
    ----------
    cfg
        Settings.
    clock
        Local clock, for the time of an answer.

    """

    def __init__(self, cfg: CallSettings, clock: Clock) -> None:
        """Open nothing; each call connects."""
        self._cfg = cfg
        self._clock = clock
        self._bounds = ExchangeBounds(cfg.connect_timeout_s, _MAX_BODY_BYTES)

    def call(
        self,
        address: Address,
        req: ServiceCallRequest,
    ) -> Result[ServiceAnswer, ServiceError]:
        """Send a call once, without retries, and wait for the answer."""
        path = f'/v1/calls/{quote(req.call)}'
        head = RequestHead(b'POST', path.encode(), self._headers(req))
        exchange = HttpExchange(address, self._bounds, self._clock)
        with closing(exchange):
            answer = exchange.send(head, req.body, self._cfg.answer_timeout_s)
        if isinstance(answer, Failure):
            return Failure(_failed_exchange(address, answer.failure()))
        return _answer(answer.unwrap(), req)

    def _headers(self, req: ServiceCallRequest) -> Headers:
        headers = {
            'Content-Type': 'application/json',
            'Connection': 'close',
            'X-Client': self._cfg.node,
            'X-Request-Id': req.request,
            'Idempotency-Key': req.idempotency_key,
        }
        if req.trace_parent:
            headers['traceparent'] = req.trace_parent
        return tuple(
            (name.encode(), text.encode()) for name, text in headers.items()
        )


def _failed_exchange(address: Address, error: ExchangeError) -> ServiceError:
    if error.fault in _NOT_SENT:
        message = f'{address} could not be reached: {error.message}'
        return ServiceError(message, Execution.NOT_RUN)
    message = f'call to {address} was interrupted: {error.message}'
    return ServiceError(message, Execution.MAY_HAVE_RUN)


def _answer(
    answer: HttpAnswer,
    req: ServiceCallRequest,
) -> Result[ServiceAnswer, ServiceError]:
    if answer.status == _UNAVAILABLE and _error_code(answer.body) == 'refused':
        message = 'the service refused the call without running it'
        return Failure(ServiceError(message, Execution.NOT_RUN))
    if answer.header('x-request-id') != req.request:
        message = 'the answer carries the identifier of another call'
        return Failure(ServiceError(message, Execution.MAY_HAVE_RUN))
    media_type = answer.header('content-type') or 'application/json'
    return Success(ServiceAnswer(answer.status, answer.body, media_type))


def _error_code(body: bytes) -> str:
    try:
        return str(json.loads(body)['error']['code'])
    except (ValueError, KeyError, TypeError):
        return ''

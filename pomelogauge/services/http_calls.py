"""Calls to plain services over HTTP."""

import json
from dataclasses import dataclass

from returns.result import Failure, Result, Success
from urllib3 import BaseHTTPResponse, PoolManager, Timeout
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NewConnectionError,
)

from ..model.ids import Address, NodeName
from ..model.request import Execution
from .protocols import ServiceAnswer, ServiceCallRequest, ServiceError

_UNAVAILABLE = 503


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
        Longest wait for the next bytes of the answer.
    pooled
        Connection objects kept per address.

    """

    node: NodeName
    connect_timeout_s: float = 1
    answer_timeout_s: float = 20
    pooled: int = 64


class HttpServiceCalls:
    """Sends each call once, on a connection of its own.

    Safe for use by several tasks.
    """

    def __init__(self, cfg: CallSettings) -> None:
        """Create the pool; connections are opened by the calls."""
        self._cfg = cfg
        # Connections are not reused (``Connection: close``): a service may
        # close an idle one just as a call is sent, and a call that may run at
        # most once could then not be retried.
        self._pool = PoolManager(maxsize=cfg.pooled, retries=False)

    def call(
        self,
        address: Address,
        req: ServiceCallRequest,
    ) -> Result[ServiceAnswer, ServiceError]:
        """Send a call once, without retries, and wait for the answer."""
        try:
            resp = self._send(address, req)
        except (NewConnectionError, ConnectTimeoutError) as exc:
            message = f'{address} could not be reached: {exc}'
            return Failure(ServiceError(message, Execution.NOT_RUN))
        except (HTTPError, OSError) as exc:
            message = f'call to {address} was interrupted: {exc}'
            return Failure(ServiceError(message, Execution.MAY_HAVE_RUN))
        return _answer(resp, req)

    def _send(
        self, address: Address, req: ServiceCallRequest
    ) -> BaseHTTPResponse:
        headers = {
            'Content-Type': 'application/json',
            'Connection': 'close',
            'X-Client': self._cfg.node,
            'X-Request-Id': req.request,
            'Idempotency-Key': req.idempotency_key,
        }
        if req.trace_parent:
            headers['traceparent'] = req.trace_parent
        return self._pool.request(
            'POST',
            f'http://{address}/v1/calls/{req.call}',
            body=req.body,
            headers=headers,
            redirect=False,
            timeout=Timeout(
                connect=self._cfg.connect_timeout_s,
                read=self._cfg.answer_timeout_s,
            ),
        )


def _answer(
    resp: BaseHTTPResponse,
    req: ServiceCallRequest,
) -> Result[ServiceAnswer, ServiceError]:
    if resp.status == _UNAVAILABLE and _error_code(resp.data) == 'refused':
        message = 'the service refused the call without running it'
        return Failure(ServiceError(message, Execution.NOT_RUN))
    if resp.headers.get('X-Request-Id') != req.request:
        message = 'the answer carries the identifier of another call'
        return Failure(ServiceError(message, Execution.MAY_HAVE_RUN))
    media_type = resp.headers.get('Content-Type', 'application/json')
    return Success(ServiceAnswer(resp.status, resp.data, media_type))


def _error_code(body: bytes) -> str:
    try:
        return str(json.loads(body)['error']['code'])
    except (ValueError, KeyError, TypeError):
        return ''

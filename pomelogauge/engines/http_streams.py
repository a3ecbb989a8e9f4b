"""Token streams of engines over HTTP."""

from collections.abc import Iterator
from dataclasses import dataclass

from returns.result import Failure, Result, Success
from urllib3 import BaseHTTPResponse, PoolManager, Timeout
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NewConnectionError,
)

from ..model.ids import Address, Incarnation, NodeName, RequestId
from ..model.request import Execution
from ..wire.chat_events import EventReader, StreamEnd, parse_event
from .protocols import (
    EngineError,
    EngineFault,
    StreamRequest,
    Token,
    TokenStream,
)

_OK = 200
_NO_CONTENT = 204
_READ_SIZE_BYTES = 65536

#: Statuses by which an engine states that it has not run the request.
_NOT_RUN_FAULTS = {
    409: EngineFault.WRONG_REPLICA,
    503: EngineFault.OVERLOADED,
}


@dataclass(frozen=True)
class StreamSettings:
    """Settings of the streams from engines.

    Parameters
    ----------
    node
        Name of this node, sent as ``X-Client``.
    connect_timeout_s
        Time-out of the connection.
    token_timeout_s
        Longest wait for the first token and between two tokens.
    cancel_timeout_s
        Time-out of a cancellation.
    pooled
        Idle connections that are kept per address.

    """

    node: NodeName
    connect_timeout_s: float = 1
    token_timeout_s: float = 10
    cancel_timeout_s: float = 1
    pooled: int = 64


class HttpEngineStreams:
    """Opens streams over one connection pool; safe for several tasks."""

    def __init__(self, cfg: StreamSettings) -> None:
        """Create the pool; connections are opened by the requests."""
        self._cfg = cfg
        self._pool = PoolManager(maxsize=cfg.pooled, retries=False)

    def open(
        self,
        address: Address,
        req: StreamRequest,
    ) -> Result[TokenStream, EngineError]:
        """Send a request; return as soon as the engine has accepted it."""
        try:
            resp = self._send(address, req)
        except (NewConnectionError, ConnectTimeoutError) as exc:
            return Failure(
                EngineError(
                    EngineFault.UNREACHABLE,
                    f'{address} could not be reached: {exc}',
                    Execution.NOT_RUN,
                )
            )
        except (HTTPError, OSError) as exc:
            return Failure(
                EngineError(
                    EngineFault.INTERRUPTED,
                    f'request to {address} was interrupted: {exc}',
                )
            )
        fault = _open_fault(resp, req)
        if fault is None:
            return Success(_HttpTokenStream(self, address, req, resp))
        discard(resp)
        return Failure(fault)

    def cancel(self, address: Address, request: RequestId) -> bool:
        """Cancel a request; return whether the engine confirmed it.

        ``False`` also when the engine can't be reached.
        """
        try:
            resp = self._pool.request(
                'DELETE',
                f'http://{address}/v1/requests/{request}',
                headers={'X-Client': self._cfg.node},
                timeout=Timeout(self._cfg.cancel_timeout_s),
            )
        except (HTTPError, OSError):
            return False
        return resp.status == _NO_CONTENT

    def _send(self, address: Address, req: StreamRequest) -> BaseHTTPResponse:
        timeout = Timeout(
            connect=self._cfg.connect_timeout_s,
            read=self._cfg.token_timeout_s,
        )
        headers = {
            'Content-Type': 'application/json',
            'X-Client': self._cfg.node,
            'X-Request-Id': req.request,
            'X-Replica': req.replica,
            'X-Epoch': str(req.epoch),
            'X-Resume-At': str(req.resume_at),
        }
        if req.trace_parent:
            headers['traceparent'] = req.trace_parent
        return self._pool.request(
            'POST',
            f'http://{address}/v1/chat/completions',
            body=req.body,
            headers=headers,
            timeout=timeout,
            preload_content=False,
            redirect=False,
        )


class _HttpTokenStream:
    """The answer to one request and the connection on which it arrives."""

    def __init__(
        self,
        streams: HttpEngineStreams,
        address: Address,
        req: StreamRequest,
        resp: BaseHTTPResponse,
    ) -> None:
        self._streams = streams
        self._address = address
        self._req = req
        self._resp = resp
        self._received = _received(resp)
        self._has_ended = False

    @property
    def incarnation(self) -> Incarnation:
        """Incarnation of the engine that answers; empty if not stated."""
        return Incarnation(self._resp.headers.get('X-Incarnation', ''))

    def tokens(self) -> Iterator[Result[Token, EngineError]]:
        """Yield tokens until the end-of-stream event or a failure."""
        wanted = self._req.resume_at
        for parsed in self._events():
            if isinstance(parsed, Failure):
                yield parsed
                return
            event = parsed.unwrap()
            if isinstance(event, StreamEnd):
                self._has_ended = True
                return
            if event.index != wanted:
                yield _mismatched(f'got token {event.index}, expected {wanted}')
                return
            yield Success(event)
            wanted += 1
        yield _interrupted('the stream ended without its end event')

    def close(self, *, cancel: bool) -> bool:
        """Keep the connection after a clean end, else close it."""
        if self._has_ended and self._drain():
            self._resp.release_conn()
            return True
        discard(self._resp)
        if cancel and not self._has_ended:
            return self._streams.cancel(self._address, self._req.request)
        return self._has_ended

    def _events(self) -> Iterator[Result[Token | StreamEnd, EngineError]]:
        reader = EventReader()
        request = self._req.request
        try:
            for received in self._received:
                for event in reader.feed(received):
                    yield parse_event(event, request).alt(_malformed)
        except (HTTPError, OSError) as exc:
            yield _interrupted(f'the stream was interrupted: {exc}')

    def _drain(self) -> bool:
        """Read the rest of the body; false if more bytes or an error follow."""
        try:
            return not any(self._received)
        except (HTTPError, OSError):
            return False


def discard(resp: BaseHTTPResponse) -> None:
    """Close a connection whose answer was not read to its end.

    It must not be reused: the rest of the answer would be read as the next.
    """
    resp.close()
    resp.release_conn()


def _received(resp: BaseHTTPResponse) -> Iterator[bytes]:
    """Yield bytes as they arrive, without waiting until a buffer is full."""
    if getattr(resp, 'chunked', False):
        yield from resp.read_chunked()
        return
    while True:
        received = resp.read1(_READ_SIZE_BYTES)
        if not received:
            return
        yield received


def _open_fault(
    resp: BaseHTTPResponse, req: StreamRequest
) -> EngineError | None:
    if resp.status in _NOT_RUN_FAULTS:
        return EngineError(
            _NOT_RUN_FAULTS[resp.status],
            f'the engine refused the request with status {resp.status}',
            Execution.NOT_RUN,
        )
    if resp.status != _OK:
        return EngineError(
            EngineFault.REFUSED,
            f'the engine answered with status {resp.status}',
        )
    if resp.headers.get('X-Request-Id') != req.request:
        return EngineError(
            EngineFault.MISMATCHED,
            'the answer carries the identifier of another request',
        )
    return None


def _malformed(message: str) -> EngineError:
    return EngineError(EngineFault.INTERRUPTED, message)


def _interrupted(message: str) -> Failure[EngineError]:
    return Failure(EngineError(EngineFault.INTERRUPTED, message))


def _mismatched(message: str) -> Failure[EngineError]:
    return Failure(EngineError(EngineFault.MISMATCHED, message))

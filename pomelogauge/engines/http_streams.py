"""Token streams of engines over HTTP."""

from collections import deque
from collections.abc import Iterator
from contextlib import closing
from dataclasses import dataclass
from urllib.parse import quote

from returns.result import Failure, Result, Success

from ..model.entry_request import Headers
from ..model.ids import Address, Incarnation, NodeName, RequestId
from ..model.request import Execution
from ..tasks.clock import Clock
from ..wire.chat_events import EventReader, StreamEnd, parse_event
from ..wire.event_stream import EventTooLargeError
from ..wire.http_exchange import ExchangeBounds, HttpExchange
from ..wire.link_pool import LinkPool
from ..wire.target_link import (
    AnswerEnded,
    BodyRead,
    HeadRead,
    LinkError,
    LinkEvent,
    RequestHead,
    TargetLink,
)
from .protocols import (
    EngineError,
    EngineFault,
    StreamRequest,
    Token,
    TokenStream,
)

_OK = 200
_NO_CONTENT = 204
#: Largest answer to a cancellation, in bytes.
_MAX_CANCEL_BYTES = 65536

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
        Longest wait for the head, for the first token and between two tokens;
        comments are no tokens.
    cancel_timeout_s
        Time-out of a cancellation.
    pooled
        Idle connections that are kept.

    """

    node: NodeName
    connect_timeout_s: float = 1
    token_timeout_s: float = 10
    cancel_timeout_s: float = 1
    pooled: int = 256


class HttpEngineStreams:
    """Opens streams over one pool of connections; safe for several tasks.

    Parameters
    ----------
    cfg
        Settings.
    clock
        Local clock, for the waits.

    """

    def __init__(self, cfg: StreamSettings, clock: Clock) -> None:
        """Create the pool; connections are opened by the requests."""
        self._cfg = cfg
        self._clock = clock
        self._pool = LinkPool(cfg.pooled)

    def open(
        self,
        address: Address,
        req: StreamRequest,
    ) -> Result[TokenStream, EngineError]:
        """Send a request; return as soon as the engine has accepted it."""
        link = self._pool.take(address)
        if link is None:
            connected = TargetLink.connect(address, self._cfg.connect_timeout_s)
            if isinstance(connected, Failure):
                return Failure(_unreachable(address, connected.failure()))
            link = connected.unwrap()
        answer = _AnswerReader(link, self._clock, self._cfg.token_timeout_s)
        head = self._send(address, link, answer, req)
        if isinstance(head, LinkError):
            link.close()
            message = f'request to {address} was interrupted: {head.message}'
            return Failure(EngineError(EngineFault.INTERRUPTED, message))
        fault = _open_fault(head, req)
        if fault is not None:
            link.close()
            return Failure(fault)
        return Success(_HttpTokenStream(self, address, req, head, answer))

    def cancel(self, address: Address, request: RequestId) -> bool:
        """Cancel a request; return whether the engine confirmed it.

        ``False`` also when the engine can't be reached.
        """
        timeout_s = self._cfg.cancel_timeout_s
        bounds = ExchangeBounds(timeout_s, _MAX_CANCEL_BYTES)
        path = f'/v1/requests/{quote(request)}'
        head = RequestHead(
            b'DELETE', path.encode(), _headers({'X-Client': self._cfg.node})
        )
        with closing(HttpExchange(address, bounds, self._clock)) as exchange:
            answer = exchange.send(head, b'', timeout_s)
        if isinstance(answer, Failure):
            return False
        return answer.unwrap().status == _NO_CONTENT

    def keep(self, address: Address, link: TargetLink) -> None:
        """Keep a connection after a complete answer."""
        self._pool.give(address, link)

    def _send(
        self,
        address: Address,
        link: TargetLink,
        answer: '_AnswerReader',
        req: StreamRequest,
    ) -> HeadRead | LinkError:
        """Send a request; return the head of its answer."""
        headers = {
            'Host': address,
            'Content-Type': 'application/json',
            'Content-Length': str(len(req.body)),
            'X-Client': self._cfg.node,
            'X-Request-Id': req.request,
            'X-Replica': req.replica,
            'X-Epoch': str(req.epoch),
            'X-Resume-At': str(req.resume_at),
        }
        if req.trace_parent:
            headers['traceparent'] = req.trace_parent
        head = RequestHead(b'POST', b'/v1/chat/completions', _headers(headers))
        error = link.send(head, req.body, self._cfg.token_timeout_s)
        return answer.head(error)


class _AnswerReader:
    """Reads one answer, with a limit to the time without progress."""

    def __init__(
        self, link: TargetLink, clock: Clock, timeout_s: float
    ) -> None:
        self.link = link
        self._clock = clock
        self._timeout_s = timeout_s
        self._pending: deque[LinkEvent] = deque()
        self._ends_s = 0.0
        self.record_progress()

    def record_progress(self) -> None:
        """Let the time count from now."""
        self._ends_s = self._clock.now_s() + self._timeout_s

    def head(self, send_error: LinkError | None) -> HeadRead | LinkError:
        """Return the head, also one that came before sending failed."""
        if send_error is not None:
            early = self.link.receive(0)
            if not early or not isinstance(early[0], HeadRead):
                return send_error
            self._pending.extend(early[1:])
            return early[0]
        self.record_progress()
        event = self.next_event()
        if isinstance(event, HeadRead | LinkError):
            return event
        return LinkError('read: no head came')

    def next_event(self) -> LinkEvent:
        """Wait for the next event; an error once the time is over."""
        while not self._pending:
            remaining_s = self._ends_s - self._clock.now_s()
            if remaining_s <= 0:
                return LinkError('read: nothing came in time')
            self._pending.extend(self.link.receive(remaining_s))
        return self._pending.popleft()


class _HttpTokenStream:
    """The answer to one request and the connection on which it arrives."""

    def __init__(
        self,
        streams: HttpEngineStreams,
        address: Address,
        req: StreamRequest,
        head: HeadRead,
        answer: _AnswerReader,
    ) -> None:
        self._streams = streams
        self._address = address
        self._req = req
        self._head = head
        self._answer = answer
        self._has_ended = False

    @property
    def incarnation(self) -> Incarnation:
        """Incarnation of the engine that answers; empty if not stated."""
        return Incarnation(_header(self._head, 'x-incarnation'))

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
        if self._has_ended and self._is_complete():
            self._streams.keep(self._address, self._answer.link)
            return True
        self._answer.link.close()
        if cancel and not self._has_ended:
            return self._streams.cancel(self._address, self._req.request)
        return self._has_ended

    def _events(self) -> Iterator[Result[Token | StreamEnd, EngineError]]:
        reader = EventReader()
        self._answer.record_progress()
        while True:
            received = self._answer.next_event()
            if isinstance(received, LinkError):
                message = f'the stream was interrupted: {received.message}'
                yield _interrupted(message)
                return
            if not isinstance(received, BodyRead):
                return
            try:
                events = reader.feed(received.piece)
            except EventTooLargeError as exc:
                yield _interrupted(str(exc))
                return
            for event in events:
                yield parse_event(event, self._req.request).alt(_malformed)
            if events:
                self._answer.record_progress()

    def _is_complete(self) -> bool:
        """Return whether nothing but the end of the body follows."""
        self._answer.record_progress()
        return isinstance(self._answer.next_event(), AnswerEnded)


def _headers(texts: dict[str, str]) -> Headers:
    return tuple((name.encode(), text.encode()) for name, text in texts.items())


def _header(head: HeadRead, name: str) -> str:
    """Return the value of a header, given in lower case; empty if none."""
    for raw, value in head.headers:
        if raw.decode('latin-1').lower() == name:
            return value.decode('latin-1')
    return ''


def _unreachable(address: Address, error: LinkError) -> EngineError:
    return EngineError(
        EngineFault.UNREACHABLE,
        f'{address} could not be reached: {error.message}',
        Execution.NOT_RUN,
    )


def _open_fault(head: HeadRead, req: StreamRequest) -> EngineError | None:
    if head.status in _NOT_RUN_FAULTS:
        return EngineError(
            _NOT_RUN_FAULTS[head.status],
            f'the engine refused the request with status {head.status}',
            Execution.NOT_RUN,
        )
    if head.status != _OK:
        return EngineError(
            EngineFault.REFUSED,
            f'the engine answered with status {head.status}',
        )
    if _header(head, 'x-request-id') != req.request:
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

"""Requests to a single address, with bounds of size and time for each."""

from dataclasses import dataclass
from enum import StrEnum

from returns.result import Failure, Result, Success

from ..model.entry_request import Headers
from ..model.ids import Address
from ..tasks.clock import Clock
from .target_link import (
    AnswerEnded,
    BodyRead,
    HeadRead,
    LinkError,
    RequestHead,
    TargetLink,
)


class ExchangeFault(StrEnum):
    """How an exchange can fail.

    ``REFUSED``: the connection was refused. ``UNCONNECTED``: it could not be
    established for another reason; nothing was sent in either case.
    ``UNANSWERED``: no complete response in time; the request may have been
    carried out. ``TOO_LARGE``: the same, as the body exceeds its bound.
    """

    REFUSED = 'refused'
    UNCONNECTED = 'unconnected'
    UNANSWERED = 'unanswered'
    TOO_LARGE = 'too_large'


@dataclass(frozen=True)
class ExchangeError:
    """A failed exchange, with a description for the log."""

    fault: ExchangeFault
    message: str


@dataclass(frozen=True)
class ExchangeBounds:
    """Bounds of each exchange.

    Parameters
    ----------
    connect_s
        Seconds for the connection to be established.
    body_bytes
        Largest body of a response.

    """

    connect_s: float
    body_bytes: int


@dataclass(frozen=True)
class HttpAnswer:
    """A complete response."""

    status: int
    headers: Headers
    body: bytes

    def header(self, name: str) -> str:
        """Return the value of a header, given in lower case; empty if none."""
        for raw, value in self.headers:
            if raw.decode('latin-1').lower() == name:
                return value.decode('latin-1')
        return ''


_Exchanged = Result[HttpAnswer, ExchangeError]


class HttpExchange:
    """Sends requests over one connection, without retries.

    Used by one task.

    Parameters
    ----------
    address
        ``host:port`` of the server.
    bounds
        Bounds of each exchange.
    clock
        Local clock, for the time of an exchange.

    """

    def __init__(
        self, address: Address, bounds: ExchangeBounds, clock: Clock
    ) -> None:
        """Start without a connection; the first request connects."""
        self._address = address
        self._bounds = bounds
        self._clock = clock
        self._link: TargetLink | None = None

    def send(
        self, head: RequestHead, body: bytes, timeout_s: float
    ) -> _Exchanged:
        """Send a request and return its response.

        Parameters
        ----------
        head
            Method, request target and headers, without ``Host`` and
            ``Content-Length``.
        body
            The body; may be empty.
        timeout_s
            Seconds, once the connection is established, for the request to be
            written and the whole response to be read.

        """
        error = self._connect()
        if error is not None:
            return Failure(error)
        deadline_s = self._clock.now_s() + timeout_s
        answer = self._exchange(self._framed(head, body), body, deadline_s)
        if isinstance(answer, Failure):
            self.close()
        return answer

    def close(self) -> None:
        """Close the connection, if there is one."""
        if self._link is not None:
            self._link.close()
            self._link = None

    def _connect(self) -> ExchangeError | None:
        """Open a connection unless the last one can be used again."""
        if self._link is not None and self._link.start_next():
            return None
        self.close()
        opened = TargetLink.connect(self._address, self._bounds.connect_s)
        if isinstance(opened, Failure):
            error: LinkError = opened.failure()
            fault = (
                ExchangeFault.REFUSED
                if error.is_refused
                else ExchangeFault.UNCONNECTED
            )
            return ExchangeError(fault, error.message)
        self._link = opened.unwrap()
        return None

    def _framed(self, head: RequestHead, body: bytes) -> RequestHead:
        headers = [(b'Host', self._address.encode()), *head.headers]
        if body:
            headers.append((b'Content-Length', str(len(body)).encode()))
        return RequestHead(head.method, head.target, tuple(headers))

    def _exchange(
        self, head: RequestHead, body: bytes, deadline_s: float
    ) -> _Exchanged:
        link = self._link
        if link is None:
            return _unanswered('is not connected')
        remaining_s = max(0, deadline_s - self._clock.now_s())
        error = link.send(head, body, remaining_s)
        reader = _AnswerReader(self._bounds.body_bytes)
        if error is not None:
            return _early_answer(link, reader) or _unanswered(error.message)
        while True:
            remaining_s = deadline_s - self._clock.now_s()
            if remaining_s <= 0:
                return _unanswered('read: the response takes too long')
            for event in link.receive(remaining_s):
                answer = reader.add(event)
                if answer is not None:
                    return answer


class _AnswerReader:
    """Collects the events of one response."""

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._head = HeadRead(0, ())
        self._body = bytearray()

    def add(
        self, event: HeadRead | BodyRead | AnswerEnded | LinkError
    ) -> _Exchanged | None:
        """Return the answer once it is complete, or why there is none."""
        match event:
            case HeadRead():
                self._head = event
            case BodyRead():
                self._body += event.piece
                if len(self._body) > self._max_bytes:
                    message = f'the body exceeds {self._max_bytes} bytes'
                    return Failure(
                        ExchangeError(ExchangeFault.TOO_LARGE, message)
                    )
            case AnswerEnded():
                head = self._head
                return Success(
                    HttpAnswer(head.status, head.headers, bytes(self._body))
                )
            case LinkError():
                return _unanswered(event.message)
        return None


def _early_answer(link: TargetLink, reader: _AnswerReader) -> _Exchanged | None:
    """Return the answer that came before a request was sent wholly, if any.

    A server may refuse a request and close the connection before it has read a
    long body, so that sending fails.
    """
    for event in link.receive(0):
        answer = reader.add(event)
        if answer is not None and not isinstance(answer, Failure):
            return answer
    return None


def _unanswered(message: str) -> _Exchanged:
    return Failure(ExchangeError(ExchangeFault.UNANSWERED, message))

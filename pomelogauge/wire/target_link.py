"""HTTP/1.1 connection to a target or the store, owned by one task."""

import socket
from collections.abc import Iterator
from dataclasses import dataclass

import h11
from returns.result import Failure, Result, Success

from ..model.entry_request import Headers
from ..model.ids import Address
from .caller_connection import wait_readable

#: Maximum number of bytes of one read.
_READ_BYTES = 65536
#: Largest head of a response, in bytes; also the largest head of a chunk.
_MAX_HEAD_BYTES = 32768
#: Interim responses that may come before the response.
_MAX_INTERIM_RESPONSES = 8


@dataclass(frozen=True)
class LinkError:
    """The connection failed or the target broke the protocol.

    Parameters
    ----------
    message
        Operation that failed and its error.
    is_refused
        The connection was refused, so that nothing was sent.

    """

    message: str
    is_refused: bool = False


@dataclass(frozen=True)
class HeadRead:
    """Status and headers of the response."""

    status: int
    headers: Headers


@dataclass(frozen=True)
class BodyRead:
    """A part of the response's body, as it came."""

    piece: bytes


@dataclass(frozen=True)
class AnswerEnded:
    """The response is complete.

    Parameters
    ----------
    is_framed
        It had a length or chunks. The end of any other response is the end of
        its connection, which a crash may be too.

    """

    is_framed: bool = True


LinkEvent = HeadRead | BodyRead | AnswerEnded | LinkError


@dataclass(frozen=True)
class RequestHead:
    """Method, request target and headers of a request."""

    method: bytes
    target: bytes
    headers: Headers


class TargetLink:
    """Connection that carries one request at a time.

    Parameters
    ----------
    sock
        Connected socket; the link owns it and closes it.

    """

    def __init__(self, sock: socket.socket) -> None:
        """Start the HTTP protocol on the socket."""
        self._sock = sock
        self._http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=_MAX_HEAD_BYTES
        )
        self._interim_responses = 0
        self._is_framed = True

    @classmethod
    def connect(
        cls,
        address: Address,
        timeout_s: float,
    ) -> Result['TargetLink', LinkError]:
        """Connect to a target.

        Parameters
        ----------
        address
            ``host:port`` of the target.
        timeout_s
            Seconds for the connection to be established.

        """
        host, _, port = address.rpartition(':')
        try:
            sock = socket.create_connection((host, int(port)), timeout_s)
        except ConnectionRefusedError as exc:
            return Failure(LinkError(str(exc), is_refused=True))
        except (OSError, OverflowError, ValueError) as exc:
            # A host or port beyond its range fails before the system call.
            return Failure(LinkError(str(exc) or type(exc).__name__))
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return Success(cls(sock))

    def fileno(self) -> int:
        """Return the socket's descriptor, readable when data has come."""
        return self._sock.fileno()

    def send(
        self,
        head: RequestHead,
        body: bytes,
        timeout_s: float,
    ) -> LinkError | None:
        """Send a request with its body.

        Parameters
        ----------
        head
            Method, request target and headers, with ``Content-Length`` or
            ``Transfer-Encoding`` if there is a body.
        body
            The body; may be empty.
        timeout_s
            Seconds for the whole request to be written.

        Returns
        -------
        LinkError | None
            ``None`` once all is written.

        """
        try:
            request_bytes = self._encoded(head, body)
        except h11.LocalProtocolError as exc:
            return LinkError(f'send: {exc}')
        try:
            self._sock.settimeout(timeout_s)
            self._sock.sendall(request_bytes)
        except OSError as exc:
            return LinkError(f'send: {exc}')
        return None

    def receive(self, timeout_s: float | None = None) -> tuple[LinkEvent, ...]:
        """Read once and return the events that the data completes.

        Parameters
        ----------
        timeout_s
            Longest wait for data in seconds; ``None`` waits without limit.

        Returns
        -------
        tuple
            Events in order; empty while none is complete. A ``LinkError`` or
            ``AnswerEnded`` is the last one of the connection.

        """
        try:
            self._sock.settimeout(timeout_s)
            self._http.receive_data(self._sock.recv(_READ_BYTES))
        except OSError as exc:
            return (LinkError(f'read: {exc or type(exc).__name__}'),)
        except (RuntimeError, h11.ProtocolError) as exc:
            return (LinkError(f'read: {exc}'),)
        return tuple(self._events())

    def start_next(self) -> bool:
        """Prepare for the next request; false if there can't be one.

        The connection must be closed then: the last response is not complete
        or was the last one, the peer has closed the connection, or bytes have
        come that belong to no response.
        """
        try:
            self._http.start_next_cycle()
        except h11.LocalProtocolError:
            return False
        self._interim_responses = 0
        early, is_closed = self._http.trailing_data
        if early or is_closed:
            return False
        return not wait_readable((self.fileno(),), 0)

    def close(self) -> None:
        """Close the connection."""
        self._sock.close()

    def _encoded(self, head: RequestHead, body: bytes) -> bytes:
        message = h11.Request(
            method=head.method,
            target=head.target,
            headers=list(head.headers),
        )
        request_bytes = self._http.send(message) or b''
        if body:
            request_bytes += self._http.send(h11.Data(data=body)) or b''
        return request_bytes + (self._http.send(h11.EndOfMessage()) or b'')

    def _events(self) -> Iterator[LinkEvent]:
        """Yield the events that the data read so far completes."""
        while True:
            try:
                event = self._http.next_event()
            except h11.ProtocolError as exc:
                yield LinkError(f'malformed response: {exc}')
                return
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            link_event = self._link_event(event)
            if link_event is None:
                continue
            yield link_event
            if isinstance(link_event, _LAST_EVENTS):
                return

    def _link_event(self, event: object) -> LinkEvent | None:
        """Return the event of the link; ``None`` for an interim response."""
        match event:
            case h11.InformationalResponse():
                self._interim_responses += 1
                if self._interim_responses > _MAX_INTERIM_RESPONSES:
                    return LinkError('too many interim responses')
                return None
            case h11.Response():
                headers = tuple(event.headers.raw_items())
                self._is_framed = _is_framed(headers)
                return HeadRead(event.status_code, headers)
            case h11.Data():
                return BodyRead(bytes(event.data))
            case h11.EndOfMessage():
                return AnswerEnded(self._is_framed)
            case _:
                return LinkError(
                    'target closed the connection without a response'
                )


def _is_framed(headers: Headers) -> bool:
    names = {name.lower() for name, _ in headers}
    return not names.isdisjoint((b'content-length', b'transfer-encoding'))


_LAST_EVENTS = (AnswerEnded, LinkError)

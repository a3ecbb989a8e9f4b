"""Caller's HTTP/1.1 connection to an entry instance, owned by one task."""

import select
import socket
import struct
from dataclasses import dataclass
from time import monotonic

import h11

from ..model.entry_request import Headers

_READ_BYTES = 65536
#: Seconds for one write; a caller that reads more slowly counts as gone.
_WRITE_TIMEOUT_S = 10.0
_MS_IN_S = 1000
#: ``struct linger``: on, zero seconds; closing then sends a reset.
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)
_BODYLESS_STATUSES = frozenset((204, 304))


@dataclass(frozen=True)
class RequestRead:
    """A complete request with its body.

    Parameters
    ----------
    method
        HTTP method.
    target
        Request target as sent, with its query.
    headers
        Names and values in the order and case that the caller sent.
    body
        The body, decoded where it was chunked.

    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes


@dataclass(frozen=True)
class ReadEnded:
    """The caller closed the connection or sent nothing in the idle time."""


@dataclass(frozen=True)
class ReadRefused:
    """The request is malformed, too large or too slow.

    Parameters
    ----------
    status
        HTTP status to answer with.
    message
        What is wrong with the request.

    """

    status: int
    message: str


ReadOutcome = RequestRead | ReadEnded | ReadRefused

REQUEST_TIMEOUT = 408
BODY_TOO_LARGE = 413


@dataclass(frozen=True)
class ReadLimits:
    """Limits on the size and the pace of a request.

    Parameters
    ----------
    head_bytes, body_bytes
        Largest head and body, in bytes.
    head_s
        Seconds from the first byte of a request to the end of its head.
    idle_s
        Seconds without a request after which the connection ends, and seconds
        from the end of a head to the end of the body.

    """

    head_bytes: int
    body_bytes: int
    head_s: float
    idle_s: float


class CallerLeftError(Exception):
    """The caller closed its connection or stopped reading."""


class CallerConnection:
    """Reads requests and writes responses, one after the other.

    Parameters
    ----------
    sock
        Accepted socket; the connection owns it and closes it.
    head_bytes
        Largest head of a request, in bytes; a larger one is refused.

    """

    def __init__(self, sock: socket.socket, head_bytes: int) -> None:
        """Disable Nagle's algorithm, so that each token is sent at once."""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._sock = sock
        self._http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=head_bytes
        )
        self._has_early_bytes = False

    def fileno(self) -> int:
        """Return the socket's descriptor for ``wait_readable``."""
        return self._sock.fileno()

    @property
    def may_have_left(self) -> bool:
        """Whether a readable descriptor means that the caller has left.

        False once bytes of a pipelined request have come: they keep the
        descriptor readable, and waiting on it would return at once.
        """
        return not self._has_early_bytes

    def read_request(self, limits: ReadLimits) -> ReadOutcome:
        """Wait for a complete request.

        Parameters
        ----------
        limits
            Limits for this request.

        """
        try:
            return self._read(limits)
        except h11.RemoteProtocolError as exc:
            return ReadRefused(exc.error_status_hint, str(exc))
        except TimeoutError:
            has_begun = bool(self._http.trailing_data[0])
            if self._http.their_state is h11.IDLE and not has_begun:
                return ReadEnded()
            return ReadRefused(
                REQUEST_TIMEOUT, 'request was not received in time'
            )
        except OSError:
            return ReadEnded()

    def has_left(self) -> bool:
        """Return whether the caller has closed its side; never blocks."""
        # With a timeout set, recv would wait for data first.
        self._sock.settimeout(0)
        try:
            peeked = self._sock.recv(_READ_BYTES, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True
        self._has_early_bytes = bool(peeked)
        return not peeked

    def start_answer(
        self,
        status: int,
        headers: Headers,
        ends_connection: bool,
    ) -> None:
        """Send the head of a response.

        Parameters
        ----------
        status
            HTTP status.
        headers
            Headers; without ``Content-Length`` the body is sent chunked, or
            up to the end of the connection to a caller that speaks HTTP/1.0.
        ends_connection
            Announce that the connection is closed after the response.

        Raises
        ------
        CallerLeftError
            The caller closed the connection or did not read in time.

        """
        given = list(headers)
        if ends_connection:
            given.append((b'Connection', b'close'))
        self._send(
            self._http.send(h11.Response(status_code=status, headers=given))
        )

    def send_piece(self, piece: bytes) -> None:
        """Send a part of the body.

        Raises
        ------
        CallerLeftError
            The caller closed the connection or did not read in time.

        """
        self._send(self._http.send(h11.Data(data=piece)))

    def end_answer(self) -> None:
        """Complete the response.

        Raises
        ------
        CallerLeftError
            The caller closed the connection or did not read in time.

        """
        self._send(self._http.send(h11.EndOfMessage()))

    def answer(
        self,
        status: int,
        headers: Headers,
        body: bytes,
        ends_connection: bool,
    ) -> None:
        """Send a complete response in one write.

        Parameters
        ----------
        status
            HTTP status.
        headers
            Headers without ``Content-Length``, which is added where the
            status allows a body.
        body
            The body; may be empty.
        ends_connection
            Announce that the connection is closed after the response.

        Raises
        ------
        CallerLeftError
            The caller closed the connection or did not read in time.

        """
        length = (b'Content-Length', str(len(body)).encode())
        given = (
            list(headers)
            if status in _BODYLESS_STATUSES
            else [*headers, length]
        )
        if ends_connection:
            given.append((b'Connection', b'close'))
        sent = self._http.send(h11.Response(status_code=status, headers=given))
        if body:
            sent = (sent or b'') + (self._http.send(h11.Data(body)) or b'')
        ended = self._http.send(h11.EndOfMessage())
        self._send((sent or b'') + (ended or b''))

    def next_cycle(self) -> bool:
        """Prepare for the next request.

        Returns
        -------
        bool
            False where the connection can't be used again, because a message
            is incomplete or either side announced its end.

        """
        if self._http.our_state is not h11.DONE:
            return False
        if self._http.their_state is not h11.DONE:
            return False
        self._http.start_next_cycle()
        self._has_early_bytes = False
        return True

    def abort(self) -> None:
        """Close in the middle of a response, so that it shows as truncated."""
        if self._http.their_http_version != b'1.1':
            # An HTTP/1.0 body is not chunked and ends with the connection:
            # only a reset shows that it is truncated.
            self._sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
            )
        self._sock.close()

    def close(self) -> None:
        """Close the connection once the data sent so far is delivered."""
        try:
            self._sock.shutdown(socket.SHUT_WR)
        except OSError:
            # The caller has closed it already.
            self._sock.close()
            return
        self._sock.close()

    def _read(self, limits: ReadLimits) -> ReadOutcome:
        has_begun = bool(self._http.trailing_data[0])
        if not has_begun and not wait_readable((self.fileno(),), limits.idle_s):
            return ReadEnded()
        head = self._next_part(monotonic() + limits.head_s)
        if not isinstance(head, h11.Request):
            return ReadEnded()
        ends_s = monotonic() + limits.idle_s
        body = bytearray()
        while True:
            part = self._next_part(ends_s)
            if not isinstance(part, h11.Data):
                break
            body += part.data
            if len(body) > limits.body_bytes:
                return ReadRefused(
                    BODY_TOO_LARGE,
                    f'body is larger than {limits.body_bytes} bytes',
                )
        if not isinstance(part, h11.EndOfMessage):
            return ReadEnded()
        return RequestRead(
            head.method,
            head.target,
            tuple(head.headers.raw_items()),
            bytes(body),
        )

    def _next_part(self, ends_s: float) -> object:
        """Read the next part of a request, until a time at most."""
        while True:
            part = self._http.next_event()
            if part is not h11.NEED_DATA:
                return part
            self._fill(ends_s)

    def _fill(self, ends_s: float) -> None:
        remaining_s = ends_s - monotonic()
        if remaining_s <= 0:
            raise TimeoutError
        self._sock.settimeout(remaining_s)
        if self._http.they_are_waiting_for_100_continue:
            interim = h11.InformationalResponse(status_code=100, headers=[])
            self._sock.sendall(self._http.send(interim) or b'')
        self._http.receive_data(self._sock.recv(_READ_BYTES))

    def _send(self, sent: bytes | None) -> None:
        if not sent:
            return
        try:
            self._sock.settimeout(_WRITE_TIMEOUT_S)
            self._sock.sendall(sent)
        except OSError as exc:
            raise CallerLeftError(str(exc)) from exc


def wait_readable(
    descriptors: tuple[int, ...],
    timeout_s: float,
) -> frozenset[int]:
    """Wait until a descriptor has data, was closed by its peer or failed.

    Parameters
    ----------
    descriptors
        Descriptors to wait on.
    timeout_s
        Longest wait in seconds; zero or less does not wait.

    Returns
    -------
    frozenset
        The ready descriptors; empty when the time is over.

    """
    poll = select.poll()
    for descriptor in descriptors:
        poll.register(descriptor, select.POLLIN | select.POLLRDHUP)
    ready = poll.poll(max(0, int(timeout_s * _MS_IN_S)))
    return frozenset(ready_descriptor for ready_descriptor, _ in ready)

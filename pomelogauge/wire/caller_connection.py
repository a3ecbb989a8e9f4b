"""One connection of a caller, owned by one task."""

import select
import socket
import struct
from dataclasses import dataclass

import h11

from ..model.entry_request import Headers

_READ_BYTES = 65536
#: Seconds that a caller may take to read what was sent.
_WRITE_S = 10.0
_MS_IN_S = 1000
#: Linger structure: on, zero seconds.
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)
_NO_BODY = frozenset((204, 304))


@dataclass(frozen=True)
class RequestRead:
    """A whole request."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes


@dataclass(frozen=True)
class ReadEnded:
    """The connection ended between requests."""


@dataclass(frozen=True)
class ReadRefused:
    """What came is no request that can be served.

    Parameters
    ----------
    status
        Status of the answer.
    message
        What is wrong.

    """

    status: int
    message: str


ReadOutcome = RequestRead | ReadEnded | ReadRefused

REQUEST_TIMEOUT = 408
BODY_TOO_LARGE = 413


@dataclass(frozen=True)
class ReadLimits:
    """What a request may take.

    Parameters
    ----------
    head_bytes, body_bytes
        Largest head and body.
    head_s, idle_s
        Seconds for a whole request and until its first byte.

    """

    head_bytes: int
    body_bytes: int
    head_s: float
    idle_s: float


class CallerLeftError(Exception):
    """The caller has closed its connection."""


class CallerConnection:
    """Reads requests and writes answers.

    Parameters
    ----------
    sock
        Accepted socket; the connection owns it.
    head_bytes
        Largest head.

    """

    def __init__(self, sock: socket.socket, head_bytes: int) -> None:
        """Take the socket."""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._sock = sock
        self._http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=head_bytes
        )
        self._has_early_bytes = False

    def fileno(self) -> int:
        """Return the descriptor to wait on."""
        return self._sock.fileno()

    @property
    def may_have_left(self) -> bool:
        """Whether the descriptor tells of a caller that leaves.

        Bytes of a next request keep the descriptor readable.
        """
        return not self._has_early_bytes

    def read_request(self, limits: ReadLimits) -> ReadOutcome:
        """Wait for a whole request."""
        try:
            return self._read(limits)
        except h11.RemoteProtocolError as exc:
            return ReadRefused(exc.error_status_hint, str(exc))
        except TimeoutError:
            has_begun = bool(self._http.trailing_data[0])
            if self._http.their_state is h11.IDLE and not has_begun:
                return ReadEnded()
            return ReadRefused(REQUEST_TIMEOUT, 'the request takes too long')
        except OSError:
            return ReadEnded()

    def has_left(self) -> bool:
        """Look whether the caller has closed its side."""
        # With a timeout the library would wait for it.
        self._sock.settimeout(0)
        try:
            found = self._sock.recv(_READ_BYTES, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True
        self._has_early_bytes = bool(found)
        return not found

    def start_answer(
        self,
        status: int,
        headers: Headers,
        ends_connection: bool,
    ) -> None:
        """Send the head of an answer; without a length it is chunked.

        Raises
        ------
        CallerLeftError
            The connection is gone.

        """
        given = list(headers)
        if ends_connection:
            given.append((b'Connection', b'close'))
        self._send(
            self._http.send(h11.Response(status_code=status, headers=given))
        )

    def send_piece(self, piece: bytes) -> None:
        """Send a piece of the body.

        Raises
        ------
        CallerLeftError
            The connection is gone.

        """
        self._send(self._http.send(h11.Data(data=piece)))

    def end_answer(self) -> None:
        """Complete the answer.

        Raises
        ------
        CallerLeftError
            The connection is gone.

        """
        self._send(self._http.send(h11.EndOfMessage()))

    def answer(
        self,
        status: int,
        headers: Headers,
        body: bytes,
        ends_connection: bool,
    ) -> None:
        """Send a whole answer.

        Raises
        ------
        CallerLeftError
            The connection is gone.

        """
        length = (b'Content-Length', str(len(body)).encode())
        given = list(headers) if status in _NO_BODY else [*headers, length]
        if ends_connection:
            given.append((b'Connection', b'close'))
        sent = self._http.send(h11.Response(status_code=status, headers=given))
        if body:
            sent = (sent or b'') + (self._http.send(h11.Data(body)) or b'')
        ended = self._http.send(h11.EndOfMessage())
        self._send((sent or b'') + (ended or b''))

    def next_cycle(self) -> bool:
        """Prepare for the next request; false where the connection ends."""
        if self._http.our_state is not h11.DONE:
            return False
        if self._http.their_state is not h11.DONE:
            return False
        self._http.start_next_cycle()
        self._has_early_bytes = False
        return True

    def abort(self) -> None:
        """End an answer early so that it does not look complete."""
        if self._http.their_http_version != b'1.1':
            # Without chunks the end of the connection ends the answer, so
            # that only a reset tells that it is not whole.
            self._sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
            )
        self._sock.close()

    def close(self) -> None:
        """Close the connection after what was sent."""
        try:
            self._sock.shutdown(socket.SHUT_WR)
        except OSError:
            # The caller has closed it already.
            self._sock.close()
            return
        self._sock.close()

    def _read(self, limits: ReadLimits) -> ReadOutcome:
        self._sock.settimeout(limits.idle_s)
        head = self._next_part()
        self._sock.settimeout(limits.head_s)
        if not isinstance(head, h11.Request):
            return ReadEnded()
        body = bytearray()
        while True:
            part = self._next_part()
            if not isinstance(part, h11.Data):
                break
            body += part.data
            if len(body) > limits.body_bytes:
                return ReadRefused(BODY_TOO_LARGE, 'body is too large')
        if not isinstance(part, h11.EndOfMessage):
            return ReadEnded()
        return RequestRead(
            head.method,
            head.target,
            tuple(head.headers.raw_items()),
            bytes(body),
        )

    def _next_part(self) -> object:
        while True:
            part = self._http.next_event()
            if part is not h11.NEED_DATA:
                return part
            self._fill()

    def _fill(self) -> None:
        if self._http.they_are_waiting_for_100_continue:
            go_on = h11.InformationalResponse(status_code=100, headers=[])
            self._sock.sendall(self._http.send(go_on) or b'')
        self._http.receive_data(self._sock.recv(_READ_BYTES))

    def _send(self, sent: bytes | None) -> None:
        if not sent:
            return
        try:
            self._sock.settimeout(_WRITE_S)
            self._sock.sendall(sent)
        except OSError as exc:
            raise CallerLeftError(str(exc)) from exc


def wait_readable(
    descriptors: tuple[int, ...],
    timeout_s: float,
) -> frozenset[int]:
    """Wait until a descriptor has bytes, an end or an error."""
    poll = select.poll()
    for one in descriptors:
        poll.register(one, select.POLLIN | select.POLLRDHUP)
    ready = poll.poll(max(0, int(timeout_s * _MS_IN_S)))
    return frozenset(found for found, _ in ready)

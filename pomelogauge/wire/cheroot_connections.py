"""Connections of the Cheroot server, with deadlines for reading requests."""

import math
import socket
import time
from _pyio import BufferedReader  # type: ignore[import-not-found]
from typing import Any

from cheroot.makefile import MakeFile, StreamReader
from cheroot.server import HTTPConnection, HTTPRequest
from cheroot.wsgi import Gateway_10

#: Key of the caller's socket in the WSGI environment.
SOCKET_KEY = 'pomelogauge.socket'
#: Longest line with the size and the extensions of a chunk, in bytes.
_MAX_CHUNK_LINE_BYTES = 32768
_MALFORMED = '400'
_STOPPING = '503 Service Unavailable'


class DeadlineSocketIO(socket.SocketIO):
    """Raw reads that share one deadline.

    The server's timeout is for a single read, so that a caller that sends a
    byte now and then could hold a thread for ever.
    """

    def __init__(self, sock: socket.socket) -> None:
        """Start without a deadline."""
        super().__init__(sock, 'r')
        self._own_socket = sock
        self._deadline_s = math.inf

    def set_limit(self, seconds: float) -> None:
        """Give all reads from now on a total of ``seconds``."""
        self._deadline_s = time.monotonic() + seconds

    def readinto(self, buffer: Any) -> int | None:
        """Read once.

        Raises
        ------
        TimeoutError
            Nothing came until the deadline or within the socket's timeout.

        """
        remaining_s = self._deadline_s - time.monotonic()
        if remaining_s <= 0:
            raise TimeoutError('timed out')
        socket_timeout_s = self._own_socket.gettimeout()
        self._own_socket.settimeout(
            min(remaining_s, socket_timeout_s or math.inf)
        )
        # Writes use the same socket and keep its own timeout.
        try:  # noqa: WPS501
            return super().readinto(buffer)
        finally:
            self._own_socket.settimeout(socket_timeout_s)


class DeadlineReader(StreamReader):
    """Cheroot's buffered reader on top of ``DeadlineSocketIO``."""

    def __init__(self, sock: socket.socket, size: int) -> None:
        """Set up the buffer; the base class would make its own source."""
        self.source = DeadlineSocketIO(sock)
        BufferedReader.__init__(self, self.source, size)
        self.bytes_read = 0

    def readline(self, size: int | None = -1) -> bytes:
        """Read a line; the server bounds those of the head by ``size``.

        Raises
        ------
        ValueError
            A line that has no other bound, as those of chunks, is too long.

        """
        if size is not None and size >= 0:
            bounded: bytes = super().readline(size)
            return bounded
        line: bytes = super().readline(_MAX_CHUNK_LINE_BYTES + 1)
        if len(line) > _MAX_CHUNK_LINE_BYTES:
            raise ValueError('the line of a chunk is too long')
        return line


class DeadlineRequest(HTTPRequest):
    """A request with one time limit for its headers and one for its body."""

    def parse_request(self) -> None:
        """Read the headers within ``header_limit_s`` of the server."""
        self.conn.rfile.source.set_limit(self.server.header_limit_s)
        super().parse_request()

    def respond(self) -> None:
        """Run the application, whose reads share ``body_limit_s``."""
        self.conn.rfile.source.set_limit(self.server.body_limit_s)
        super().respond()

    def simple_response(self, status: str, msg: str = '') -> None:
        """Send an answer of the server itself.

        A stop ends the reading of a head, which then looks malformed: its
        caller is told to send the request elsewhere.
        """
        if status.startswith(_MALFORMED) and not self.server.ready:
            super().simple_response(_STOPPING)
        else:
            super().simple_response(status, msg)


class DeadlineConnection(HTTPConnection):
    """A connection that reads through ``DeadlineReader``."""

    RequestHandlerClass = DeadlineRequest

    def __init__(
        self,
        server: Any,
        sock: socket.socket,
        makefile: Any = MakeFile,
    ) -> None:
        """Replace the reader; writes are the server's own."""
        super().__init__(server, sock, _makefile)


class SocketGateway(Gateway_10):
    """WSGI gateway that hands the caller's socket to the application.

    The application watches the socket to notice callers that disconnect.
    """

    def __init__(self, req: HTTPRequest) -> None:
        """Add the socket to the environment under ``SOCKET_KEY``."""
        super().__init__(req)
        self.env[SOCKET_KEY] = req.conn.socket


def _makefile(sock: socket.socket, mode: str, size: int) -> Any:
    if 'r' in mode:
        return DeadlineReader(sock, size)
    return MakeFile(sock, mode, size)

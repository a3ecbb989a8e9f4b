"""Connections of callers, with deadlines for what callers send."""

import math
import socket
import time
from _pyio import BufferedReader  # type: ignore[import-not-found]
from typing import Any

from cheroot.makefile import MakeFile, StreamReader
from cheroot.server import HTTPConnection, HTTPRequest
from cheroot.wsgi import Gateway_10

#: Entry of the WSGI environment that holds the caller's socket.
SOCKET_KEY = 'pomelogauge.socket'


class DeadlineSocketIO(socket.SocketIO):
    """Reads until a deadline, however slowly bytes come in."""

    def __init__(self, sock: socket.socket) -> None:
        """Read without a deadline."""
        super().__init__(sock, 'r')
        self._own_socket = sock
        self._deadline_s = math.inf

    def set_limit(self, seconds: float) -> None:
        """Let the reads from now on take so long in all."""
        self._deadline_s = time.monotonic() + seconds

    def readinto(self, buffer: Any) -> int | None:
        """Read once, no longer than until the deadline."""
        left_s = self._deadline_s - time.monotonic()
        if left_s <= 0:
            raise TimeoutError('timed out')
        usual_s = self._own_socket.gettimeout()
        self._own_socket.settimeout(min(left_s, usual_s or math.inf))
        # Writes share the socket and have no deadline.
        try:  # noqa: WPS501
            return super().readinto(buffer)
        finally:
            self._own_socket.settimeout(usual_s)


class DeadlineReader(StreamReader):
    """The server's buffered reader over reads with a deadline."""

    def __init__(self, sock: socket.socket, size: int) -> None:
        """Wrap a socket."""
        self.source = DeadlineSocketIO(sock)
        BufferedReader.__init__(self, self.source, size)
        self.bytes_read = 0


class DeadlineRequest(HTTPRequest):
    """A request whose headers and body have a time limit each."""

    def parse_request(self) -> None:
        """Read the headers."""
        self.conn.rfile.source.set_limit(self.server.header_limit_s)
        super().parse_request()

    def respond(self) -> None:
        """Read the body and answer."""
        self.conn.rfile.source.set_limit(self.server.body_limit_s)
        super().respond()


class DeadlineConnection(HTTPConnection):
    """A connection of a caller."""

    RequestHandlerClass = DeadlineRequest

    def __init__(
        self,
        server: Any,
        sock: socket.socket,
        makefile: Any = MakeFile,
    ) -> None:
        """Read with deadlines and write as the server does."""
        super().__init__(server, sock, _makefile)


class SocketGateway(Gateway_10):
    """Hands the caller's socket to the application."""

    def __init__(self, req: HTTPRequest) -> None:
        """Add the socket to the environment."""
        super().__init__(req)
        self.env[SOCKET_KEY] = req.conn.socket


def _makefile(sock: socket.socket, mode: str, size: int) -> Any:
    if 'r' in mode:
        return DeadlineReader(sock, size)
    return MakeFile(sock, mode, size)

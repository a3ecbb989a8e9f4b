"""Callers that send bytes without end, with the memory that they take."""

import socket
import threading
import time
import tracemalloc
import unittest
from contextlib import suppress
from itertools import chain, repeat

from pomelogauge.wire.caller_connection import (
    BODY_TOO_LARGE,
    REQUEST_TIMEOUT,
    CallerConnection,
    ReadLimits,
    ReadOutcome,
    ReadRefused,
)

from .request_fixtures import EVENTS, RequestCase, chunk, stream

HEAD_BYTES = 4096
BODY_BYTES = 100_000
LIMITS = ReadLimits(
    head_bytes=HEAD_BYTES, body_bytes=BODY_BYTES, head_s=0.3, idle_s=0.3
)
#: Longest time of one request, with a margin for a busy machine.
LONGEST_S = LIMITS.head_s + LIMITS.idle_s + 0.5
#: Largest growth of the memory for one request, in bytes: the body, its copy
#: and some reads of the socket.
MEMORY_BYTES = 2 * BODY_BYTES + 6 * 65536
#: Seconds between two pieces of a caller that sends one now and then.
PAUSE_S = 0.02

BAD_REQUEST = 400
HEAD_TOO_LARGE = 431
PIECE = b'x' * 65536
START = b'POST /a/b HTTP/1.1\r\nHost: app.example\r\n'
CHUNKED = START + b'Transfer-Encoding: chunked\r\n\r\n'
LONG = START + b'Content-Length: 99999999999\r\n\r\n'
HEADERS = b'X-A: b\r\n' * 999

#: First bytes, the bytes that follow without end, and the status.
FLOODS = {
    'request line': (b'POST /', PIECE, HEAD_TOO_LARGE),
    'header': (START + b'X-A: ', PIECE, HEAD_TOO_LARGE),
    'headers': (START, HEADERS, HEAD_TOO_LARGE),
    'empty lines': (b'', b'\r\n' * 999, BAD_REQUEST),
    'body': (LONG, PIECE, BODY_TOO_LARGE),
    'chunks': (CHUNKED, chunk(PIECE), BODY_TOO_LARGE),
    'chunk': (CHUNKED + b'fffffffff\r\n', PIECE, BODY_TOO_LARGE),
    'chunk size': (CHUNKED, b'0' * 65536, HEAD_TOO_LARGE),
    'chunk extension': (CHUNKED + b'1;', PIECE, HEAD_TOO_LARGE),
    'chunk extensions': (
        CHUNKED,
        b'1;%s\r\nx\r\n' % PIECE[: HEAD_BYTES - 9],
        REQUEST_TIMEOUT,
    ),
    'trailer': (CHUNKED + b'0\r\nX-A: ', PIECE, HEAD_TOO_LARGE),
    'trailers': (CHUNKED + b'0\r\n', HEADERS, HEAD_TOO_LARGE),
}
#: The same with a piece now and then; all are refused by the time.
DRIPS = {
    'chunks': (CHUNKED, chunk(b'x')),
    'chunk size': (CHUNKED, b'0'),
    'chunk extension': (CHUNKED + b'1;', b'x'),
    'trailers': (CHUNKED + b'0\r\n', b'X-A: b\r\n'),
}


class EndlessRequestTest(unittest.TestCase):
    """Each request is cut at a bound of size and time, with flat memory."""

    def setUp(self) -> None:
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)

    def read(self, start: bytes, piece: bytes, pause_s: float) -> ReadOutcome:
        """Read a request that has no end, within its time and memory."""
        server = socket.create_server(('127.0.0.1', 0))
        caller = socket.create_connection(server.getsockname())
        accepted, _ = server.accept()

        def send() -> None:
            with suppress(OSError):
                for sent in chain((start,), repeat(piece)):
                    caller.sendall(sent)
                    time.sleep(pause_s)

        with server, caller, accepted:
            threading.Thread(target=send, daemon=True).start()
            tracemalloc.reset_peak()
            before = tracemalloc.get_traced_memory()[0]
            began_s = time.monotonic()
            outcome = CallerConnection(accepted, HEAD_BYTES).read_request(
                LIMITS
            )
            self.assertLess(time.monotonic() - began_s, LONGEST_S)
            grown = tracemalloc.get_traced_memory()[1] - before
            self.assertLess(grown, MEMORY_BYTES)
            return outcome

    def test_bytes_without_end(self) -> None:
        for name, (start, piece, status) in FLOODS.items():
            with self.subTest(name):
                outcome = self.read(start, piece, 0)
                self.assertIsInstance(outcome, ReadRefused)
                self.assertEqual(outcome.status, status, outcome)

    def test_a_piece_now_and_then(self) -> None:
        for name, (start, piece) in DRIPS.items():
            with self.subTest(name):
                outcome = self.read(start, piece, PAUSE_S)
                self.assertIsInstance(outcome, ReadRefused)
                self.assertEqual(outcome.status, REQUEST_TIMEOUT, outcome)


class EndlessCallerTest(RequestCase):
    def test_the_caller_is_refused_and_no_target_gets_the_request(
        self,
    ) -> None:
        self.start(stream(*EVENTS))
        for name, (start, piece, status) in FLOODS.items():
            if status == REQUEST_TIMEOUT:
                continue
            with self.subTest(name):
                sock = self.connect()
                answer = b''
                with suppress(ConnectionError):
                    for sent in chain((start,), repeat(piece)):
                        sock.sendall(sent)
                with suppress(ConnectionError):
                    while read := sock.recv(65536):
                        answer += read
                if answer:
                    self.assertTrue(answer.startswith(b'HTTP/1.1 4'), answer)
                    self.assertIn(b'Connection: close', answer)
        self.assertEqual(self.received_count(), 0)


if __name__ == '__main__':
    unittest.main()

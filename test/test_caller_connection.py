"""Callers that send slowly, without end or one byte now and then."""

import socket
import threading
import time
import unittest
from collections.abc import Iterator
from contextlib import suppress
from itertools import cycle

from pomelogauge.wire.caller_connection import (
    REQUEST_TIMEOUT,
    CallerConnection,
    ReadEnded,
    ReadLimits,
    ReadOutcome,
    ReadRefused,
    RequestRead,
)

HEAD_S = 0.4
IDLE_S = 0.8
LIMITS = ReadLimits(
    head_bytes=4096, body_bytes=4096, head_s=HEAD_S, idle_s=IDLE_S
)
#: Seconds between two bytes of a caller that is slow but not idle.
PAUSE_S = 0.05
HEAD = b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 400\r\n\r\n'


class SlowCallerTest(unittest.TestCase):
    """Guards against callers that hold a connection without an end."""

    def read(self, pieces: Iterator[bytes]) -> ReadOutcome:
        """Read what a caller sends, one piece every ``PAUSE_S``."""
        server = socket.create_server(('127.0.0.1', 0))
        self.addCleanup(server.close)
        caller = socket.create_connection(server.getsockname())
        self.addCleanup(caller.close)
        accepted, _ = server.accept()
        self.addCleanup(accepted.close)
        ended = threading.Event()
        self.addCleanup(ended.set)

        def send() -> None:
            with suppress(OSError):
                for piece in pieces:
                    caller.sendall(piece)
                    if ended.wait(PAUSE_S):
                        return

        threading.Thread(target=send, daemon=True).start()
        self.began_s = time.monotonic()
        return CallerConnection(accepted, 4096).read_request(LIMITS)

    def passed_s(self) -> float:
        return time.monotonic() - self.began_s

    def test_a_head_that_does_not_end_is_refused_in_time(self) -> None:
        outcome = self.read(iter([b'GET / HTTP/1.1\r\nX: ', *[b'a'] * 400]))
        self.assertIsInstance(outcome, ReadRefused)
        self.assertEqual(outcome.status, REQUEST_TIMEOUT)
        self.assertLess(self.passed_s(), IDLE_S)

    def test_a_body_that_does_not_end_is_refused_in_time(self) -> None:
        outcome = self.read(iter([HEAD, *[b'a'] * 399]))
        self.assertIsInstance(outcome, ReadRefused)
        self.assertLess(self.passed_s(), 2 * IDLE_S)

    def test_a_slow_request_within_the_limits_is_read(self) -> None:
        outcome = self.read(iter([HEAD[:20], HEAD[20:], *[b'a' * 50] * 8]))
        self.assertIsInstance(outcome, RequestRead)
        self.assertEqual(len(outcome.body), 400)

    def test_a_connection_without_a_request_ends(self) -> None:
        outcome = self.read(iter(()))
        self.assertIsInstance(outcome, ReadEnded)
        self.assertGreater(self.passed_s(), IDLE_S - 0.1)

    def test_lines_without_an_end_are_refused(self) -> None:
        outcome = self.read(cycle([b'\r\n']))
        self.assertIsInstance(outcome, ReadRefused | ReadEnded)
        self.assertLess(self.passed_s(), IDLE_S)

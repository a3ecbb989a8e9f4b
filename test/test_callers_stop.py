"""Requests that come while a router's server for callers stops."""

import socket
import threading
import time
import unittest
from collections.abc import Callable, Iterable
from itertools import count

from pomelogauge.wire.callers_server import CallersServer, ServerSettings

REQUEST = b'GET /%s HTTP/1.1\r\nHost: a\r\n\r\n'
START = b'GET /'
SLOW = b'slow'
THREADS = 2
CALLERS = 8
#: More than the server has threads.
QUEUED = 6
STOP_TIMEOUT_S = 1
BODY = b'done'


class CallersStopTest(unittest.TestCase):
    """Guards against requests that are run and then cut by the stop.

    The dispatcher has refused new requests by then, but their refusals are
    answers too.
    """

    def setUp(self) -> None:
        self.ran: list[bytes] = []
        self.lets_go = threading.Event()
        self.addCleanup(self.lets_go.set)
        self.server = CallersServer(
            ServerSettings(threads=THREADS, stop_timeout_s=STOP_TIMEOUT_S)
        )
        self.port = self.server.bind('127.0.0.1', 0)
        self.server.serve(self.answer)
        self.stopping = threading.Thread(target=self.server.stop)
        self.addCleanup(self.server.stop)

    def answer(
        self, environ: dict, start_response: Callable
    ) -> Iterable[bytes]:
        name = environ['PATH_INFO'].strip('/').encode()
        self.ran.append(name)
        if name.startswith(SLOW):
            self.lets_go.wait(5)
        start_response('200 OK', [('Content-Length', str(len(BODY)))])
        return [BODY]

    def connect(self, sent: bytes = b'') -> socket.socket:
        sock = socket.create_connection(('127.0.0.1', self.port), 5)
        self.addCleanup(sock.close)
        sock.sendall(sent)
        return sock

    def read(self, sock: socket.socket) -> bytes:
        """Return what comes until the answer is whole or its connection ends."""
        answer = b''
        try:
            while not answer.endswith(BODY):
                read = sock.recv(4096)
                if not read:
                    break
                answer += read
        except ConnectionError:
            return answer
        return answer

    def read_all(self, sock: socket.socket) -> bytes:
        answer = b''
        while read := sock.recv(4096):
            answer += read
        return answer

    def assert_whole(self, sock: socket.socket) -> None:
        answer = self.read(sock)
        self.assertTrue(answer.startswith(b'HTTP/1.1 200'), answer)
        self.assertTrue(answer.endswith(BODY), answer)

    def assert_stops(self) -> None:
        self.stopping.join(STOP_TIMEOUT_S + 2)
        self.assertFalse(self.stopping.is_alive())

    def test_a_half_read_head_may_be_completed(self) -> None:
        sock = self.connect(START)
        time.sleep(0.1)
        self.stopping.start()
        time.sleep(0.2)
        sock.sendall((REQUEST % b'half')[len(START) :])
        self.assert_whole(sock)
        self.assert_stops()

    def test_a_head_that_the_stop_cuts_off_is_not_called_malformed(
        self,
    ) -> None:
        """Callers don't send a request elsewhere after status 400."""
        sock = self.connect(REQUEST % b'kept')
        self.assert_whole(sock)
        sock.sendall(START)
        time.sleep(0.1)
        self.stopping.start()
        self.assert_stops()
        answer = self.read_all(sock)
        self.assertTrue(answer.startswith(b'HTTP/1.1 503'), answer)
        self.assertEqual(self.ran, [b'kept'])

    def test_an_idle_connection_is_closed(self) -> None:
        sock = self.connect(REQUEST % b'kept')
        self.assert_whole(sock)
        self.stopping.start()
        self.assert_stops()
        self.assertEqual(self.read(sock), b'')

    def test_accepted_requests_are_answered(self) -> None:
        slow = [self.connect(REQUEST % SLOW) for _ in range(THREADS)]
        queued = [self.connect(REQUEST % b'queued') for _ in range(QUEUED)]
        time.sleep(0.2)
        self.stopping.start()
        time.sleep(0.1)
        self.assertNotIn(b'queued', self.ran)
        self.lets_go.set()
        for sock in (*slow, *queued):
            self.assert_whole(sock)
        self.assert_stops()

    def test_no_request_that_ran_is_cut_under_load(self) -> None:
        answers: dict[bytes, bytes] = {}

        def call(number: int) -> None:
            """Send requests, half of the callers on a kept connection."""
            sock = None
            for index in count():
                name = b'%d-%d' % (number, index)
                try:
                    sock = sock or self.connect()
                    sock.sendall(REQUEST % name)
                except OSError:
                    return
                answers[name] = answer = self.read(sock)
                if number % 2 or not answer:
                    sock.close()
                    sock = None

        callers = [
            threading.Thread(target=call, args=(number,), daemon=True)
            for number in range(CALLERS)
        ]
        for caller in callers:
            caller.start()
        time.sleep(0.3)
        self.stopping.start()
        self.assert_stops()
        for caller in callers:
            caller.join(5)
            self.assertFalse(caller.is_alive())
        cut = [name for name in self.ran if not answers[name].endswith(BODY)]
        self.assertEqual(cut, [])
        self.assertGreater(len(answers), CALLERS)


if __name__ == '__main__':
    unittest.main()

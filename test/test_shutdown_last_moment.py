"""Requests that come while a planned stop ends, over real sockets."""

import socket
import threading
import unittest

from pomelogauge.charts.reader import load_chart
from pomelogauge.decide.shutdown_chart import SHUTDOWN_WORDS
from pomelogauge.tasks.mailbox import Mailbox
from pomelogauge.tasks.shutdown import (
    ProcessEnd,
    ShutdownActor,
    ShutdownPorts,
    ShutdownRequested,
    ShutdownTimes,
)
from pomelogauge.tasks.shutdown_messages import PhaseChanged
from pomelogauge.tasks.task import Task

from .request_fixtures import (
    EVENTS,
    HEAD,
    RequestCase,
    chunk,
    stream,
    wait_until,
)


class LeavingSign:
    """Publishes that the instance is leaving, as the entry daemon does."""

    def __init__(self, case: RequestCase) -> None:
        self.case = case

    def post(self, message: PhaseChanged) -> None:
        self.case.ports.leaving.publish(True)


class LastMomentTest(RequestCase):
    """Guards against requests that reach a target and are cut by the end.

    ``ended`` tells the main thread to end the process; until it does so, the
    tasks of all connections go on.
    """

    def setUp(self) -> None:
        self.ended: Mailbox[ProcessEnd] = Mailbox()
        self.lets_go = threading.Event()
        self.addCleanup(self.lets_go.set)
        self.start(self.respond)
        ports = ShutdownPorts(
            LeavingSign(self), self.in_progress, self.in_progress, self.ended
        )
        actor = ShutdownActor(
            load_chart('router_shutdown', SHUTDOWN_WORDS),
            ShutdownTimes(answer_life_s=4, limit_s=8),
            ports,
            self.clock,
        )
        self.shutdown = Task('shutdown', actor)
        actor.listen_on(self.shutdown)
        self.shutdown.start()
        self.addCleanup(self.shutdown.stop)

    def respond(self, sock: socket.socket, received: bytes) -> None:
        """Answer the first request at once, and later ones when let go."""
        if self.received_count() > 1:
            sock.sendall(HEAD + chunk(EVENTS[0]))
            self.lets_go.wait(5)
            sock.sendall(b''.join(map(chunk, EVENTS[1:])) + b'0\r\n\r\n')
            return
        stream(*EVENTS)(sock, received)

    def signal(self) -> None:
        self.shutdown.post(ShutdownRequested('signal'))
        self.assertTrue(wait_until(self.ports.leaving.latest))

    def read_all(self, sock: socket.socket) -> bytes:
        answer = b''
        while read := sock.recv(65536):
            answer += read
        return answer

    def assert_refused(self, sock: socket.socket) -> None:
        answer = self.read_all(sock)
        self.assertTrue(answer.startswith(b'HTTP/1.1 503'), answer)
        self.assertIn(b'Connection: close', answer)

    def assert_whole(self, answer: bytes) -> None:
        self.assertTrue(answer.startswith(b'HTTP/1.1 200'), answer)
        self.assertIn(b'Connection: close', answer)
        self.assertTrue(answer.endswith(b'0\r\n\r\n'), answer)

    def test_a_request_after_the_last_one_is_refused(self) -> None:
        """It would reach a target and then be cut by the end."""
        kept, half_read = self.connect(), self.connect()
        half_read.sendall(b'POST /a/b HTTP/1.1\r\n')
        for _ in range(2):
            self.signal()
        self.assertIs(self.ended.take(3), ProcessEnd.FINISHED)
        for sock in (kept, self.connect()):
            self.send(sock)
            self.assert_refused(sock)
        half_read.sendall(
            b'Host: app.example\r\nX-Attempt-Id: a2\r\nX-Model: big\r\n'
            b'X-Deadline-Ms: 4000\r\nContent-Length: 2\r\n\r\n{}'
        )
        self.assert_refused(half_read)
        self.assertEqual(self.received_count(), 0)

    def test_requests_beside_the_last_ones_are_refused(self) -> None:
        """Under load, one would follow the other until the limit cuts some."""
        self.signal()
        self.assert_whole(self.call())
        running = self.connect()
        self.send(running)
        self.assertTrue(wait_until(lambda: self.received_count() == 2))
        self.signal()
        late = self.connect()
        self.send(late)
        self.assert_refused(late)
        self.assertIsNone(self.ended.take(0.3))
        self.lets_go.set()
        self.assert_whole(self.read_all(running))
        self.assertIs(self.ended.take(3), ProcessEnd.FINISHED)
        self.assertEqual(self.received_count(), 2)


if __name__ == '__main__':
    unittest.main()

"""One request from a caller's socket to targets' sockets and back."""

import socket
import threading
import time
import unittest
from collections.abc import Callable
from random import Random

from pomelogauge.decide.serving_rules import AdmissionBounds
from pomelogauge.entry.caller_task import CallerTask
from pomelogauge.entry.dispatcher import Dispatcher, DispatchSettings
from pomelogauge.entry.request_ports import RequestPorts, load_request_chart
from pomelogauge.model.fleet import MembershipState, Target
from pomelogauge.model.ids import Address
from pomelogauge.model.serving import RouteKind, Share
from pomelogauge.platform.translator import RequestTranslator
from pomelogauge.tasks.clock import BootClock
from pomelogauge.tasks.published import Published
from pomelogauge.tasks.task import Task

from .entry_fakes import (
    BIG,
    DESK,
    HOST,
    LLM,
    ZONE,
    Outbox,
    config,
    fleet,
    membership,
    route,
    target,
)

Script = Callable[[socket.socket, bytes], None]
HEAD = (
    b'HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Response-Stamp: s1\r\n'
    b'Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n'
)
SHED = (
    b'HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n'
    b'Content-Length: 0\r\n\r\n'
)
EVENTS = [b'id: %d\ndata: x\n\n' % number for number in range(1, 4)]


def chunk(piece: bytes) -> bytes:
    return b'%x\r\n%s\r\n' % (len(piece), piece)


def stream(*pieces: bytes, ends: bool = True) -> Script:
    def play(sock: socket.socket, asked: bytes) -> None:
        sock.sendall(HEAD + b''.join(chunk(piece) for piece in pieces))
        if ends:
            sock.sendall(b'0\r\n\r\n')

    return play


def plain(status: bytes = b'200 OK', extra: bytes = b'') -> Script:
    def play(sock: socket.socket, asked: bytes) -> None:
        sock.sendall(
            b'HTTP/1.1 %s\r\nX-Attempt-Id: a1\r\nX-Response-Stamp: s\r\n'
            b'%sContent-Length: 2\r\n\r\nok' % (status, extra)
        )

    return play


def shed(sock: socket.socket, asked: bytes) -> None:
    sock.sendall(SHED)


def reset(sock: socket.socket, asked: bytes) -> None:
    sock.close()


class StubTarget:
    """Plays one script for each connection."""

    def __init__(self, script: Script) -> None:
        self.script = script
        self.asked: list[bytes] = []
        self.left = threading.Event()
        self.server = socket.create_server(('127.0.0.1', 0))
        self.address = Address(f'127.0.0.1:{self.server.getsockname()[1]}')
        threading.Thread(target=self.run, daemon=True).start()

    def run(self) -> None:
        while True:
            try:
                sock, _ = self.server.accept()
            except OSError:
                return
            with sock:
                self.serve(sock)

    def serve(self, sock: socket.socket) -> None:
        asked = sock.recv(65536)
        self.asked.append(asked)
        self.script(sock, asked)

    def hang(self, sock: socket.socket, asked: bytes) -> None:
        sock.settimeout(5)
        if not sock.recv(1):
            self.left.set()


class RequestRunTest(unittest.TestCase):
    def start(self, *scripts: Script | None, **fields: object) -> None:
        """Serve a route by targets that play these scripts in turn."""
        self.stubs = [StubTarget(script or reset) for script in scripts]
        for stub, script in zip(self.stubs, scripts, strict=True):
            self.addCleanup(stub.server.close)
            stub.script = script or stub.hang
        shares = fields.pop('shares', (Share(LLM, 1),))
        self.service = shares[0].service
        known = config(route(is_public=True, shares=shares, **fields))
        clock = BootClock()
        targets = [
            self.target(f't{index}', stub)
            for index, stub in enumerate(self.stubs)
        ]
        published_fleet = Published(
            fleet(*targets, config=known, confirmed_s=clock.now_s())
        )
        settings = DispatchSettings(ZONE, 0.2, 100, 10)
        dispatcher = Task(
            'dispatcher',
            InOrder(settings, published_fleet, Outbox(), clock, Random(1)),
        )
        dispatcher.start()
        self.addCleanup(dispatcher.stop)
        self.ports = RequestPorts(
            load_request_chart(),
            RequestTranslator(),
            published_fleet,
            Published(False),
            dispatcher,
            Outbox(),
            AdmissionBounds(4),
            clock,
        )

    def target(self, name: str, stub: StubTarget) -> Target:
        head = membership(f'g{name}', 0, MembershipState.OPEN)
        return target(
            name,
            service=self.service,
            address=stub.address,
            models=(BIG,),
            membership=head if self.service == LLM else None,
        )

    def connect(self) -> socket.socket:
        server = socket.create_server(('127.0.0.1', 0))
        ours = socket.create_connection(server.getsockname())
        theirs, _ = server.accept()
        server.close()
        CallerTask(theirs, self.ports).start()
        self.addCleanup(ours.close)
        ours.settimeout(5)
        return ours

    def send(self, sock: socket.socket, budget_ms: int = 4000) -> None:
        sock.sendall(
            b'POST /a/b HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: a1\r\n'
            b'X-Model: big\r\nX-Deadline-Ms: %d\r\nContent-Length: 2\r\n'
            b'Connection: close\r\n\r\n{}' % (HOST.encode(), budget_ms)
        )

    def ask(self, budget_ms: int = 4000) -> bytes:
        sock = self.connect()
        self.send(sock, budget_ms)
        answer = b''
        while True:
            try:
                read = sock.recv(65536)
            except ConnectionResetError:
                return answer
            if not read:
                return answer
            answer += read

    def asked(self) -> int:
        return sum(len(stub.asked) for stub in self.stubs)

    def test_a_whole_stream_is_passed_on(self) -> None:
        self.start(stream(*EVENTS))
        answer = self.ask()
        self.assertTrue(answer.startswith(b'HTTP/1.1 200'))
        self.assertIn(b'X-Response-Stamp: s1', answer)
        for event in EVENTS:
            self.assertIn(event, answer)
        self.assertTrue(answer.endswith(b'0\r\n\r\n'))

    def test_a_broken_stream_goes_on_after_its_last_whole_event(self) -> None:
        torn = EVENTS[1][:5]
        self.start(
            stream(EVENTS[0], torn, ends=False), stream(EVENTS[1], EVENTS[2])
        )
        answer = self.ask()
        self.assertIn(b'Last-Event-Id: 1', self.stubs[1].asked[0])
        for event in EVENTS:
            self.assertEqual(answer.count(event), 1)
        self.assertEqual(answer.count(b'id:'), 3)
        self.assertTrue(answer.endswith(b'0\r\n\r\n'))

    def test_a_stream_that_can_not_go_on_does_not_look_whole(self) -> None:
        self.start(stream(EVENTS[0], ends=False), may_resume=False)
        answer = self.ask()
        self.assertIn(EVENTS[0], answer)
        self.assertFalse(answer.endswith(b'0\r\n\r\n'))

    def test_a_stream_that_ends_inside_an_event_is_not_whole(self) -> None:
        self.start(stream(EVENTS[0], b'id: 2\nda'), may_resume=False)
        self.assertFalse(self.ask().endswith(b'0\r\n\r\n'))

    def test_a_silent_target_is_left_for_another(self) -> None:
        self.start(None, stream(*EVENTS))
        self.assertTrue(self.ask().endswith(b'0\r\n\r\n'))
        self.assertTrue(self.stubs[0].left.wait(1))

    def test_a_target_that_turns_away_is_left_for_another(self) -> None:
        self.start(shed, stream(*EVENTS))
        self.assertTrue(self.ask().startswith(b'HTTP/1.1 200'))

    def test_no_more_targets_are_asked_than_the_route_allows(self) -> None:
        self.start(shed, shed, shed, max_targets=2)
        self.assertTrue(self.ask().startswith(b'HTTP/1.1 503'))
        self.assertEqual(self.asked(), 2)

    def test_a_target_that_can_not_be_reached_costs_no_try(self) -> None:
        self.start(shed, stream(*EVENTS), max_targets=1)
        self.stubs[0].server.shutdown(socket.SHUT_RDWR)
        self.stubs[0].server.close()
        self.assertTrue(self.ask().startswith(b'HTTP/1.1 200'))

    def test_what_runs_once_only_is_not_sent_again(self) -> None:
        once = {
            'kind': RouteKind.NON_IDEMPOTENT,
            'may_resume': False,
            'shares': (Share(DESK, 1),),
        }
        self.start(reset, plain(), **once)
        answer = self.ask()
        self.assertTrue(answer.startswith(b'HTTP/1.1 502'))
        self.assertNotIn(b'Retry-After', answer)
        self.assertEqual(self.asked(), 1)

    def test_what_has_not_run_is_refused_truthfully(self) -> None:
        once = {
            'kind': RouteKind.NON_IDEMPOTENT,
            'may_resume': False,
            'max_targets': 1,
            'shares': (Share(DESK, 1),),
        }
        self.start(shed, **once)
        answer = self.ask()
        self.assertTrue(answer.startswith(b'HTTP/1.1 503'))
        self.assertIn(b'Retry-After', answer)

    def test_a_failure_of_an_idempotent_request_is_tried_again(self) -> None:
        repeated = {'kind': RouteKind.IDEMPOTENT, 'shares': (Share(DESK, 1),)}
        self.start(plain(b'500 No'), plain(), **repeated)
        self.assertTrue(self.ask().startswith(b'HTTP/1.1 200'))

    def test_a_targets_own_failure_is_passed_on(self) -> None:
        once = {
            'kind': RouteKind.NON_IDEMPOTENT,
            'may_resume': False,
            'shares': (Share(DESK, 1),),
        }
        self.start(plain(b'500 No'), plain(), **once)
        self.assertTrue(self.ask().startswith(b'HTTP/1.1 500'))
        self.assertEqual(self.asked(), 1)

    def test_an_answer_to_another_request_is_never_passed_on(self) -> None:
        def other(sock: socket.socket, asked: bytes) -> None:
            sock.sendall(HEAD.replace(b': a1', b': a2') + chunk(EVENTS[0]))

        self.start(other, other)
        self.assertTrue(self.ask().startswith(b'HTTP/1.1 502'))

    def test_a_success_without_a_stamp_is_never_passed_on(self) -> None:
        def bare(sock: socket.socket, asked: bytes) -> None:
            sock.sendall(HEAD.replace(b'X-Response-Stamp: s1\r\n', b''))

        self.start(bare, bare)
        self.assertTrue(self.ask().startswith(b'HTTP/1.1 502'))

    def test_bytes_that_are_no_answer_are_never_passed_on(self) -> None:
        def noise(sock: socket.socket, asked: bytes) -> None:
            sock.sendall(b'\x00\x01 not http\r\n\r\n')

        self.start(noise, noise)
        self.assertTrue(self.ask().startswith(b'HTTP/1.1 502'))

    def test_an_answer_without_a_length_ends_with_its_connection(self) -> None:
        def unframed(sock: socket.socket, asked: bytes) -> None:
            sock.sendall(b'HTTP/1.1 200 OK\r\nX-Response-Stamp: s\r\n\r\nbody')

        repeated = {'kind': RouteKind.IDEMPOTENT, 'shares': (Share(DESK, 1),)}
        self.start(unframed, **repeated)
        self.assertTrue(self.ask().endswith(b'body'))

    def test_a_caller_who_leaves_frees_the_target(self) -> None:
        self.start(None, may_resume=False)
        sock = self.connect()
        self.send(sock)
        time.sleep(0.2)
        sock.close()
        self.assertTrue(self.stubs[0].left.wait(0.5))

    def test_the_time_of_a_request_ends(self) -> None:
        self.start(None, may_resume=False, timeout_s=0.4)
        began = time.monotonic()
        self.assertTrue(self.ask().startswith(b'HTTP/1.1 504'))
        self.assertLess(time.monotonic() - began, 0.9)

    def test_targets_are_told_the_time_that_is_left(self) -> None:
        self.start(shed, stream(*EVENTS))
        self.ask(3000)
        head = self.stubs[1].asked[0].partition(b'X-Deadline-Ms: ')[2]
        self.assertLessEqual(int(head.partition(b'\r\n')[0]), 3000)
        self.assertIn(b'X-Expect-Instance: t1', self.stubs[1].asked[0])

    def test_a_leaving_instance_ends_connections_with_the_answer(self) -> None:
        self.start(stream(*EVENTS))
        self.ports.leaving.publish(True)
        self.assertIn(b'Connection: close', self.ask())

    def test_malformed_requests_are_refused(self) -> None:
        self.start(stream(*EVENTS))
        for text in (b'\x00\r\n\r\n', b'GET / HTTP/1.1\r\nHost: h\r\n\r\n'):
            sock = self.connect()
            sock.sendall(text)
            self.assertTrue(sock.recv(4096).startswith(b'HTTP/1.1 400'))


class InOrder(Dispatcher):
    """Prefers targets by their names, so that tests know which is asked."""

    def _find(self, asked: object) -> tuple:
        offers = super()._find(asked)
        return tuple(sorted(offers, key=lambda one: one.target.name))[:1]

"""Tests of streams from engines and calls to services over HTTP."""

import json
import socket
import threading
import time
import unittest
from collections.abc import Iterable
from contextlib import suppress

from returns.result import Failure, Success

from pomelogauge.engines.http_streams import HttpEngineStreams, StreamSettings
from pomelogauge.engines.protocols import EngineFault, StreamRequest, Token
from pomelogauge.model.ids import (
    Address,
    CallName,
    Epoch,
    NodeName,
    ReplicaId,
    RequestId,
)
from pomelogauge.model.request import Execution
from pomelogauge.services.http_calls import CallSettings, HttpServiceCalls
from pomelogauge.services.protocols import ServiceCallRequest
from pomelogauge.tasks.clock import MonotonicClock

NODE = NodeName('router-1')


def head(request: str = 'r-1', status: str = '200 OK') -> bytes:
    """Return the head of a chunked answer to a request."""
    return (
        f'HTTP/1.1 {status}\r\nTransfer-Encoding: chunked\r\n'
        f'X-Request-Id: {request}\r\nX-Incarnation: one\r\n\r\n'
    ).encode()


def chunk(text: bytes) -> bytes:
    """Return one chunk of a chunked body."""
    return f'{len(text):x}\r\n'.encode() + text + b'\r\n'


def token(index: int) -> bytes:
    """Return the chunk with the event of one token."""
    event = {'token': index, 'choices': [{'delta': {'content': f't{index}'}}]}
    return chunk(b'data: ' + json.dumps(event).encode() + b'\n\n')


#: End-of-stream event and end of the body.
DONE = chunk(b'data: [DONE]\n\n') + b'0\r\n\r\n'


class RawServer:
    """Server that sends prepared answers in order and counts connections.

    It closes a connection after an answer whose body has no end.
    """

    def __init__(self, answers: Iterable[bytes]) -> None:
        self.connections = 0
        self.heads: list[bytes] = []
        self._answers = list(answers)
        self._socket = socket.create_server(('127.0.0.1', 0))
        port = self._socket.getsockname()[1]
        self.address = Address(f'127.0.0.1:{port}')
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def close(self) -> None:
        self._socket.close()

    def _run(self) -> None:
        while self._answers:
            try:
                conn, _ = self._socket.accept()
            except OSError:
                return
            self.connections += 1
            with conn:
                self._serve(conn)

    def _serve(self, conn: socket.socket) -> None:
        while self._answers:
            received = b''
            while not received.endswith((b'{}', b'\r\n\r\n')):
                more = conn.recv(65536)
                if not more:
                    return
                received += more
            if b'\r\n\r\n' in received and not received.endswith(b'{}'):
                received += conn.recv(65536)
            self.heads.append(received)
            answer = self._answers.pop(0)
            conn.sendall(answer)
            if not answer.endswith(b'0\r\n\r\n'):
                return


class LateServer(RawServer):
    """Sends the same answer to each request and, after a pause, more bytes.

    ``is_late`` is set once they are sent.
    """

    def __init__(self, answer: bytes, late: bytes, pause_s: float) -> None:
        self.is_late = threading.Event()
        self._late = late
        self._pause_s = pause_s
        super().__init__([answer] * 9)

    def _run(self) -> None:
        for answer in self._answers:
            try:
                conn, _ = self._socket.accept()
            except OSError:
                return
            self.connections += 1
            threading.Thread(
                target=self._answer_each, args=(conn, answer), daemon=True
            ).start()

    def _answer_each(self, conn: socket.socket, answer: bytes) -> None:
        with conn, suppress(OSError):
            while conn.recv(65536):
                if self._pause_s:
                    conn.sendall(answer)
                    time.sleep(self._pause_s)
                    conn.sendall(self._late)
                else:
                    conn.sendall(answer + self._late)
                self.is_late.set()


class HttpStreamsTest(unittest.TestCase):
    """Incomplete and foreign answers fail and state what may have run."""

    def serve(self, *answers: bytes) -> RawServer:
        """Start a server with prepared answers."""
        server = RawServer(answers)
        self.addCleanup(server.close)
        return server

    def stream_request(self, resume_at: int = 0) -> StreamRequest:
        """Return a request for the tokens from an index."""
        return StreamRequest(
            RequestId('r-1'), ReplicaId('p'), Epoch(3), b'{}', resume_at
        )

    def streams(self) -> HttpEngineStreams:
        """Return a client with a connection pool of its own."""
        return HttpEngineStreams(
            StreamSettings(NODE, token_timeout_s=5), MonotonicClock()
        )

    def test_a_connection_is_reused_after_a_complete_answer(self) -> None:
        answer_bytes = head() + token(0) + token(1) + DONE
        server = self.serve(answer_bytes, answer_bytes)
        streams = self.streams()
        for _ in range(2):
            stream = streams.open(
                server.address, self.stream_request()
            ).unwrap()
            self.assertEqual(stream.incarnation, 'one')
            self.assertEqual(
                list(stream.tokens()),
                [Success(Token(0, 't0')), Success(Token(1, 't1'))],
            )
            stream.close(cancel=False)
        self.assertEqual(server.connections, 1)
        self.assertIn(b'X-Epoch: 3', server.heads[0])

    def test_what_follows_an_answer_reaches_no_other_request(self) -> None:
        """Guards against a late copy on a connection that is used again."""
        answer_bytes = head() + token(0) + DONE
        for late in (
            answer_bytes,
            b'HTTP/1.1 100 Continue\r\n\r\n',
            b'x',
        ):
            for pause_s in (0, 0.05):
                with self.subTest(late[:30], pause_s=pause_s):
                    self.check_late(answer_bytes, late, pause_s)

    def check_late(self, answer: bytes, late: bytes, pause_s: float) -> None:
        """Check three requests, each answered with late bytes after it."""
        server = LateServer(answer, late, pause_s)
        self.addCleanup(server.close)
        streams = self.streams()
        for _ in range(3):
            stream = streams.open(
                server.address, self.stream_request()
            ).unwrap()
            self.assertEqual(list(stream.tokens()), [Success(Token(0, 't0'))])
            stream.close(cancel=False)
            self.assertTrue(server.is_late.wait(2))
            server.is_late.clear()
        self.assertEqual(server.connections, 3)

    def test_an_interrupted_stream_closes_its_connection(self) -> None:
        answer_bytes = head() + token(0) + DONE
        server = self.serve(head() + token(0), answer_bytes)
        streams = self.streams()
        stream = streams.open(server.address, self.stream_request()).unwrap()
        first, last = stream.tokens()
        self.assertEqual(first, Success(Token(0, 't0')))
        self.assertEqual(last.failure().fault, EngineFault.INTERRUPTED)
        self.assertEqual(last.failure().execution, Execution.MAY_HAVE_RUN)
        stream.close(cancel=False)
        stream = streams.open(server.address, self.stream_request()).unwrap()
        self.assertEqual(len(list(stream.tokens())), 1)
        stream.close(cancel=False)
        self.assertEqual(server.connections, 2)

    def test_an_end_without_an_end_event_is_an_interruption(self) -> None:
        server = self.serve(head() + token(0) + b'0\r\n\r\n')
        stream = (
            self.streams().open(server.address, self.stream_request()).unwrap()
        )
        last = list(stream.tokens())[-1]
        self.assertEqual(last.failure().fault, EngineFault.INTERRUPTED)
        stream.close(cancel=False)

    def test_answers_to_other_requests_are_faults(self) -> None:
        server = self.serve(head('r-2') + token(0), head() + token(1))
        opened = self.streams().open(server.address, self.stream_request())
        self.assertEqual(opened.failure().fault, EngineFault.MISMATCHED)
        stream = (
            self.streams().open(server.address, self.stream_request()).unwrap()
        )
        (only,) = stream.tokens()
        self.assertEqual(only.failure().fault, EngineFault.MISMATCHED)
        stream.close(cancel=False)

    def test_a_failed_request_states_whether_it_may_have_run(self) -> None:
        closed = socket.create_server(('127.0.0.1', 0))
        refused = Address(f'127.0.0.1:{closed.getsockname()[1]}')
        closed.close()
        empty = b'HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n'
        overloaded = self.serve(empty).address
        interrupting = self.serve(b'').address
        cases = (
            (refused, EngineFault.UNREACHABLE, Execution.NOT_RUN),
            (overloaded, EngineFault.OVERLOADED, Execution.NOT_RUN),
            (interrupting, EngineFault.INTERRUPTED, Execution.MAY_HAVE_RUN),
        )
        for address, fault, execution in cases:
            with self.subTest(fault):
                opened = self.streams().open(address, self.stream_request())
                self.assertEqual(opened.failure().fault, fault)
                self.assertEqual(opened.failure().execution, execution)

    def test_a_call_is_sent_once_and_states_whether_it_ran(self) -> None:
        refusal = b'{"error":{"code":"refused"}}'
        cases = (
            (head() + chunk(b'{"run":1}') + b'0\r\n\r\n', None),
            (head('r-2') + chunk(b'1') + b'0\r\n\r\n', Execution.MAY_HAVE_RUN),
            (head() + chunk(b'{"ru'), Execution.MAY_HAVE_RUN),
            (b'', Execution.MAY_HAVE_RUN),
            (
                head('', '503 No') + chunk(refusal) + b'0\r\n\r\n',
                Execution.NOT_RUN,
            ),
            (
                head('', '503 No') + chunk(b'[]') + b'0\r\n\r\n',
                Execution.MAY_HAVE_RUN,
            ),
        )
        req = ServiceCallRequest(
            RequestId('r-1'), CallName('pay'), 'key', b'{}'
        )
        for answer, execution in cases:
            with self.subTest(answer):
                server = self.serve(answer)
                calls = HttpServiceCalls(CallSettings(NODE), MonotonicClock())
                outcome = calls.call(server.address, req)
                self.assertEqual(len(server.heads), 1)
                if execution is None:
                    self.assertEqual(outcome.unwrap().body, b'{"run":1}')
                else:
                    self.assertIsInstance(outcome, Failure)
                    self.assertEqual(outcome.failure().execution, execution)

    def test_a_call_interrupted_after_any_byte_may_have_run(self) -> None:
        req = ServiceCallRequest(
            RequestId('r-1'), CallName('pay'), 'key', b'{}'
        )
        calls = HttpServiceCalls(CallSettings(NODE), MonotonicClock())
        for size in (0, 1, 100_000):
            with socket.create_server(('127.0.0.1', 0)) as server:
                address = Address(f'127.0.0.1:{server.getsockname()[1]}')
                thread = threading.Thread(
                    target=self.read_and_close, args=(server, size)
                )
                thread.start()
                outcome = calls.call(address, req)
                thread.join(10)
            execution = outcome.failure().execution
            self.assertEqual(execution, Execution.MAY_HAVE_RUN)
        # The port is closed by now, so the connection is refused.
        refused = calls.call(address, req).failure()
        self.assertEqual(refused.execution, Execution.NOT_RUN)

    def read_and_close(self, server: socket.socket, size: int) -> None:
        """Accept a connection, read some bytes and close it."""
        conn, _ = server.accept()
        with conn:
            if size:
                conn.recv(size)

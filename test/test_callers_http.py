"""Tests of the router's HTTP interface over real connections."""

import http.client
import itertools
import json
import socket
import threading
import tracemalloc
import unittest
from contextlib import suppress

from returns.result import Success

from pomelogauge.charts.reader import load_chart
from pomelogauge.decide.access import access_of
from pomelogauge.decide.request_chart import REQUEST_WORDS
from pomelogauge.engines.protocols import Token
from pomelogauge.model.ids import Address, DeploymentName, InstanceName
from pomelogauge.model.phase import NodePhase
from pomelogauge.model.request import (
    Refusal,
    RefusalCode,
    ServiceSlot,
    Slot,
)
from pomelogauge.services.ledger import PassThroughLedger
from pomelogauge.services.protocols import ServiceAnswer
from pomelogauge.tasks.caller_task import CallerParts, CallerSettings
from pomelogauge.tasks.caller_watch import CallerWatch
from pomelogauge.tasks.canceller import CancelRequest
from pomelogauge.tasks.messages import (
    RequestServiceSlot,
    RequestSlot,
    RouterAddresses,
    RouterAddressesRequested,
    WithdrawRequest,
)
from pomelogauge.tasks.published import Published
from pomelogauge.tasks.router_state import RouterState
from pomelogauge.tasks.service_call_task import ServiceCallParts
from pomelogauge.wire.callers_http import AppParts, AppSettings, CallersApp
from pomelogauge.wire.callers_server import CallersServer, ServerSettings

from .router_fixtures import KEY, FakeClock, configuration, request, view
from .test_caller_task import FakeStream

REQUEST_CHART = load_chart('caller_request', REQUEST_WORDS)
CHAT = '/v1/chat/completions'
BODY = {'model': 'm', 'messages': [{'role': 'user', 'content': 'hi'}]}


class GatedStream(FakeStream):
    """Pauses after its first token until the test opens the gate."""

    def __init__(self, ask) -> None:
        super().__init__(ask, -1)
        self.gate = threading.Event()
        self.closed = threading.Event()

    def tokens(self):
        for received in super().tokens():
            yield received
            self.gate.wait(10)

    def close(self, *, cancel: bool) -> bool:
        is_stopped = super().close(cancel=cancel)
        self.closed.set()
        return is_stopped


class EndlessStream(GatedStream):
    """Sends 10 kB tokens without end once its gate is open."""

    sent_bytes = 0

    def tokens(self):
        for index in itertools.count():
            self.sent_bytes += 10000
            yield Success(Token(index, 'x' * 10000))
            self.gate.wait(10)


class FakeBackend:
    """Stands in for all tasks behind the interface and answers at once."""

    def __init__(self) -> None:
        self.refusal: Refusal | None = None
        self.fails_at = -1
        self.make_stream = None
        self.streams: list[FakeStream] = []
        self.no_slot = False
        self.forgotten = threading.Event()
        self.opened = threading.Event()
        self.cancelled = threading.Event()

    def post(self, message) -> None:
        if isinstance(message, WithdrawRequest):
            self.forgotten.set()
        if isinstance(message, CancelRequest):
            self.cancelled.set()
            self.streams[-1].gate.set()
        if isinstance(message, RequestSlot) and not self.no_slot:
            message.reply.post(self.refusal or self._slot())
        if isinstance(message, RequestServiceSlot):
            slot = ServiceSlot(
                message.request.request, InstanceName('b'), Address('b:1')
            )
            message.reply.post(slot)
        if isinstance(message, RouterAddressesRequested):
            message.reply.post(RouterAddresses((Address('a:1'),), 3))

    def open(self, address, ask):
        make = self.make_stream
        stream = make(ask) if make else FakeStream(ask, self.fails_at)
        self.streams.append(stream)
        self.opened.set()
        return Success(stream)

    def call(self, address, ask):
        return Success(ServiceAnswer(200, ask.body))

    def text(self) -> str:
        return 'up 1\n'

    def _slot(self) -> Slot:
        return Slot(
            request().request,
            DeploymentName('quotes'),
            view(),
            Address('p-1:1'),
        )


class CallersHttpTest(unittest.TestCase):
    """Guards against requests that block, end or outlive worker threads."""

    def setUp(self) -> None:
        self.backend = FakeBackend()
        self.watch = CallerWatch()
        self.watch.start()
        self.addCleanup(self.watch.stop)
        clock = FakeClock()
        state = RouterState(access_of(configuration()), NodePhase.READY)
        parts = AppParts(
            AppSettings(max_body_bytes=1000),
            Published(state),
            CallerParts(
                CallerSettings(max_tries=1),
                clock,
                self.backend,
                self.backend,
                REQUEST_CHART,
                self.backend,
                self.backend,
            ),
            ServiceCallParts(
                clock,
                self.backend,
                self.backend,
                PassThroughLedger(),
                self.backend,
                self.backend,
            ),
            self.backend,
            self.backend,
            self.watch,
        )
        settings = ServerSettings(
            threads=2, idle_timeout_s=5, header_limit_s=2, body_limit_s=2
        )
        self.server = CallersServer(settings)
        self.port = self.server.bind('127.0.0.1', 0)
        self.server.serve(CallersApp(parts))
        self.addCleanup(self.server.stop)

    def send(self, method, path, body=None, key=KEY, **headers):
        """Send a request and return the response and its body."""
        conn = http.client.HTTPConnection('127.0.0.1', self.port, timeout=10)
        self.addCleanup(conn.close)
        if not isinstance(body, (bytes, type(None))):
            body = json.dumps(body).encode()
        headers['Authorization'] = f'Bearer {key}'
        names = {name.replace('_', '-'): headers[name] for name in headers}
        conn.request(method, path, body, names)
        resp = conn.getresponse()
        return resp, resp.read()

    def code(self, *args, **more) -> tuple[int, str]:
        """Send a request that is refused; return its status and code."""
        resp, text = self.send(*args, **more)
        error = json.loads(text)['error']
        self.assertEqual(resp.headers['X-Request-Id'], error['request_id'])
        return resp.status, error['code']

    def test_stream_has_all_tokens_and_ends_with_done(self) -> None:
        resp, text = self.send('POST', CHAT, {**BODY, 'stream': True})
        events = text.decode().strip().split('\n\n')
        self.assertEqual(resp.headers['Content-Type'], 'text/event-stream')
        self.assertEqual(events[-1], 'data: [DONE]')
        chunks = [json.loads(event[6:]) for event in events[:-1]]
        self.assertEqual(chunks[0]['choices'][0]['delta']['content'], 't0')
        self.assertEqual(chunks[0]['id'], resp.headers['X-Request-Id'])
        self.assertEqual(len(chunks), 6)

    def test_failed_stream_ends_with_an_error_event(self) -> None:
        self.backend.fails_at = 2
        _, text = self.send('POST', CHAT, {**BODY, 'stream': True})
        self.assertNotIn(b'[DONE]', text)
        last = json.loads(text.decode().strip().split('\n\n')[-1][6:])
        self.assertEqual(last['error']['execution'], 'may_have_run')

    def test_unstreamed_answer_is_one_document_or_a_refusal(self) -> None:
        _, text = self.send('POST', CHAT, BODY)
        message = json.loads(text)['choices'][0]['message']
        self.assertEqual(message['content'], 't0t1t2t3t4')
        self.backend.fails_at = 2
        refused = self.code('POST', CHAT, BODY)
        self.assertEqual(refused, (502, 'target_lost'))

    def test_retry_after_is_rounded_up(self) -> None:
        self.backend.refusal = Refusal(
            RefusalCode.OVER_LIMIT, 'many', retry_after_s=1.5
        )
        resp, _ = self.send('POST', CHAT, {**BODY, 'stream': True})
        self.assertEqual(resp.status, 429)
        self.assertEqual(resp.headers['Retry-After'], '2')

    def test_malformed_requests_are_refused_and_serving_goes_on(self) -> None:
        pay = '/v1/services/books/pay'
        chunks = {'Transfer_Encoding': 'chunked'}
        cases = (
            (('POST', CHAT, b'{'), {}, (400, 'malformed_request')),
            (('POST', CHAT, b'[' * 900), {}, (400, 'malformed_request')),
            (('POST', CHAT, b'\xff'), {}, (400, 'malformed_request')),
            (('POST', CHAT, []), {}, (400, 'malformed_request')),
            (('POST', CHAT, {'model': 3}), {}, (400, 'malformed_request')),
            (
                ('POST', CHAT, {'model': 'm', 'messages': 'x'}),
                {},
                (400, 'malformed_request'),
            ),
            (('POST', CHAT, b' ' * 1001), {}, (413, 'body_too_large')),
            (
                ('POST', CHAT, b'fff\r\n' + b' ' * 4095 + b'\r\n0\r\n\r\n'),
                chunks,
                (413, 'body_too_large'),
            ),
            (('POST', CHAT, b'zz\r\n'), chunks, (400, 'malformed_request')),
            (('POST', CHAT, BODY), {'key': 'no'}, (401, 'unknown_key')),
            (('GET', '/nowhere'), {}, (404, 'unknown_call')),
            (('POST', pay, {}), {}, (400, 'idempotency_key_missing')),
            (
                ('POST', '/v1/services/books/no', {}),
                {},
                (404, 'unknown_call'),
            ),
            (
                ('POST', '/v1/services/no/pay', {}),
                {},
                (404, 'unknown_service'),
            ),
        )
        for args, more, expected in cases:
            with self.subTest(args[1:], more=more):
                self.assertEqual(self.code(*args, **more), expected)
        self.assertEqual(self.send('GET', '/healthz')[0].status, 200)

    def test_bytes_that_are_no_request_do_not_end_worker_threads(self) -> None:
        for sent in (b'\0\0\r\n\r\n', b'POST / HTTP/1.1\r\nContent-Length: x'):
            for _ in range(3):
                address = ('127.0.0.1', self.port)
                with socket.create_connection(address, 10) as conn:
                    conn.sendall(sent)
        resp, text = self.send('GET', '/readyz')
        self.assertEqual((resp.status, text), (200, b'ready\n'))

    def begin_stream(self) -> http.client.HTTPResponse:
        """Start a stream and return it after its first token."""
        conn = http.client.HTTPConnection('127.0.0.1', self.port, timeout=10)
        self.addCleanup(conn.close)
        body = json.dumps({**BODY, 'stream': True})
        conn.request('POST', CHAT, body, {'Authorization': f'Bearer {KEY}'})
        resp = conn.getresponse()
        self.assertIn(b'"t0"', resp.readline())
        return resp

    def test_graceful_stop_waits_for_running_streams(self) -> None:
        self.backend.make_stream = GatedStream
        resp = self.begin_stream()
        stopping = threading.Thread(target=self.server.stop)
        stopping.start()
        self.backend.streams[0].gate.set()
        self.assertTrue(resp.read().endswith(b'data: [DONE]\n\n'))
        stopping.join(10)
        self.assertFalse(stopping.is_alive())

    def test_disconnection_during_a_stream_cancels_the_engine(self) -> None:
        self.backend.make_stream = EndlessStream
        address = ('127.0.0.1', self.port)
        body = json.dumps({**BODY, 'stream': True})
        with socket.create_connection(address, 10) as conn:
            conn.sendall(
                f'POST {CHAT} HTTP/1.1\r\nHost: x\r\n'
                f'Authorization: Bearer {KEY}\r\n'
                f'Content-Length: {len(body)}\r\n\r\n{body}'.encode()
            )
            self.assertIn(b'200 OK', conn.recv(1000))
        stream = self.backend.streams[0]
        stream.gate.set()
        self.assertTrue(stream.closed.wait(10))
        self.assertTrue(stream.cancelled)

    def connect(self, sent: bytes) -> socket.socket:
        """Open a connection and send some bytes on it."""
        conn = socket.create_connection(('127.0.0.1', self.port), 10)
        self.addCleanup(conn.close)
        conn.sendall(sent)
        return conn

    def chat_bytes(self, **more) -> bytes:
        """Return a complete chat request as sent on a connection."""
        body = json.dumps({**BODY, **more})
        return (
            f'POST {CHAT} HTTP/1.1\r\nHost: x\r\n'
            f'Authorization: Bearer {KEY}\r\n'
            f'Content-Length: {len(body)}\r\n\r\n{body}'
        ).encode()

    def test_disconnection_in_the_queue_drops_the_request(self) -> None:
        self.backend.no_slot = True
        self.connect(self.chat_bytes()).close()
        self.assertTrue(self.backend.forgotten.wait(10))

    def test_disconnection_before_an_unstreamed_answer_cancels(self) -> None:
        self.backend.make_stream = GatedStream
        conn = self.connect(self.chat_bytes())
        self.assertTrue(self.backend.opened.wait(10))
        # Unread bytes of a next request must not hide the disconnection.
        conn.sendall(b'GET /healthz HTTP/1.1\r\n')
        conn.close()
        self.assertTrue(self.backend.cancelled.wait(10))

    def test_slow_reader_slows_the_engine_and_is_disconnected(self) -> None:
        self.backend.make_stream = EndlessStream
        self.connect(self.chat_bytes(stream=True))
        self.assertTrue(self.backend.opened.wait(10))
        stream = self.backend.streams[0]
        stream.gate.set()
        # The server ends the connection after its idle timeout.
        self.assertTrue(stream.closed.wait(20))
        self.assertLess(stream.sent_bytes, 20_000_000)

    def test_connections_without_a_byte_occupy_no_thread(self) -> None:
        for _ in range(50):
            self.connect(b'')
        self.assertEqual(self.send('GET', '/healthz')[0].status, 200)

    def test_headers_and_bodies_sent_too_slowly_are_ended(self) -> None:
        head = b'POST /v1/models HTTP/1.1\r\nContent-Length: 99\r\n\r\n'
        for first in (b'GET / HTTP/1.1\r\nA: ', head):
            with self.subTest(first):
                conn = self.connect(first)
                conn.settimeout(0.2)
                self.assertTrue(self.is_ended(conn))

    def is_ended(self, conn: socket.socket) -> bool:
        """Send a byte each 0.2 s; return whether the server ended it."""
        for _ in range(50):
            try:
                conn.sendall(b'x')
                received = conn.recv(1000)
            except TimeoutError:
                continue
            except OSError:
                return True
            return not received or b'408' in received or b'400' in received
        return False

    def test_headers_and_bodies_beyond_the_limits_get_413(self) -> None:
        huge = b'GET / HTTP/1.1\r\nA: ' + b'x' * 40_000
        body = b'POST / HTTP/1.1\r\nContent-Length: 999999999\r\n\r\n'
        for sent in (huge, body):
            with self.subTest(sent[:20]):
                received = self.connect(sent).recv(1000)
                self.assertIn(b'413', received.split(b'\r\n')[0])

    def test_lines_of_chunks_without_end_are_refused(self) -> None:
        """Guards against a chunk's size or extension that fills the memory."""
        start = (
            b'POST %s HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n'
            b'\r\n' % CHAT.encode()
        )
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        for line in (b'0' * 65536, b'1;' + b'x' * 65536):
            with self.subTest(line[:2]):
                tracemalloc.reset_peak()
                before = tracemalloc.get_traced_memory()[0]
                conn = self.connect(start + line)
                with suppress(OSError):
                    for _ in range(160):
                        conn.sendall(line[2:])
                grown = tracemalloc.get_traced_memory()[1] - before
                self.assertLess(grown, 2_000_000)
                with suppress(ConnectionError):
                    self.assertIn(b' 400 ', conn.recv(1000))

    def test_garbage_after_a_request_ends_only_its_connection(self) -> None:
        conn = self.connect(
            b'GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n\0garbage\r\n\r\n'
        )
        received = b''
        while part := conn.recv(1000):
            received += part
        self.assertTrue(received.startswith(b'HTTP/1.1 200'))
        self.assertEqual(received.count(b'HTTP/1.1 400'), 1)
        self.assertEqual(self.send('GET', '/healthz')[0].status, 200)

    def test_answers_addresses_models_metrics_and_service_calls(self) -> None:
        _, text = self.send('GET', '/v1/entry')
        self.assertEqual(json.loads(text), {'addresses': ['a:1'], 'ttl_s': 3})
        _, text = self.send('GET', '/v1/models')
        names = [model['id'] for model in json.loads(text)['data']]
        self.assertEqual(names, ['m', 'm:a'])
        self.assertEqual(self.send('GET', '/metrics')[1], b'up 1\n')
        path = '/v1/services/books/pay'
        _, text = self.send('POST', path, {'sum': 3}, Idempotency_Key='k')
        self.assertEqual(json.loads(text), {'sum': 3})

"""Tests of orders to engines and their status reports over HTTP."""

import json
import threading
import unittest
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

from pomelogauge.engines.http_control import HttpEngineControl
from pomelogauge.engines.protocols import EngineFault, LoadOrder, UnloadOrder
from pomelogauge.model.ids import Address, Epoch, NodeName, ReplicaId
from pomelogauge.model.placement import EngineState

from .test_rows import REPLICA

STATUS = {
    'instance': 'e1',
    'incarnation': 'i1',
    'state': 'ready',
    'replica': 'quotes#0.x',
    'epoch': 3,
    'rank': 0,
    'load': {
        'running': 1,
        'completed': 2,
        'bearable': 3,
        'capacity': 4,
        'age_s': 0.5,
    },
}


class Engine(BaseHTTPRequestHandler):
    """Engine that accepts loads, refuses unloads and reports a fixed status.

    The client ``odd`` gets a report without fields.
    """

    orders: list[dict[str, object]] = []

    def do_GET(self) -> None:
        body = b'{}' if self.headers['X-Client'] == 'odd' else None
        self.answer(200, body or json.dumps(STATUS).encode())

    def do_POST(self) -> None:
        length = int(self.headers['Content-Length'])
        order = json.loads(self.rfile.read(length))
        self.orders.append(order)
        refused = order['kind'] == 'unload'
        self.answer(409 if refused else 202, json.dumps(STATUS).encode())

    def answer(self, code: int, body: bytes) -> None:
        """Send a response with a body."""
        self.send_response(code)
        self.send_header('Content-Length', str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *args: object) -> None:
        """Write no access log."""


class HttpControlTest(unittest.TestCase):
    """Statuses and connection errors map to the right engine faults."""

    def setUp(self) -> None:
        self.server = ThreadingHTTPServer(('127.0.0.1', 0), Engine)
        thread = threading.Thread(target=self.server.serve_forever)
        thread.start()
        self.addCleanup(thread.join)
        self.addCleanup(self.server.server_close)
        self.addCleanup(self.server.shutdown)
        self.address = Address(f'127.0.0.1:{self.server.server_port}')
        self.control = self.open('n')

    def open(self, node: str) -> HttpEngineControl:
        """Open a control client under a node name."""
        control = HttpEngineControl(NodeName(node), 5)
        self.addCleanup(control.close)
        return control

    def test_reads_a_status_report(self) -> None:
        status = self.control.status(self.address).unwrap()
        self.assertEqual(status.state, EngineState.READY)
        self.assertEqual((status.running, status.capacity), (1, 4))

    def test_sends_a_load_order_with_its_epoch_and_members(self) -> None:
        order = LoadOrder('o1', REPLICA, 0, 'm', '1', ('x',))
        self.control.load(self.address, order).unwrap()
        sent = Engine.orders[-1]
        self.assertEqual((sent['kind'], sent['epoch']), ('load', 3))
        self.assertEqual(
            sent['members'],
            [{'instance': 'e1', 'address': '127.0.0.1:1', 'rank': 0}],
        )

    def test_a_refused_epoch_is_a_fault_of_its_own(self) -> None:
        order = UnloadOrder('o2', ReplicaId('quotes#0.x'), Epoch(1))
        refused = self.control.unload(self.address, order).failure()
        self.assertEqual(refused.fault, EngineFault.STALE_EPOCH)

    def test_a_malformed_report_is_a_refusal(self) -> None:
        refused = self.open('odd').status(self.address).failure()
        self.assertEqual(refused.fault, EngineFault.REFUSED)

    def test_a_refused_connection_is_unreachable(self) -> None:
        refused = self.control.status(Address('127.0.0.1:1')).failure()
        self.assertEqual(refused.fault, EngineFault.UNREACHABLE)

"""Tests of non-idempotent calls over real processes that fail."""

import http.client
import json
import tempfile
import threading
import time
import unittest
from pathlib import Path

from pomelogauge.lab.cluster import Cluster, ClusterSpec
from pomelogauge.lab.demo import publish
from pomelogauge.lab.manifests import caller_key, manifest_for, manifest_text
from pomelogauge.lab.standin_control import StandinMode
from pomelogauge.model.topology import InstanceRole

SPEC = ClusterSpec(domains=0, routers=3, controllers=0, services=2)
KEY = caller_key('organisation-0')
LIMIT_S = 20


class AtMostOnceTest(unittest.TestCase):
    """Guards against calls that run twice or whose outcome is misreported.

    Connections are cut before and after the run, the store fails or loses an
    answer, and a router is killed between the intent and the outcome.
    """

    @classmethod
    def setUpClass(cls) -> None:
        folder = tempfile.TemporaryDirectory(prefix='pomelogauge-')
        cls.addClassCleanup(folder.cleanup)
        cls.cluster = Cluster(SPEC, Path(folder.name))
        cls.addClassCleanup(cls.cluster.end)
        cls.cluster.start_targets()
        text = manifest_text(manifest_for(SPEC))
        publish(cls.cluster, Path(folder.name), text)
        cls.cluster.start_entries()
        cls.routers = cls.cluster.addresses(InstanceRole.ROUTER)
        for address in cls.routers:
            cls.await_call(address)

    @classmethod
    def await_call(cls, address: str) -> None:
        """Wait until a router serves idempotent calls."""
        give_up_s = time.monotonic() + LIMIT_S
        while cls.send(address, 'status', '')[0] != 200:
            assert time.monotonic() < give_up_s, f'{address} serves nothing'
            time.sleep(0.1)

    @classmethod
    def send(cls, address, call, key, body='{}', method='POST'):
        """Send one call and return its status and its decoded body."""
        conn = http.client.HTTPConnection(address, timeout=LIMIT_S)
        path = f'/v1/services/booking/{call}'
        headers = {'Authorization': f'Bearer {KEY}', 'Idempotency-Key': key}
        if method == 'GET':
            path = f'/v1/{call}'
        try:
            conn.request(method, path, body, headers)
            resp = conn.getresponse()
            return resp.status, json.loads(resp.read())
        finally:
            conn.close()

    def setUp(self) -> None:
        self.addCleanup(self.set_services, 'up')
        self.addCleanup(self.set_platform, 'up')

    def services(self):
        """Return the addresses of the instances of the service."""
        return self.cluster.addresses(InstanceRole.SERVICE)

    def set_services(self, mode: str, **more) -> None:
        """Set the mode in which all instances answer."""
        for address in self.services():
            self.cluster.control.set_mode(address, StandinMode(mode, **more))

    def set_platform(self, mode: str, **more) -> None:
        """Set the mode in which the store answers."""
        address = self.cluster.platform
        self.cluster.control.set_mode(address, StandinMode(mode, **more))

    def runs(self, key: str) -> int:
        """Count the runs of a key at all instances."""
        records = map(self.cluster.control.record, self.services())
        return sum(
            run['count']
            for record in records
            for run in record['runs']
            if run['key'] == key
        )

    def await_stored_answer(self, address: str, key: str) -> dict:
        """Send the call again until the stored answer is returned."""
        give_up_s = time.monotonic() + LIMIT_S
        while True:
            status, answer = self.send(address, 'book', key)
            if status == 200:
                return answer
            assert time.monotonic() < give_up_s, answer
            time.sleep(0.05)

    def refusal(self, answered) -> tuple[str, str]:
        """Return the code and the execution that a refusal states."""
        error = answered[1]['error']
        return error['code'], error['execution']

    def test_repeated_call_at_another_router_gets_the_same_answer(self) -> None:
        first = self.send(self.routers[0], 'book', 'same')[1]
        self.assertEqual(
            self.await_stored_answer(self.routers[1], 'same'), first
        )
        self.assertEqual(self.runs('same'), 1)

    def test_call_cut_before_or_after_its_run_is_not_run_again(self) -> None:
        for mode, runs in (('cut_before', 0), ('cut_after', 1)):
            with self.subTest(mode):
                self.set_services(mode, count=100)
                cut = self.send(self.routers[0], 'book', mode)
                self.assertEqual(
                    self.refusal(cut), ('target_lost', 'may_have_run')
                )
                self.set_services('up')
                again = self.send(self.routers[1], 'book', mode)
                self.assertEqual(
                    self.refusal(again),
                    ('call_outcome_unknown', 'may_have_run'),
                )
                self.assertEqual(self.runs(mode), runs)

    def test_call_refused_by_the_service_may_be_sent_again(self) -> None:
        self.set_services('refuse', count=100)
        refused = self.send(self.routers[0], 'book', 'refused')
        self.assertEqual(self.refusal(refused)[1], 'not_run')
        self.assertEqual(self.runs('refused'), 0)
        self.set_services('up')
        status, _ = self.send(self.routers[1], 'book', 'refused')
        self.assertEqual((status, self.runs('refused')), (200, 1))

    def test_metrics_count_calls_and_refusals(self) -> None:
        self.send(self.routers[0], 'book', 'counted')
        self.send(self.routers[0], 'book', 'counted', '{"other": 1}')
        conn = http.client.HTTPConnection(self.routers[0], timeout=LIMIT_S)
        self.addCleanup(conn.close)
        conn.request('GET', '/metrics')
        text = conn.getresponse().read().decode()
        for name in (
            'pomelogauge_requests_served_total{label="organisation-0"}',
            'pomelogauge_requests_refused_total'
            '{label="idempotency_key_reused"}',
            'pomelogauge_service_call_seconds_count',
        ):
            self.assertIn(name, text)

    def test_call_runs_once_when_the_answer_to_its_intent_is_lost(self) -> None:
        self.set_platform('lose_answer', count=1, table='intents')
        status, _ = self.send(self.routers[0], 'book', 'lost')
        self.assertEqual((status, self.runs('lost')), (200, 1))
        self.await_stored_answer(self.routers[1], 'lost')
        self.assertEqual(self.runs('lost'), 1)

    def test_minted_key_runs_once_while_the_store_is_down(self) -> None:
        minted = self.send(
            self.routers[0], 'idempotency-key', '', method='GET'
        )[1]['key']
        self.set_platform('down')
        refused = self.send(self.routers[0], 'book', 'own')
        self.assertEqual(
            self.refusal(refused), ('store_unavailable', 'not_run')
        )
        for _ in range(2):
            status, _ = self.send(self.routers[0], 'book', minted)
            self.assertEqual(status, 200)
        elsewhere = self.send(self.routers[1], 'book', minted)
        self.assertEqual(self.refusal(elsewhere)[1], 'may_have_run')
        self.set_platform('up')
        self.await_stored_answer(self.routers[1], minted)
        self.assertEqual((self.runs('own'), self.runs(minted)), (0, 1))

    def test_call_is_not_run_again_after_its_router_was_killed(self) -> None:
        started = self.cluster.start_entry(InstanceRole.ROUTER, 'north', 9)
        self.cluster.await_and_list(started)
        (ready,) = started.process.ready
        self.await_call(ready.address)
        self.set_services('slow', delay_s=5, count=100)
        caller = threading.Thread(
            target=self.send_and_lose, args=(ready.address, 'killed')
        )
        caller.start()
        give_up_s = time.monotonic() + LIMIT_S
        while not self.runs('killed') and time.monotonic() < give_up_s:
            time.sleep(0.02)
        started.process.kill()
        caller.join(LIMIT_S)
        self.set_services('up')
        for address in self.routers:
            again = self.send(address, 'book', 'killed')
            self.assertEqual(
                self.refusal(again), ('call_outcome_unknown', 'may_have_run')
            )
        self.assertEqual(self.runs('killed'), 1)

    def send_and_lose(self, address: str, key: str) -> None:
        """Send a call whose router is killed before it answers."""
        with self.assertRaises((OSError, http.client.HTTPException)):
            self.send(address, 'book', key)

"""Tests of the service stand-in: run counts and fault modes."""

import unittest
from typing import Any

import urllib3

from pomelogauge.standins.service import (
    ServiceStandin,
    ServiceStandinSettings,
)

from .test_http_platform import control


class ServiceStandinTest(unittest.TestCase):
    """Guards that each fault mode runs a call exactly as often as stated."""

    def setUp(self) -> None:
        self.standin = ServiceStandin(ServiceStandinSettings())
        self.standin.start()
        self.addCleanup(self.standin.stop)
        self.address = self.standin.address

    def call(self, request: str, key: str = 'k1') -> urllib3.BaseHTTPResponse:
        return urllib3.request(
            'POST',
            f'http://{self.address}/v1/calls/pay',
            json={'sum': 3},
            headers={
                'X-Request-Id': request,
                'Idempotency-Key': key,
                'X-Client': 'router-1',
            },
            retries=False,
            timeout=5,
        )

    def set_mode(self, mode: str, **fields: Any) -> None:
        control(self.address, 'PUT', 'mode', mode=mode, **fields)

    def counts(self) -> list[tuple[str, int]]:
        """Return key and number of runs of each recorded call."""
        runs = control(self.address, 'GET', 'record')['runs']
        return [(run['key'], run['count']) for run in runs]

    def assert_cut(self) -> None:
        """Check that a call gets no response."""
        with self.assertRaises(urllib3.exceptions.HTTPError):
            self.call('q9')

    def test_counts_runs_by_key(self) -> None:
        answer = self.call('q1')
        self.assertEqual(answer.headers['X-Request-Id'], 'q1')
        self.assertEqual(answer.json()['echo'], {'sum': 3})
        self.assertEqual(self.call('q2').json()['run'], 2)
        self.call('q3', 'k2')
        self.assertEqual(self.counts(), [('k1', 2), ('k2', 1)])

    def test_drops_the_connection_before_or_after_the_run(self) -> None:
        self.set_mode('cut_before', count=1)
        self.assert_cut()
        self.assertEqual(self.counts(), [])
        self.set_mode('cut_after', count=1)
        self.assert_cut()
        self.assertEqual(self.counts(), [('k1', 1)])
        self.assertEqual(self.call('q2').json()['run'], 2)

    def test_refused_calls_are_not_run(self) -> None:
        self.set_mode('refuse')
        self.assertEqual(self.call('q1').status, 503)
        self.assertEqual(self.counts(), [])

    def test_drops_calls_of_a_blocked_client(self) -> None:
        control(self.address, 'PUT', 'cuts', clients=['router-1'])
        self.assert_cut()
        self.assertEqual(self.counts(), [])

    def test_slow_call_succeeds_and_stops_running(self) -> None:
        self.set_mode('slow', delay_s=0.1)
        self.assertEqual(self.call('q1').status, 200)
        status = urllib3.request('GET', f'http://{self.address}/v1/status')
        self.assertEqual(status.json()['running'], 0)

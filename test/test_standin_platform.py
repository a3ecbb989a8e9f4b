"""Tests of the platform stand-in together with its client."""

import unittest
from typing import Any

import urllib3

from pomelogauge.standins.platform import (
    PlatformStandin,
    PlatformStandinSettings,
)
from pomelogauge.tables.http_platform import HttpPlatform

from .test_http_platform import KEY, control, insert

ENGINE = {
    'name': 'e1',
    'role': 'engine',
    'address': '127.0.0.1:9',
    'data_centre': 'k1',
}


class PlatformStandinTest(unittest.TestCase):
    """Guards the lag, the counts and the fault modes over HTTP."""

    def start(self, **settings: Any) -> PlatformStandin:
        standin = PlatformStandin(PlatformStandinSettings(**settings))
        standin.start()
        self.addCleanup(standin.stop)
        return standin

    def test_lists_instances(self) -> None:
        standin = self.start(list_lag_s=0)
        platform = HttpPlatform(standin.address, 'router-1', 5)
        control(standin.address, 'PUT', 'instances', instances=[ENGINE])
        control(standin.address, 'PUT', 'instances/e1/leaving')
        (listed,) = platform.instances().unwrap()
        self.assertEqual((listed.name, listed.leaving), ('e1', True))
        control(standin.address, 'DELETE', 'instances/e1')
        self.assertEqual(platform.instances().unwrap(), ())

    def test_instance_list_lags(self) -> None:
        standin = self.start(list_lag_s=60)
        platform = HttpPlatform(standin.address, 'router-1', 5)
        control(standin.address, 'PUT', 'instances', instances=[ENGINE])
        self.assertEqual(platform.instances().unwrap(), ())

    def test_counts_reads_writes_and_conflicts(self) -> None:
        standin = self.start()
        platform = HttpPlatform(standin.address, 'router-1', 5)
        platform.commit(insert('t1'))
        platform.commit(insert('t2'))
        platform.read(KEY)
        stats = control(standin.address, 'GET', 'stats')
        counts = (stats['reads'], stats['writes'], stats['conflicts'])
        self.assertEqual(counts, (1, 2, 1))

    def test_hanging_calls_do_not_occupy_worker_threads(self) -> None:
        standin = self.start(threads=2)
        control(standin.address, 'PUT', 'mode', mode='hang')
        platform = HttpPlatform(standin.address, 'router-1', 0.05)
        for _ in range(4):
            platform.read(KEY)
        control(standin.address, 'PUT', 'mode', mode='up')
        long_timeout = HttpPlatform(standin.address, 'router-1', 5)
        self.assertIsNone(long_timeout.read(KEY).unwrap())

    def test_slow_mode_delays_responses(self) -> None:
        standin = self.start()
        control(standin.address, 'PUT', 'mode', mode='slow', delay_s=0.2)
        platform = HttpPlatform(standin.address, 'router-1', 5)
        self.assertIsNone(platform.read(KEY).unwrap())
        short_timeout = HttpPlatform(standin.address, 'router-1', 0.05)
        self.assertTrue(short_timeout.read(KEY).failure())

    def test_refuses_a_malformed_body(self) -> None:
        standin = self.start()
        answer = urllib3.request(
            'POST', f'http://{standin.address}/v1/transactions', body=b'{}'
        )
        self.assertEqual(answer.status, 400)

"""Tests of the platform's stand-in beside its client."""

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

    def test_list_lags(self) -> None:
        standin = self.start(list_lag_s=60)
        platform = HttpPlatform(standin.address, 'router-1', 5)
        control(standin.address, 'PUT', 'instances', instances=[ENGINE])
        self.assertEqual(platform.instances().unwrap(), ())

    def test_counts_calls(self) -> None:
        standin = self.start()
        platform = HttpPlatform(standin.address, 'router-1', 5)
        platform.commit(insert('t1'))
        platform.commit(insert('t2'))
        platform.read(KEY)
        stats = control(standin.address, 'GET', 'stats')
        counts = (stats['reads'], stats['writes'], stats['conflicts'])
        self.assertEqual(counts, (1, 2, 1))

    def test_answers_control_calls_while_all_calls_hang(self) -> None:
        standin = self.start(threads=2)
        control(standin.address, 'PUT', 'mode', mode='hang')
        platform = HttpPlatform(standin.address, 'router-1', 0.05)
        for _ in range(4):
            platform.read(KEY)
        control(standin.address, 'PUT', 'mode', mode='up')
        patient = HttpPlatform(standin.address, 'router-1', 5)
        self.assertIsNone(patient.read(KEY).unwrap())

    def test_slow_calls_are_answered_late(self) -> None:
        standin = self.start()
        control(standin.address, 'PUT', 'mode', mode='slow', delay_s=0.2)
        platform = HttpPlatform(standin.address, 'router-1', 5)
        self.assertIsNone(platform.read(KEY).unwrap())
        hasty = HttpPlatform(standin.address, 'router-1', 0.05)
        self.assertTrue(hasty.read(KEY).failure())

    def test_refuses_what_it_cannot_read(self) -> None:
        standin = self.start()
        answer = urllib3.request(
            'POST', f'http://{standin.address}/v1/transactions', body=b'{}'
        )
        self.assertEqual(answer.status, 400)

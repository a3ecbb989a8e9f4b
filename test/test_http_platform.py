"""Tests of the platform's client against the stand-in."""

import json
import unittest
from typing import Any

import urllib3
from returns.result import Result

from pomelogauge.model.ids import ABSENT_ROW, Address, RowVersion
from pomelogauge.standins.platform import (
    PlatformStandin,
    PlatformStandinSettings,
)
from pomelogauge.tables.http_platform import HttpPlatform
from pomelogauge.tables.protocols import (
    Condition,
    PlatformError,
    PlatformFault,
    RowKey,
    Transaction,
    Write,
)

KEY = RowKey('leases', 'klang/a 1')


def control(address: str, method: str, path: str, **fields: Any) -> Any:
    answer = urllib3.request(
        method, f'http://{address}/control/{path}', json=fields
    )
    return json.loads(answer.data or b'null')


def insert(name: str, version: int = ABSENT_ROW) -> Transaction:
    condition = Condition(KEY, RowVersion(version))
    return Transaction(name, (condition,), (Write(KEY, name),))


def fault(outcome: Result[Any, PlatformError]) -> PlatformFault:
    return outcome.failure().fault


class HttpPlatformTest(unittest.TestCase):
    def setUp(self) -> None:
        self.standin = PlatformStandin(PlatformStandinSettings(list_lag_s=0))
        self.standin.start()
        self.addCleanup(self.standin.stop)
        self.platform = HttpPlatform(self.standin.address, 'router-1', 5)

    def set_mode(self, mode: str, **fields: Any) -> None:
        control(self.standin.address, 'PUT', 'mode', mode=mode, **fields)

    def test_reads_what_was_written(self) -> None:
        versions = self.platform.commit(insert('t1')).unwrap().versions
        row = self.platform.read(KEY).unwrap()
        assert row
        self.assertEqual((row.text, (row.version,)), ('t1', versions))
        self.assertEqual(
            self.platform.scan('leases', 'klang/').unwrap(), (row,)
        )
        self.assertIsNone(self.platform.read(RowKey('leases', 'b')).unwrap())

    def test_keeps_objects(self) -> None:
        self.platform.put('config/1', b'\x00\xff').unwrap()
        self.assertEqual(self.platform.get('config/1').unwrap(), b'\x00\xff')
        self.assertIsNone(self.platform.get('config/2').unwrap())

    def test_refuses_a_condition_that_fails(self) -> None:
        self.platform.commit(insert('t1')).unwrap()
        refused = self.platform.commit(insert('t2'))
        self.assertEqual(fault(refused), PlatformFault.CONFLICT)

    def test_settles_a_lost_answer(self) -> None:
        self.set_mode('lose_answer', count=1, table='leases')
        versions = self.platform.commit(insert('t1')).unwrap().versions
        row = self.platform.read(KEY).unwrap()
        assert row
        self.assertEqual((row.version,), versions)

    def test_settles_a_lost_answer_to_a_late_write(self) -> None:
        self.platform.commit(insert('t1')).unwrap()
        self.set_mode('hang')
        slow = HttpPlatform(self.standin.address, 'router-1', 0.2)
        self.assertEqual(
            fault(slow.commit(insert('t2'))), PlatformFault.INDETERMINATE
        )

    def test_is_unsettled_without_a_read_back(self) -> None:
        control(self.standin.address, 'PUT', 'cuts', clients=['router-1'])
        self.assertEqual(
            fault(self.platform.commit(insert('t1'))),
            PlatformFault.INDETERMINATE,
        )
        self.assertEqual(
            fault(self.platform.read(KEY)), PlatformFault.UNAVAILABLE
        )
        control(self.standin.address, 'PUT', 'cuts', clients=[])
        self.assertIsNone(self.platform.read(KEY).unwrap())

    def test_is_unavailable_when_down(self) -> None:
        self.set_mode('down')
        for outcome in (
            self.platform.commit(insert('t1')),
            self.platform.read(KEY),
            self.platform.instances(),
        ):
            self.assertEqual(fault(outcome), PlatformFault.UNAVAILABLE)
        self.set_mode('up')
        self.assertIsNone(self.platform.read(KEY).unwrap())

    def test_is_unavailable_when_nobody_listens(self) -> None:
        nobody = HttpPlatform(Address('127.0.0.1:1'), 'router-1', 1)
        self.assertEqual(
            fault(nobody.commit(insert('t1'))), PlatformFault.UNAVAILABLE
        )

"""Tests of the platform client against the stand-in."""

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
    """Call the control interface of a stand-in; return the JSON answer."""
    answer = urllib3.request(
        method, f'http://{address}/control/{path}', json=fields
    )
    return json.loads(answer.data or b'null')


def insert(name: str, version: int = ABSENT_ROW) -> Transaction:
    """Return a transaction that writes its name if the row has a version."""
    condition = Condition(KEY, RowVersion(version))
    return Transaction(name, (condition,), (Write(KEY, name),))


def fault(outcome: Result[Any, PlatformError]) -> PlatformFault:
    """Return the fault of a failed call."""
    return outcome.failure().fault


class HttpPlatformTest(unittest.TestCase):
    """Lost answers must neither hide a write nor report one that failed."""

    def setUp(self) -> None:
        self.standin = PlatformStandin(PlatformStandinSettings(list_lag_s=0))
        self.standin.start()
        self.addCleanup(self.standin.stop)
        self.platform = HttpPlatform(self.standin.address, 'router-1', 5)

    def set_mode(self, mode: str, **fields: Any) -> None:
        """Set the fault mode of the stand-in."""
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

    def test_reads_objects_that_were_stored(self) -> None:
        self.platform.put('config/1', b'\x00\xff').unwrap()
        self.assertEqual(self.platform.get('config/1').unwrap(), b'\x00\xff')
        self.assertIsNone(self.platform.get('config/2').unwrap())

    def test_a_failed_condition_is_a_conflict(self) -> None:
        self.platform.commit(insert('t1')).unwrap()
        refused = self.platform.commit(insert('t2'))
        self.assertEqual(fault(refused), PlatformFault.CONFLICT)

    def test_a_lost_answer_is_resolved_by_a_read_back(self) -> None:
        self.set_mode('lose_answer', count=1, table='leases')
        versions = self.platform.commit(insert('t1')).unwrap().versions
        row = self.platform.read(KEY).unwrap()
        assert row
        self.assertEqual((row.version,), versions)

    def test_a_write_that_may_arrive_late_is_indeterminate(self) -> None:
        self.platform.commit(insert('t1')).unwrap()
        self.set_mode('hang')
        slow = HttpPlatform(self.standin.address, 'router-1', 0.2)
        self.assertEqual(
            fault(slow.commit(insert('t2'))), PlatformFault.INDETERMINATE
        )

    def test_a_write_without_a_read_back_is_indeterminate(self) -> None:
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

    def test_a_platform_that_is_down_is_unavailable(self) -> None:
        self.set_mode('down')
        for outcome in (
            self.platform.commit(insert('t1')),
            self.platform.read(KEY),
            self.platform.instances(),
        ):
            self.assertEqual(fault(outcome), PlatformFault.UNAVAILABLE)
        self.set_mode('up')
        self.assertIsNone(self.platform.read(KEY).unwrap())

    def test_a_refused_connection_is_unavailable(self) -> None:
        unreachable = HttpPlatform(Address('127.0.0.1:1'), 'router-1', 1)
        self.assertEqual(
            fault(unreachable.commit(insert('t1'))), PlatformFault.UNAVAILABLE
        )

"""The picture of the fleet, through outages and late news."""

import json
import unittest

from pomelogauge.entry.fleet_publisher import FleetPublisher
from pomelogauge.entry.messages import TableRead, TableReadFailed
from pomelogauge.entry.ownership import OwnershipStatus
from pomelogauge.entry.store import (
    StoreError,
    StoreFault,
    Table,
)
from pomelogauge.entry.table_reader import ReaderSettings, TableReader
from pomelogauge.model.fleet import Fleet
from pomelogauge.model.ids import RowVersion
from pomelogauge.model.rows import Rows, StoredRow
from pomelogauge.platform.translator import RowTranslator
from pomelogauge.tasks.published import Published

from .entry_fakes import FakeClock, MemoryStore, Outbox
from .platform_standin import configuration

ENTRY = {
    'service': 'llm',
    'address': '10.0.0.1:80',
    'zone': 'a',
    'slots': 13,
    'state': 'ready',
}


def row(key: str, version: int, fields: dict | None) -> StoredRow:
    body = None if fields is None else json.dumps(fields).encode()
    return StoredRow(key, RowVersion(version), body)


class LateReadTest(unittest.TestCase):
    """An answer that comes after a newer one, from the owner or the store."""

    def setUp(self) -> None:
        self.clock = FakeClock()
        self.published_fleet = Published(Fleet())
        self.knowledge = FleetPublisher(
            RowTranslator(), self.published_fleet, (Outbox(),), self.clock
        )

    def read(self, version: int, *rows: StoredRow, is_whole: bool) -> set[str]:
        read = Rows(tuple(rows), RowVersion(version))
        self.knowledge.on_message(
            TableRead(Table.TARGETS, read, is_whole, self.clock.now_s(), False)
        )
        return set(self.published_fleet.latest().targets)

    def test_a_removed_target_does_not_come_back(self) -> None:
        self.read(5, row('a', 5, ENTRY), is_whole=True)
        self.read(8, row('a', 8, None), is_whole=False)
        self.assertEqual(
            self.read(6, row('a', 6, ENTRY), is_whole=False), set()
        )

    def test_a_new_target_does_not_go(self) -> None:
        self.read(5, is_whole=True)
        self.read(8, row('a', 8, ENTRY), is_whole=False)
        self.assertEqual(self.read(7, is_whole=True), {'a'})

    def test_a_confirmation_does_not_grow_older(self) -> None:
        for version, began_s in ((5, 100.0), (5, 98.0)):
            self.knowledge.on_message(
                TableRead(
                    Table.OPERATOR,
                    Rows((), RowVersion(version)),
                    False,
                    began_s,
                    False,
                )
            )
        self.assertEqual(self.published_fleet.latest().confirmed_s, 100.0)


class FleetPublisherTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = FakeClock()
        self.published_fleet = Published(Fleet())
        self.heard = Outbox()
        self.knowledge = FleetPublisher(
            RowTranslator(), self.published_fleet, (self.heard,), self.clock
        )

    def read(
        self,
        table: Table,
        *rows: StoredRow,
        is_whole: bool = False,
        was_away: bool = False,
    ) -> Fleet:
        read = Rows(tuple(rows), RowVersion(99))
        self.knowledge.on_message(
            TableRead(table, read, is_whole, self.clock.now_s(), was_away)
        )
        return self.published_fleet.latest()

    def targets(self, *rows: StoredRow, **fields: bool) -> set[str]:
        return set(self.read(Table.TARGETS, *rows, **fields).targets)

    def test_targets_come_and_go(self) -> None:
        self.assertEqual(self.targets(row('t', 1, ENTRY)), {'t'})
        self.assertEqual(self.targets(row('t', 2, None)), set())

    def test_an_older_row_never_follows_a_newer_one(self) -> None:
        draining = {**ENTRY, 'state': 'draining'}
        self.targets(row('t', 5, draining))
        fleet = self.read(Table.TARGETS, row('t', 4, ENTRY))
        self.assertEqual(fleet.targets['t'].state, 'draining')

    def test_targets_missing_in_a_whole_read_are_gone(self) -> None:
        self.targets(row('t', 1, ENTRY), row('u', 2, ENTRY))
        left = self.targets(row('u', 2, ENTRY), is_whole=True)
        self.assertEqual(left, {'u'})

    def test_targets_that_lapsed_in_an_outage_may_come_back(self) -> None:
        self.targets(row('t', 1, ENTRY), row('u', 2, ENTRY))
        lapsed = (row('t', 3, None), row('u', 4, None))
        self.assertEqual(self.targets(*lapsed, was_away=True), {'t', 'u'})
        self.targets(row('t', 5, ENTRY))
        self.clock.at_s += 2.3
        self.knowledge.on_timer()
        self.assertEqual(set(self.published_fleet.latest().targets), {'t'})

    def test_a_malformed_entry_names_no_target_and_harms_none(self) -> None:
        found = self.targets(row('t', 1, ENTRY), row('bad', 2, {'slots': 'x'}))
        self.assertEqual(found, {'t'})

    def test_a_configuration_never_goes_back(self) -> None:
        self.read(Table.OPERATOR, row('config', 1, configuration(7, 'k')))
        late = row('config', 2, configuration(6, 'k'))
        self.assertEqual(self.read(Table.OPERATOR, late).config.version, 7)

    def test_a_malformed_configuration_is_not_used(self) -> None:
        self.read(Table.OPERATOR, row('config', 1, configuration(7, 'k')))
        bad = row('config', 2, {'version': 'x'})
        self.assertEqual(self.read(Table.OPERATOR, bad).config.version, 7)

    def test_an_empty_answer_confirms_the_configuration(self) -> None:
        self.clock.at_s += 50
        self.assertEqual(self.read(Table.OPERATOR).confirmed_s, 150.0)
        self.assertEqual(self.heard.posted, [])

    def test_data_centres_are_drained_and_taken_back(self) -> None:
        fleet = self.read(Table.OPERATOR, row('evacuate/a', 1, {}))
        self.assertEqual(fleet.drained, {'a'})
        fleet = self.read(Table.OPERATOR, row('evacuate/a', 2, None))
        self.assertEqual(fleet.drained, frozenset())

    def test_a_whole_read_forgets_drains_that_ended_unseen(self) -> None:
        self.read(Table.OPERATOR, row('evacuate/a', 1, {}))
        fleet = self.read(Table.OPERATOR, is_whole=True)
        self.assertEqual(fleet.drained, frozenset())

    def test_a_gap_in_the_list_is_known(self) -> None:
        fleet = self.read(Table.TARGETS, row('t', 1, ENTRY))
        self.assertEqual(fleet.listed_since_s, 100.0)
        error = StoreError(StoreFault.UNAVAILABLE, 'away')
        self.knowledge.on_message(TableReadFailed(Table.TARGETS, error))
        self.clock.at_s += 5
        fleet = self.read(Table.TARGETS)
        self.assertEqual(fleet.listed_since_s, 105.0)


class TableReaderTest(unittest.TestCase):
    def setUp(self) -> None:
        self.store = MemoryStore()
        self.clock = FakeClock()
        self.heard = Outbox()
        self.ownership = Published(OwnershipStatus())
        self.reads_paused_until = Published(float('-inf'))
        self.reader = TableReader(
            ReaderSettings(Table.TARGETS, 1.5),
            self.store,
            (self.heard,),
            self.ownership,
            self.reads_paused_until,
            self.clock,
        )

    def keys(self) -> list[str]:
        read = self.heard.posted[-1]
        return [one.key for one in read.rows.rows]

    def test_it_rests_while_the_owner_tells(self) -> None:
        self.reads_paused_until.publish(self.clock.now_s() + 0.1)
        self.assertAlmostEqual(self.reader.on_timer(), 0.1)
        self.assertEqual(self.heard.posted, [])
        self.clock.at_s += 0.1
        self.reader.on_timer()
        self.assertEqual(len(self.heard.posted), 1)

    def test_an_outage_is_said_once_and_so_is_its_end(self) -> None:
        self.reader.on_timer()
        self.store.faults.extend([StoreFault.UNAVAILABLE] * 3)
        with self.assertLogs('pomelogauge.STORE', 'INFO') as logs:
            for _ in range(4):
                self.reader.on_timer()
        said = [record.getMessage() for record in logs.records]
        self.assertEqual(len(said), 2, said)
        self.assertIn('can not be read', said[0])
        self.assertIn('is read again', said[1])

    def test_pauses_grow_while_the_store_is_away(self) -> None:
        self.store.faults.extend([StoreFault.UNAVAILABLE] * 5)
        pauses = [self.reader.on_timer() for _ in range(5)]
        self.assertEqual(pauses, [0.15, 0.3, 0.6, 0.6, 0.6])

    def test_the_first_read_after_a_rest_or_a_failure_does_not_wait(
        self,
    ) -> None:
        self.reader.on_timer()
        self.reader.on_timer()
        self.reads_paused_until.publish(self.clock.now_s() + 0.5)
        self.reader.on_timer()
        self.clock.at_s += 0.5
        for _ in range(2):
            self.reader.on_timer()
        self.store.faults.append(StoreFault.UNAVAILABLE)
        for _ in range(3):
            self.reader.on_timer()
        self.assertEqual(self.store.waits, [1.5, 0, 1.5, 1.5, 0, 1.5])

    def test_a_rest_is_no_outage(self) -> None:
        self.reader.on_timer()
        for _ in range(20):
            self.clock.at_s += 0.5
            self.reads_paused_until.publish(self.clock.now_s() + 0.5)
            self.reader.on_timer()
        self.clock.at_s += 0.5
        self.reader.on_timer()
        self.assertFalse(self.heard.posted[-1].was_away)

    def test_it_reads_all_and_then_what_changes(self) -> None:
        self.store.put(Table.TARGETS, 'a', b'{}')
        self.reader.on_timer()
        self.assertTrue(self.heard.posted[-1].is_whole)
        self.store.put(Table.TARGETS, 'b', b'{}')
        self.reader.on_timer()
        self.assertEqual(self.keys(), ['b'])
        self.assertFalse(self.heard.posted[-1].is_whole)
        self.reader.on_timer()
        self.assertEqual(self.keys(), [])

    def test_a_lost_history_is_followed_by_a_whole_read(self) -> None:
        self.store.put(Table.TARGETS, 'a', b'{}')
        self.reader.on_timer()
        self.store.faults.append(StoreFault.FORGOTTEN)
        self.reader.on_timer()
        self.reader.on_timer()
        self.assertTrue(self.heard.posted[-1].is_whole)
        self.assertEqual(self.keys(), ['a'])

    def test_an_outage_is_told_and_remembered(self) -> None:
        self.reader.on_timer()
        self.store.faults.append(StoreFault.UNAVAILABLE)
        self.assertGreater(self.reader.on_timer(), 0, 'it does not spin')
        self.assertIsInstance(self.heard.posted[-1], TableReadFailed)
        self.clock.at_s += 5
        self.reader.on_timer()
        self.assertTrue(self.heard.posted[-1].was_away)
        self.reader.on_timer()
        self.assertFalse(self.heard.posted[-1].was_away)

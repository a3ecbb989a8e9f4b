"""The owner tells others of the tables; who follows reads them no more."""

import unittest

from returns.result import Failure, Result, Success

from pomelogauge.decide.table_copy import MAX_TOMBSTONES, TableCopy
from pomelogauge.entry.delta_server import DeltaServer
from pomelogauge.entry.messages import TableRead, WatchRequested
from pomelogauge.entry.owner_link import OwnerLinkError
from pomelogauge.entry.ownership import OwnershipStatus
from pomelogauge.entry.store import Table
from pomelogauge.entry.table_deltas import (
    NO_TABLE_VERSIONS,
    WATCH_HOLD_S,
    TableDelta,
    TableDeltas,
    TableVersions,
)
from pomelogauge.entry.table_watcher import (
    MAX_OWNER_READ_AGE_S,
    READ_PAUSE_S,
    TableWatcher,
)
from pomelogauge.model.ids import Address, RowVersion
from pomelogauge.model.rows import Rows, StoredRow
from pomelogauge.tasks.published import Published
from pomelogauge.wire.entry_codec import (
    decode_deltas,
    decode_known_versions,
    encode_deltas,
    encode_known_versions,
)

from .entry_fakes import FakeClock, Outbox

OWN = OwnershipStatus(True, 3, Address('n1:2'))
OTHER = OwnershipStatus(False, 3, Address('n2:2'))


def rows(version: int, *keys: str, body: bytes | None = b'{}') -> Rows:
    at = RowVersion(version)
    return Rows(tuple(StoredRow(key, at, body) for key in keys), at)


class TableCopyTest(unittest.TestCase):
    def test_changes_are_told_since_a_version(self) -> None:
        copy = TableCopy().with_rows(rows(5, 'a'), is_whole=True)
        copy = copy.with_rows(rows(7, 'b'), is_whole=False)
        copy = copy.with_rows(rows(8, 'a', body=None), is_whole=False)
        told = copy.changed_since(RowVersion(5))
        self.assertEqual([one.key for one in told.rows], ['a', 'b'])
        self.assertIsNone(told.rows[0].body)
        self.assertEqual([one.key for one in copy.all_rows().rows], ['b'])

    def test_who_knows_less_than_the_copy_is_told_all(self) -> None:
        copy = TableCopy().with_rows(rows(5, 'a'), is_whole=True)
        self.assertTrue(copy.has_changes_since(RowVersion(5)))
        self.assertFalse(copy.has_changes_since(RowVersion(4)))
        self.assertFalse(TableCopy().has_changes_since(RowVersion(0)))

    def test_an_older_read_changes_nothing(self) -> None:
        copy = TableCopy().with_rows(rows(5, 'a'), is_whole=True)
        self.assertEqual(copy.with_rows(rows(4), is_whole=True), copy)

    def test_removed_rows_are_not_kept_for_ever(self) -> None:
        copy = TableCopy().with_rows(rows(1), is_whole=True)
        gone = [f'k{index}' for index in range(MAX_TOMBSTONES + 1)]
        copy = copy.with_rows(rows(2, *gone, body=None), is_whole=False)
        self.assertEqual(copy.rows, {})
        self.assertFalse(copy.has_changes_since(RowVersion(1)))


class DeltaServerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = FakeClock()
        self.ownership = Published(OWN)
        self.relay = DeltaServer(self.ownership, self.clock)
        for table in (Table.OPERATOR, Table.TARGETS):
            self.read(table, rows(5, 'a'), is_whole=True)

    def read(self, table: Table, found: Rows, **fields: bool) -> None:
        given = {'is_whole': False, 'was_away': False, **fields}
        self.relay.on_message(
            TableRead(table, found, began_s=self.clock.now_s(), **given)
        )

    def ask(self, versions: TableVersions) -> Outbox:
        replies = Outbox()
        self.relay.on_message(WatchRequested(versions, replies))
        return replies

    def tick(self, seconds: float) -> None:
        self.clock.at_s += seconds
        self.relay.on_timer()

    def known(self) -> TableVersions:
        return {table: RowVersion(5) for table in NO_TABLE_VERSIONS}

    def test_who_knows_nothing_is_told_all_at_once(self) -> None:
        (news,) = self.ask(NO_TABLE_VERSIONS).posted
        self.assertTrue(all(one.is_whole for one in news.tables))
        self.assertEqual(news.versions(), self.known())

    def test_a_question_is_held_until_there_is_news(self) -> None:
        replies = self.ask(self.known())
        self.tick(0.5)
        self.assertEqual(replies.posted, [])
        self.read(Table.TARGETS, rows(9, 'b'))
        self.tick(0.01)
        changes = {one.table: one for one in replies.posted[0].tables}
        self.assertEqual(changes[Table.TARGETS].rows, rows(9, 'b'))
        self.assertFalse(changes[Table.TARGETS].is_whole)
        self.assertEqual(changes[Table.OPERATOR].rows.rows, ())

    def test_the_age_of_the_reads_counts_from_the_question(self) -> None:
        self.clock.at_s += 0.3
        replies = self.ask(self.known())
        self.tick(0.1)
        self.read(Table.OPERATOR, rows(5))
        self.tick(WATCH_HOLD_S - 0.1)
        (news,) = replies.posted
        self.assertFalse(news.has_rows())
        ages = {one.table: round(one.age_s, 2) for one in news.tables}
        self.assertEqual(ages[Table.TARGETS], 0.3)
        self.assertEqual(ages[Table.OPERATOR], -0.1, 'began while it was held')

    def test_who_is_not_the_owner_has_no_news(self) -> None:
        replies = self.ask(self.known())
        self.ownership.publish(OTHER)
        self.tick(0.1)
        self.assertEqual(replies.posted, [None])

    def test_an_outage_of_the_store_is_told(self) -> None:
        self.read(Table.TARGETS, rows(9, 'b', body=None), was_away=True)
        (news,) = self.ask(self.known()).posted
        away = {one.table: one.was_away for one in news.tables}
        self.assertEqual(away, {Table.OPERATOR: False, Table.TARGETS: True})


class Link:
    """Answers as tests say."""

    def __init__(self) -> None:
        self.answer: Result = Failure(OwnerLinkError('refused', True))
        self.asked: list[TableVersions] = []

    def watch(self, address: Address, versions: TableVersions) -> Result:
        self.asked.append(versions)
        return self.answer


def news(version: int, age_s: float = 0.2) -> TableDeltas:
    return TableDeltas(
        tuple(
            TableDelta(table, rows(version, 'a'), False, age_s, False)
            for table in NO_TABLE_VERSIONS
        )
    )


class TableWatcherTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = FakeClock()
        self.link = Link()
        self.ownership = Published(OTHER)
        self.reads_paused_until = Published(float('-inf'))
        self.heard = Outbox()
        self.follower = TableWatcher(
            self.link,
            self.ownership,
            self.reads_paused_until,
            (self.heard,),
            self.clock,
        )

    def is_covered(self) -> bool:
        return self.reads_paused_until.latest() > self.clock.now_s()

    def test_it_passes_on_what_the_owner_tells(self) -> None:
        self.link.answer = Success(news(9))
        self.follower.on_timer()
        read = self.heard.posted[0]
        self.assertEqual(read.rows, rows(9, 'a'))
        self.assertAlmostEqual(read.began_s, self.clock.now_s() - 0.2)
        self.assertTrue(self.is_covered())
        self.follower.on_timer()
        self.assertEqual(set(self.link.asked[-1].values()), {9})

    def test_the_store_is_read_where_the_owner_does_not_answer(self) -> None:
        self.link.answer = Success(news(9))
        self.follower.on_timer()
        self.link.answer = Failure(OwnerLinkError('refused', True))
        self.follower.on_timer()
        self.assertTrue(self.is_covered(), 'the owner may be replaced soon')
        self.clock.at_s += READ_PAUSE_S
        self.follower.on_timer()
        self.assertFalse(self.is_covered())

    def test_an_owner_with_old_reads_covers_nothing(self) -> None:
        self.link.answer = Success(news(9, MAX_OWNER_READ_AGE_S + 0.1))
        self.follower.on_timer()
        self.assertFalse(self.is_covered())

    def test_the_owner_reads_the_store(self) -> None:
        self.ownership.publish(OWN)
        self.follower.on_timer()
        self.assertEqual(self.link.asked, [])
        self.assertFalse(self.is_covered())

    def test_a_confirmation_is_as_old_as_the_owners_read(self) -> None:
        """An answer that was held confirms what was read meanwhile."""
        self.link.answer = Success(news(9, age_s=-0.4))
        asked_s = self.clock.now_s()
        self.follower.on_timer()
        self.assertAlmostEqual(self.heard.posted[0].began_s, asked_s + 0.4)

    def test_questions_and_news_are_decoded_as_they_were_encoded(
        self,
    ) -> None:
        versions = {table: RowVersion(7) for table in NO_TABLE_VERSIONS}
        self.assertEqual(
            decode_known_versions(encode_known_versions(versions)), versions
        )
        gone = TableDelta(
            Table.TARGETS, rows(9, 'b', body=None), True, -0.25, True
        )
        told = TableDeltas((*news(9).tables, gone))
        self.assertEqual(decode_deltas(encode_deltas(told)), told)


if __name__ == '__main__':
    unittest.main()

"""Reads of tables over several pages, against a stand-in of the store."""

import unittest

from pomelogauge.entry.store import Table
from pomelogauge.platform.store import StoreClient

from .platform_standin import MAX_PAGE_ROWS, Handler, StoreStandin

ROWS = MAX_PAGE_ROWS + 20


class ChangingStore(StoreStandin):
    """A store in which rows change after the first page of a read."""

    changes: tuple[tuple[str, bytes | None], ...] = ()

    def answer_page(self, conn: Handler, query: dict[str, str]) -> None:
        super().answer_page(conn, query)
        for key, body in self.changes:
            self.version += 1
            self.write('servers', key, body)
        self.changes = ()


class PagesTest(unittest.TestCase):
    """Guards against changes that fall between two pages."""

    def setUp(self) -> None:
        self.store = ChangingStore()
        self.addCleanup(self.store.close)
        for index in range(ROWS):
            self.store.put('servers', f't{index:04}', {'n': index})
        self.client = StoreClient(self.store.address, 2)

    def rows_after_changes(self) -> dict[str, bytes]:
        """Read all rows and then the changes, as a table reader does."""
        read = self.client.read_all(Table.TARGETS).unwrap()
        rows = {row.key: row.body for row in read.rows}
        changes = self.client.changes(Table.TARGETS, read.version, 0).unwrap()
        for row in changes.rows:
            rows[row.key] = row.body
        return {key: body for key, body in rows.items() if body is not None}

    def test_all_pages_are_read(self) -> None:
        self.assertEqual(len(self.rows_after_changes()), ROWS)

    def test_a_row_removed_between_two_pages_does_not_stay(self) -> None:
        self.store.changes = (('t0003', None),)
        self.assertNotIn('t0003', self.rows_after_changes())

    def test_rows_changed_between_two_pages_are_current(self) -> None:
        self.store.changes = (('t0003', b'{"n": -1}'), ('t0510', b'{}'))
        rows = self.rows_after_changes()
        self.assertEqual(rows['t0003'], b'{"n": -1}')
        self.assertEqual(rows['t0510'], b'{}')

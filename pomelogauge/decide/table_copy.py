"""In-memory copy of one table that serves deltas since a known version."""

from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from ..model.rows import Rows, StoredRow
from ..model.store_version import ABSENT_ROW, StoreVersion

#: Number of removed rows that are kept, so that watchers learn of the removal.
#: Beyond it all of them are dropped, and a watcher with an older version gets
#: the whole table.
MAX_TOMBSTONES = 400


@dataclass(frozen=True)
class TableCopy:
    """A table as of one version.

    Parameters
    ----------
    version
        Version of the store as of the newest read; zero before the first.
    since
        Oldest version since which all changes are known.
    rows
        Rows by key; a row without a body was removed and is a tombstone.

    """

    version: StoreVersion = ABSENT_ROW
    since: StoreVersion = ABSENT_ROW
    rows: dict[str, StoredRow] = field(default_factory=dict)

    def with_rows(self, read: Rows, is_whole: bool) -> 'TableCopy':
        """Return the copy with the rows of a read.

        Parameters
        ----------
        read
            Rows that were read. A read older than the copy is ignored, and so
            are changes of another era of the store: they say nothing of the
            rows that it has lost.
        is_whole
            Whether the read holds all rows of the table and replaces the
            copy, or only the changes since the copy's version.

        """
        if read.version < self.version:
            return self
        if is_whole:
            return TableCopy(read.version, read.version, _by_key(read.rows))
        if read.version.era != self.version.era:
            return self
        after = replace(
            self,
            version=read.version,
            rows={**self.rows, **_by_key(read.rows)},
        )
        return after.without_excess_tombstones()

    def without_excess_tombstones(self) -> 'TableCopy':
        """Drop all tombstones if there are more than ``MAX_TOMBSTONES``."""
        removed = sum(row.body is None for row in self.rows.values())
        if removed <= MAX_TOMBSTONES:
            return self
        return replace(self, since=self.version, rows=self._present())

    def has_changes_since(self, version: StoreVersion) -> bool:
        """Return whether all changes since a version are known."""
        return version != ABSENT_ROW and version >= self.since

    def changed_since(self, version: StoreVersion) -> Rows:
        """Return the rows that changed after a version, tombstones included."""
        changed = (row for row in self.rows.values() if row.version > version)
        return Rows(tuple(changed), self.version)

    def all_rows(self) -> Rows:
        """Return the whole table, without tombstones."""
        return Rows(tuple(self._present().values()), self.version)

    def _present(self) -> dict[str, StoredRow]:
        return {
            key: row for key, row in self.rows.items() if row.body is not None
        }


def _by_key(rows: Iterable[StoredRow]) -> dict[str, StoredRow]:
    return {row.key: row for row in rows}

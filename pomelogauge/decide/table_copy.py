"""A copy of one table of the store, with what changed since a version."""

from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from ..model.ids import ABSENT_ROW, RowVersion
from ..model.rows import Rows, StoredRow

#: Removed rows that are remembered; who knows less is told all rows.
MAX_TOMBSTONES = 400


@dataclass(frozen=True)
class TableCopy:
    """A table as of one version.

    Parameters
    ----------
    version
        Newest version of the store that the copy knows; zero for none.
    since
        Oldest version from which changes can be told.
    rows
        Rows by key, those among them that were removed since.

    """

    version: RowVersion = ABSENT_ROW
    since: RowVersion = ABSENT_ROW
    rows: dict[str, StoredRow] = field(default_factory=dict)

    def with_rows(self, read: Rows, is_whole: bool) -> 'TableCopy':
        """Take in a read; one that is older than the copy changes nothing."""
        if read.version < self.version:
            return self
        if is_whole:
            return TableCopy(read.version, read.version, _by_key(read.rows))
        after = replace(
            self,
            version=read.version,
            rows={**self.rows, **_by_key(read.rows)},
        )
        return after.without_excess_tombstones()

    def without_excess_tombstones(self) -> 'TableCopy':
        """Forget the removed rows where there are too many."""
        removed = sum(row.body is None for row in self.rows.values())
        if removed <= MAX_TOMBSTONES:
            return self
        return replace(self, since=self.version, rows=self._present())

    def has_changes_since(self, version: RowVersion) -> bool:
        """Return whether the changes since a version are known."""
        return version >= max(self.since, 1)

    def changed_since(self, version: RowVersion) -> Rows:
        """Return the rows that changed after a version."""
        changed = (row for row in self.rows.values() if row.version > version)
        return Rows(tuple(changed), self.version)

    def all_rows(self) -> Rows:
        """Return all rows that are there."""
        return Rows(tuple(self._present().values()), self.version)

    def _present(self) -> dict[str, StoredRow]:
        return {
            key: row for key, row in self.rows.items() if row.body is not None
        }


def _by_key(rows: Iterable[StoredRow]) -> dict[str, StoredRow]:
    return {row.key: row for row in rows}

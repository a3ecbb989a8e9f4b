"""Copies of the watched tables, from which watch requests are answered."""

from dataclasses import dataclass

from ..decide.table_copy import TableCopy
from ..model.rows import Rows
from ..model.store_version import ABSENT_ROW, StoreVersion
from .messages import TableRead
from .store import Table
from .table_deltas import WATCHED_TABLES, TableDelta, TableVersions
from .target_list import RELISTING_GRACE_S


@dataclass(frozen=True)
class _TableState:
    """The rows of a table as of the newest read.

    Parameters
    ----------
    copy
        The rows, and those removed lately.
    as_of_s
        Time of the local clock. The rows are at least as new as that.
    away_until_s
        Time until which targets that expired during an outage of the store
        may come back.

    """

    copy: TableCopy = TableCopy()
    as_of_s: float = float('-inf')
    away_until_s: float = float('-inf')


@dataclass(frozen=True)
class _Changes:
    """Rows for all watchers that have the same version of a table."""

    rows: Rows
    is_whole: bool


class WatchedCopies:
    """The newest known rows of all watched tables; used by one task."""

    def __init__(self) -> None:
        """Start without rows."""
        self._states: dict[Table, _TableState] = {
            table: _TableState() for table in WATCHED_TABLES
        }
        self._changes: dict[tuple[Table, StoreVersion], _Changes] = {}

    def apply(self, read: TableRead, now_s: float) -> bool:
        """Apply a read; return whether it brought changes."""
        state = self._states[read.table]
        copy = state.copy.with_rows(read.rows, read.is_whole)
        away_until_s = state.away_until_s
        if read.was_away:
            away_until_s = now_s + RELISTING_GRACE_S
        self._states[read.table] = _TableState(
            copy, max(read.as_of_s, state.as_of_s), away_until_s
        )
        has_changed = copy.version > state.copy.version
        if has_changed:
            self._changes = {}
        return has_changed

    def has_read_all(self) -> bool:
        """Return whether each table has been read at least once."""
        return all(
            state.copy.version != ABSENT_ROW for state in self._states.values()
        )

    def confirmed_s(self) -> float:
        """Return as of when the configuration was last confirmed."""
        return self._states[Table.OPERATOR].as_of_s

    def oldest_s(self) -> float:
        """Return as of when the oldest table was read."""
        return min(state.as_of_s for state in self._states.values())

    def has_rows_since(self, known: TableVersions) -> bool:
        """Return whether any table has changed since the known versions."""
        changes = (
            self._changes_since(table, known[table]) for table in WATCHED_TABLES
        )
        return any(change.is_whole or change.rows.rows for change in changes)

    def deltas_since(
        self, known: TableVersions, requested_s: float, now_s: float
    ) -> tuple[TableDelta, ...]:
        """Return the deltas of all tables since the known versions.

        Parameters
        ----------
        known
            Versions that the watching instance has.
        requested_s
            Time of the local clock at which its request came.
        now_s
            Current time of the local clock.

        """
        return tuple(
            self._delta(table, known[table], requested_s, now_s)
            for table in WATCHED_TABLES
        )

    def _delta(
        self,
        table: Table,
        known: StoreVersion,
        requested_s: float,
        now_s: float,
    ) -> TableDelta:
        state = self._states[table]
        changes = self._changes_since(table, known)
        return TableDelta(
            table,
            changes.rows,
            changes.is_whole,
            requested_s - state.as_of_s,
            now_s < state.away_until_s,
        )

    def _changes_since(self, table: Table, known: StoreVersion) -> _Changes:
        key = table, known
        if key not in self._changes:
            copy = self._states[table].copy
            is_whole = not copy.has_changes_since(known)
            rows = copy.all_rows() if is_whole else copy.changed_since(known)
            self._changes[key] = _Changes(rows, is_whole)
        return self._changes[key]

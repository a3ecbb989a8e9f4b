"""What instances are told by the owner of the tables that all follow."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Protocol

from returns.result import Result

from ..model.ids import ABSENT_ROW, Address, RowVersion
from ..model.rows import Rows
from .owner_link import OwnerLinkError
from .store import Table

#: Tables that every instance follows.
WATCHED_TABLES = (Table.OPERATOR, Table.TARGETS)
#: Seconds for which the owner holds a question without news. An answer
#: confirms the configuration.
WATCH_HOLD_S = 0.8

#: Version of each table that an instance knows.
TableVersions = Mapping[Table, RowVersion]
NO_TABLE_VERSIONS: TableVersions = dict.fromkeys(WATCHED_TABLES, ABSENT_ROW)


@dataclass(frozen=True)
class TableDelta:
    """What changed in one table.

    Parameters
    ----------
    table
        Which table.
    rows
        All its rows, or those that changed.
    is_whole
        All rows; a row that is missing is gone.
    age_s
        Seconds from the start of the owner's read of this state to the
        question; negative where the read began while the question was held.
    was_away
        The store has only just answered again.

    """

    table: Table
    rows: Rows
    is_whole: bool
    age_s: float
    was_away: bool


@dataclass(frozen=True)
class TableDeltas:
    """The owner's answer: one entry for each followed table."""

    tables: tuple[TableDelta, ...]

    def versions(self) -> TableVersions:
        """Return the versions that who has taken the news knows."""
        return {one.table: one.rows.version for one in self.tables}

    def has_rows(self) -> bool:
        """Return whether anything has changed."""
        return any(one.rows.rows or one.is_whole for one in self.tables)


class TableWatchLink(Protocol):
    """Asks the owner for news; used by one task."""

    def watch(
        self,
        address: Address,
        known_versions: TableVersions,
    ) -> Result[TableDeltas, OwnerLinkError]:
        """Wait for news beyond the known versions."""

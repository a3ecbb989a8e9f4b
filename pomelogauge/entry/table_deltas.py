"""Deltas of the watched tables, as the owner and relays send them."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Protocol

from returns.result import Result

from ..model.ids import Address, TargetName
from ..model.rows import Rows
from ..model.store_version import ABSENT_ROW, StoreVersion
from .owner_link import OwnerLinkError
from .store import Table

#: Tables that every instance watches.
WATCHED_TABLES = (Table.OPERATOR, Table.TARGETS)
#: Seconds for which a watch request is held at most. The answer comes sooner
#: with each read that confirms the configuration.
WATCH_HOLD_S = 1.0

#: Version of each watched table that an instance has.
TableVersions = Mapping[Table, StoreVersion]
NO_TABLE_VERSIONS: TableVersions = dict.fromkeys(WATCHED_TABLES, ABSENT_ROW)


@dataclass(frozen=True)
class TableDelta:
    """What changed in one table since a version.

    Parameters
    ----------
    table
        The table that was read.
    rows
        All its rows where ``is_whole``, otherwise those that changed.
    is_whole
        Whether rows that are missing here have been removed.
    age_s
        Seconds to the watch request from the time as of which the rows were
        read; negative if they were read while the request was held.
    was_away
        Whether the store has answered again only shortly before. Targets
        that are missing may then come back within a grace period.

    """

    table: Table
    rows: Rows
    is_whole: bool
    age_s: float
    was_away: bool


@dataclass(frozen=True)
class TableDeltas:
    """Answer to a watch request.

    Parameters
    ----------
    tables
        One delta for each watched table.
    suspects
        Targets that several instances suspect now.

    """

    tables: tuple[TableDelta, ...]
    suspects: frozenset[TargetName] = frozenset()

    def versions(self) -> TableVersions:
        """Return the table versions of an instance that applied all deltas."""
        return {delta.table: delta.rows.version for delta in self.tables}


class TableWatchLink(Protocol):
    """Long-polls an instance for table deltas; used by one task."""

    def watch(
        self,
        address: Address,
        known_versions: TableVersions,
    ) -> Result[TableDeltas, OwnerLinkError]:
        """Wait until the instance has deltas since the known versions.

        Returns without rows when the configuration has been confirmed, or
        after ``WATCH_HOLD_S``.
        """

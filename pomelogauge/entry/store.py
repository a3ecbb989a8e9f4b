"""What the entry instance needs of the platform's store, as protocols."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from returns.result import Result

from ..model.ids import RowVersion
from ..model.rows import Rows


class Table(StrEnum):
    """Tables of the store."""

    OPERATOR = 'operator'
    TARGETS = 'targets'
    GROUPS = 'groups'
    OWNER = 'owner'


class StoreFault(StrEnum):
    """How a call to the store can fail.

    ``UNAVAILABLE``: nothing was done. ``INDETERMINATE``: a write may have been or may
    still be done. ``CONFLICT``: a condition did not hold. ``FORGOTTEN``: the
    history that a feed asked for is gone. ``MALFORMED``: the answer can't be
    read.
    """

    UNAVAILABLE = 'away'
    INDETERMINATE = 'unsettled'
    CONFLICT = 'conflict'
    FORGOTTEN = 'forgotten'
    MALFORMED = 'malformed'


@dataclass(frozen=True)
class StoreError:
    """A failed call."""

    fault: StoreFault
    message: str


@dataclass(frozen=True)
class RowExpected:
    """The row must have this version; zero means that it must be absent."""

    table: Table
    key: str
    version: RowVersion


@dataclass(frozen=True)
class RowWritten:
    """New value of a row; ``None`` removes it."""

    table: Table
    key: str
    body: bytes | None


class StoreReads(Protocol):
    """Reads of the store over one connection."""

    def read_all(self, table: Table) -> Result[Rows, StoreError]:
        """Return all rows of a table."""

    def changes(
        self,
        table: Table,
        after: RowVersion,
        wait_s: float,
    ) -> Result[Rows, StoreError]:
        """Wait for rows that changed after a version."""


class StoreWrites(StoreReads, Protocol):
    """Reads and transactions over one connection."""

    def commit(
        self,
        expected: tuple[RowExpected, ...],
        written: tuple[RowWritten, ...],
    ) -> Result[RowVersion, StoreError]:
        """Write all rows if all conditions hold; else none."""

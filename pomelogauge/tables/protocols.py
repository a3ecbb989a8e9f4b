"""Protocols and records of the platform's services."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from returns.result import Result

from ..model.ids import RowVersion
from ..model.topology import Instance


class PlatformFault(StrEnum):
    """How a call to the platform can fail.

    ``UNAVAILABLE``: the call had no effect. ``INDETERMINATE``: a write may
    have taken effect or may still do so; only a read-back tells.
    ``CONFLICT``: a condition did not hold and nothing was written.
    ``MALFORMED``: the answer can't be decoded.
    """

    UNAVAILABLE = 'unavailable'
    INDETERMINATE = 'unsettled'
    CONFLICT = 'conflict'
    MALFORMED = 'malformed'


@dataclass(frozen=True)
class PlatformError:
    """A failed call to the platform; the message names the cause."""

    fault: PlatformFault
    message: str


@dataclass(frozen=True)
class RowKey:
    """Table and key that identify one row."""

    table: str
    key: str


@dataclass(frozen=True)
class Row:
    """A row as it is stored.

    Parameters
    ----------
    key
        Table and key.
    version
        Rises with every write; no version occurs twice for one key, also
        after the row was deleted.
    text
        Encoded value.
    transaction
        Identifier of the transaction that wrote this version.

    """

    key: RowKey
    version: RowVersion
    text: str
    transaction: str


@dataclass(frozen=True)
class Condition:
    """Version that a row must have; zero requires that it is absent."""

    key: RowKey
    version: RowVersion


@dataclass(frozen=True)
class Write:
    """New encoded value of a row; ``None`` deletes the row."""

    key: RowKey
    text: str | None


@dataclass(frozen=True)
class Transaction:
    """Writes that take effect together if all conditions hold.

    Parameters
    ----------
    transaction
        Identifier that is never used again. Rows store it, so that a
        read-back can tell whether the transaction took effect when its answer
        was lost.
    conditions
        Versions of rows; if one does not hold, nothing is written.
    writes
        All take effect or none.

    """

    transaction: str
    conditions: tuple[Condition, ...]
    writes: tuple[Write, ...]


@dataclass(frozen=True)
class Committed:
    """Versions of the written rows, in the order of the writes."""

    versions: tuple[RowVersion, ...]


class TableService(Protocol):
    """Transactional tables with conditional writes."""

    def read(self, key: RowKey) -> Result[Row | None, PlatformError]:
        """Read one row; ``None`` if it is absent."""

    def scan(
        self,
        table: str,
        prefix: str = '',
    ) -> Result[tuple[Row, ...], PlatformError]:
        """Read all rows whose keys start with a prefix, sorted by key."""

    def commit(
        self,
        transaction: Transaction,
    ) -> Result[Committed, PlatformError]:
        """Commit a transaction, without retries.

        Returns
        -------
        Result
            Versions of the written rows. After a lost answer the rows are
            read back; if they don't show the transaction, the failure is
            ``INDETERMINATE``.

        """


class ObjectStore(Protocol):
    """Store of named objects, each written under a new name."""

    def put(self, name: str, body: bytes) -> Result[None, PlatformError]:
        """Store an object under a name that is never reused."""

    def get(self, name: str) -> Result[bytes | None, PlatformError]:
        """Return an object; ``None`` if it is absent."""


class InstanceList(Protocol):
    """The platform's list of live and leaving instances.

    The list lags behind: an instance may be gone or may have started already.
    """

    def instances(self) -> Result[tuple[Instance, ...], PlatformError]:
        """Return the whole list as the platform has it now."""


class Platform(TableService, ObjectStore, InstanceList, Protocol):
    """All services of the platform, behind one client."""

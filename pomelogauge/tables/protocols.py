"""The platform's services as protocol types."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from returns.result import Result

from ..model.ids import RowVersion
from ..model.topology import Instance


class PlatformFault(StrEnum):
    """How a call to the platform can fail.

    ``UNAVAILABLE``: it took no effect. ``INDETERMINATE``: a write may have taken
    effect; only reading back tells. ``CONFLICT``: a condition did not hold;
    nothing was written. ``MALFORMED``: the answer can't be read.
    """

    UNAVAILABLE = 'unavailable'
    INDETERMINATE = 'unsettled'
    CONFLICT = 'conflict'
    MALFORMED = 'malformed'


@dataclass(frozen=True)
class PlatformError:
    """A failed call to the platform."""

    fault: PlatformFault
    message: str


@dataclass(frozen=True)
class RowKey:
    """Name of one row."""

    table: str
    key: str


@dataclass(frozen=True)
class Row:
    """A row as stored; ``text`` is its encoded value.

    Parameters
    ----------
    key
        Name of the row.
    version
        Raised by every write; never used twice for one key.
    text
        Encoded value.
    transaction
        Identifier of the transaction that wrote it.

    """

    key: RowKey
    version: RowVersion
    text: str
    transaction: str


@dataclass(frozen=True)
class Condition:
    """The row must have this version; zero means that it must be absent."""

    key: RowKey
    version: RowVersion


@dataclass(frozen=True)
class Write:
    """New value of a row; ``None`` deletes it."""

    key: RowKey
    text: str | None


@dataclass(frozen=True)
class Transaction:
    """Writes that take effect together if all conditions hold.

    Parameters
    ----------
    transaction
        Identifier, unique for ever; rows keep it, so that a lost answer
        is settled by reading back.
    conditions
        All must hold.
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
        """Read one row; ``None`` when absent."""

    def scan(
        self,
        table: str,
        prefix: str = '',
    ) -> Result[tuple[Row, ...], PlatformError]:
        """Read all rows whose keys start with a prefix, by key."""

    def commit(
        self,
        transaction: Transaction,
    ) -> Result[Committed, PlatformError]:
        """Write once; a lost answer is settled by reading back."""


class ObjectStore(Protocol):
    """Named objects."""

    def put(self, name: str, body: bytes) -> Result[None, PlatformError]:
        """Store an object under a name that is never used twice."""

    def get(self, name: str) -> Result[bytes | None, PlatformError]:
        """Return an object; ``None`` when absent."""


class InstanceList(Protocol):
    """The platform's lagging list of live and leaving instances."""

    def instances(self) -> Result[tuple[Instance, ...], PlatformError]:
        """Return the list as the platform has it now."""


class Platform(TableService, ObjectStore, InstanceList, Protocol):
    """All that the platform offers, over one connection pool."""

"""Rows of the platform's store, as read from a table."""

from dataclasses import dataclass

from .store_version import StoreVersion


@dataclass(frozen=True)
class StoredRow:
    """A row of a table.

    Parameters
    ----------
    key
        Name inside the table.
    version
        Version of the store at the last write of the row.
    body
        Encoded value; ``None`` for a row that was deleted.

    """

    key: str
    version: StoreVersion
    body: bytes | None


@dataclass(frozen=True)
class Rows:
    """Result of one read of a table.

    Parameters
    ----------
    rows
        All rows of the table, or those that changed since a version.
    version
        Version of the store that the read shows; the next read of changes
        starts from it.

    """

    rows: tuple[StoredRow, ...]
    version: StoreVersion

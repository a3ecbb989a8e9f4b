"""Rows of the platform's store, as reads of a table give them."""

from dataclasses import dataclass

from .ids import RowVersion


@dataclass(frozen=True)
class StoredRow:
    """A row of a table.

    Parameters
    ----------
    key
        Name inside the table.
    version
        Rises with every write of the store.
    body
        Value; ``None`` for a row that was removed.

    """

    key: str
    version: RowVersion
    body: bytes | None


@dataclass(frozen=True)
class Rows:
    """Rows as of one version of the store.

    Parameters
    ----------
    rows
        All rows of a table, or those that changed.
    version
        Newest version of the store; a feed goes on from here.

    """

    rows: tuple[StoredRow, ...]
    version: RowVersion

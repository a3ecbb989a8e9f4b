"""The rows of the owner lease in the store."""

from dataclasses import dataclass

from returns.result import Failure, Result

from ..model.errors import FindingsError
from ..model.log_parts import Part
from ..model.rows import StoredRow
from ..model.store_version import ABSENT_ROW, StoreVersion
from ..tasks.log import part_logger
from .codecs import OwnRows
from .ownership import TERMS_PER_ERA, OwnerLease
from .store import RowExpected, RowWritten, StoreError, StoreWrites, Table

#: Keys of the two rows of the lease: the lease, written at a takeover,
#: and an empty row whose version changes with each renewal.
OWNER_LEASE_KEY = 'tenure'
RENEWAL_KEY = 'beat'
_RENEWAL = RowWritten(Table.OWNER, RENEWAL_KEY, b'{}')

_log = part_logger(Part.LEASE)


@dataclass(frozen=True)
class StoredLease:
    """The lease as of one read.

    Parameters
    ----------
    lease
        The lease; without a term if nobody has taken one.
    renewal_version
        Version of its last renewal.
    era
        Era of the store.

    """

    lease: OwnerLease
    renewal_version: StoreVersion
    era: int

    def is_of_era(self) -> bool:
        """Return whether the lease was taken in the present era."""
        return self.lease.term > self.era * TERMS_PER_ERA

    def next_term(self) -> int:
        """Return the term of the next taking."""
        return max(self.lease.term, self.era * TERMS_PER_ERA) + 1


class OwnerLeaseRows:
    """Reads and writes the rows of the lease; used by the owner task.

    Parameters
    ----------
    store
        Connection to the store; owned by the task.
    rows
        Encodes and decodes rows.

    """

    def __init__(self, store: StoreWrites, rows: OwnRows) -> None:
        """Store what is used."""
        self._store = store
        self._rows = rows

    def read(self, known: OwnerLease) -> Result[StoredLease, StoreError]:
        """Read the lease.

        Parameters
        ----------
        known
            What was read before. If the row can't be read now, the lease is
            that of an unknown holder, in no lower term.

        """
        answer = self._store.read_all(Table.OWNER)
        if isinstance(answer, Failure):
            return answer
        read = answer.unwrap()
        rows = {row.key: row for row in read.rows}
        renewal = rows.get(RENEWAL_KEY)
        return answer.map(
            lambda _: StoredLease(
                self._decode(rows.get(OWNER_LEASE_KEY), known),
                ABSENT_ROW if renewal is None else renewal.version,
                read.version.era,
            )
        )

    def renew(self, lease: OwnerLease) -> Result[StoreVersion, StoreError]:
        """Renew a lease unless another instance has taken it."""
        return self._store.commit((write_condition(lease),), (_RENEWAL,))

    def take(
        self, stored: StoredLease, new: OwnerLease
    ) -> Result[StoreVersion, StoreError]:
        """Write a new lease unless the stored one was taken or renewed."""
        body = self._rows.encode_owner_lease(new)
        return self._store.commit(
            (
                write_condition(stored.lease),
                RowExpected(Table.OWNER, RENEWAL_KEY, stored.renewal_version),
            ),
            (RowWritten(Table.OWNER, OWNER_LEASE_KEY, body), _RENEWAL),
        )

    def _decode(self, row: StoredRow | None, known: OwnerLease) -> OwnerLease:
        if row is None or row.body is None:
            return OwnerLease()
        decoded = self._rows.owner_lease(row.key, row.body, row.version)
        if isinstance(decoded, Failure):
            return _unreadable_lease(known, row.version, decoded.failure())
        owner_lease: OwnerLease = decoded.unwrap()
        return owner_lease


def write_condition(lease: OwnerLease) -> RowExpected:
    """Return the condition of every write under a lease.

    It does not hold once another instance has taken over, nor in another era
    of the store.
    """
    return RowExpected(Table.OWNER, OWNER_LEASE_KEY, lease.version)


def _unreadable_lease(
    known: OwnerLease, version: StoreVersion, error: FindingsError
) -> OwnerLease:
    """Return the lease of an unknown holder, who may still act.

    Each takeover adds one to the term and at least one to the store's version,
    so that no earlier term of the era exceeds the number of the row's version.
    """
    term = max(known.term, version.era * TERMS_PER_ERA + version.number)
    if known.holder or known.version != version:
        _log.error(
            'the row of the owner lease is malformed, its holder is unknown: '
            '%s',
            error,
            extra={'term': term, 'row_version': str(version)},
        )
    return OwnerLease(term=term, version=version)

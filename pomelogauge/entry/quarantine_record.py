"""Quarantined parts of prompts in the store, for after a restart of all."""

from returns.result import Failure

from ..model.ids import PromptPart
from ..model.log_parts import Part
from ..model.rows import StoredRow
from ..tasks.log import part_logger
from ..tasks.mailbox import Outbox
from .codecs import OwnRows
from .messages import PartsRestored
from .owner_lease_keeper import OwnerLeaseKeeper
from .store import RowWritten, StoreWrites, Table

#: Key of the one row of the table.
QUARANTINE_KEY = 'parts'
#: Parts that are stored at most. The membership task keeps fewer.
MAX_STORED_PARTS = 512

_log = part_logger(Part.STORE)


class QuarantineRecord:
    """Reads and writes the quarantined parts; used by the owner task.

    Parameters
    ----------
    store
        Connection to the store; owned by the task.
    rows
        Encodes and decodes rows.
    keeper
        Holds the lease on which every write is conditional.

    """

    def __init__(
        self,
        store: StoreWrites,
        rows: OwnRows,
        keeper: OwnerLeaseKeeper,
    ) -> None:
        """Start without having read the store."""
        self._store = store
        self._rows = rows
        self._keeper = keeper
        self._membership: Outbox[PartsRestored] | None = None
        self._parts: frozenset[PromptPart] = frozenset()
        self._stored: frozenset[PromptPart] | None = None
        self._is_restored = False

    def restore_to(self, membership: Outbox[PartsRestored]) -> None:
        """Set which task judges parts; call before the start."""
        self._membership = membership

    def record(self, parts: frozenset[PromptPart]) -> None:
        """Record the parts that are quarantined now."""
        self._parts = parts

    def forget(self) -> None:
        """Forget what is stored; it is read again before the next write."""
        self._stored = None

    def restore(self) -> None:
        """Restore the stored parts after a start.

        An owner that answers this instance may be seconds away. A call that
        fails is tried again with the next one.
        """
        if not self._is_restored:
            self._is_restored = self._read() is not None

    def sync(self) -> None:
        """Write the parts if they differ from what is stored.

        What is stored is read first, once in a term. A call that fails is
        tried again with the next one.
        """
        if self._stored is None:
            self._stored = self._read()
        elif self._parts != self._stored:
            self._write(self._parts)

    def _read(self) -> frozenset[PromptPart] | None:
        answer = self._store.read_all(Table.QUARANTINE)
        if isinstance(answer, Failure):
            _log.warning(
                'the quarantined parts could not be read: %s', answer.failure()
            )
            return None
        rows = {row.key: row for row in answer.unwrap().rows}
        stored = self._decode(rows.get(QUARANTINE_KEY))
        self._parts |= stored
        if stored and self._membership is not None:
            self._membership.post(PartsRestored(stored))
        return stored

    def _write(self, parts: frozenset[PromptPart]) -> None:
        kept = frozenset(sorted(parts)[:MAX_STORED_PARTS])
        row = RowWritten(
            Table.QUARANTINE, QUARANTINE_KEY, self._rows.encode_quarantine(kept)
        )
        answer = self._store.commit((self._keeper.write_condition(),), (row,))
        if not isinstance(answer, Failure):
            self._stored = parts
            return
        error = answer.failure()
        _log.warning('the quarantined parts were not written: %s', error)
        self._keeper.record_fault(error.fault)

    def _decode(self, row: StoredRow | None) -> frozenset[PromptPart]:
        if row is None or row.body is None:
            return frozenset()
        decoded = self._rows.quarantine(row.key, row.body)
        if isinstance(decoded, Failure):
            _log.error(
                'the row of the quarantined parts is malformed and not used: %s',
                decoded.failure(),
            )
            return frozenset()
        parts: frozenset[PromptPart] = decoded.unwrap()
        return parts

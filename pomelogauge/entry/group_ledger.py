"""Records of groups in the store, written only while the lease is held."""

from collections.abc import Sequence

from returns.result import Failure

from ..decide.group_plan import PlannedGroup
from ..model.fleet import GroupRecord, Member
from ..model.ids import Epoch, GroupName
from ..model.log_parts import Part
from ..tasks.log import part_logger
from .codecs import OwnRows
from .owner_lease_keeper import OwnerLeaseKeeper
from .store import RowWritten, StoreFault, StoreWrites, Table

#: Epochs reserved for each term, so that every epoch of a later term is
#: higher than all before it. More groups in one term would break that.
EPOCHS_PER_TERM = 100_000

_log = part_logger(Part.GROUPS)


class GroupLedger:
    """Reads and writes the records of groups; used by the owner task.

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
        self._epochs_used = 0
        self._term = 0
        #: A write may or may not have been applied, so the records must be
        #: read again.
        self.must_reread = False
        #: The last read left out a record that could not be decoded.
        self.has_unreadable = False

    def read(self) -> tuple[GroupRecord, ...] | None:
        """Return all records; ``None`` if the store does not answer.

        Malformed records are left out and logged.
        """
        answer = self._store.read_all(Table.GROUPS)
        if isinstance(answer, Failure):
            _log.warning(
                'the records of groups could not be read: %s', answer.failure()
            )
            return None
        self.must_reread = False
        self.has_unreadable = False
        records: list[GroupRecord] = []
        for row in answer.unwrap().rows:
            if row.body is None:
                continue
            decoded = self._rows.group(row.key, row.body, row.version)
            if isinstance(decoded, Failure):
                self.has_unreadable = True
                _log.error(
                    'the record of a group is malformed and not used: %s',
                    decoded.failure(),
                )
            else:
                records.append(decoded.unwrap())
        return tuple(records)

    def form(
        self,
        wanted: Sequence[PlannedGroup],
    ) -> tuple[GroupRecord, ...]:
        """Record new groups and return their records.

        All are written in one transaction. Returns none if it fails or its
        outcome is unknown; ``must_reread`` is set in the latter case.
        """
        records = tuple(self._new_record(group) for group in wanted)
        return records if self.write(records) else ()

    def write(self, records: Sequence[GroupRecord]) -> bool:
        """Write records in one transaction; false if it fails."""
        return self._commit(
            tuple(
                RowWritten(
                    Table.GROUPS, record.group, self._rows.encode_group(record)
                )
                for record in records
            )
        )

    def remove(self, names: Sequence[GroupName]) -> bool:
        """Delete records in one transaction; false if it fails."""
        return self._commit(
            tuple(RowWritten(Table.GROUPS, name, None) for name in names)
        )

    def _new_record(self, wanted: PlannedGroup) -> GroupRecord:
        term = self._keeper.owner_lease.term
        if term != self._term:
            self._term = term
            self._epochs_used = 0
        self._epochs_used += 1
        epoch = term * EPOCHS_PER_TERM + self._epochs_used
        return GroupRecord(
            GroupName(f'g{epoch}'),
            Epoch(epoch),
            wanted.service,
            wanted.model,
            tuple(
                Member(target.name, target.address, target.started_at_ms)
                for target in wanted.members
            ),
        )

    def _commit(self, written: tuple[RowWritten, ...]) -> bool:
        answer = self._store.commit((self._keeper.write_condition(),), written)
        if not isinstance(answer, Failure):
            return True
        error = answer.failure()
        _log.warning(
            'a write to the records of groups failed: %s', error.message
        )
        self._keeper.record_fault(error.fault)
        if error.fault is StoreFault.INDETERMINATE:
            self.must_reread = True
        return False

"""Records of groups in the store, written under the owner's tenure."""

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

#: Epochs of one term; a later term has higher epochs than all before it.
EPOCHS_A_TERM = 100_000

_log = part_logger(Part.GROUPS)


class GroupLedger:
    """Reads and writes the records; used by the owner's task.

    Parameters
    ----------
    store
        Connection of the task.
    rows
        Encodes rows.
    keeper
        Gives the condition of every write.

    """

    def __init__(
        self,
        store: StoreWrites,
        rows: OwnRows,
        keeper: OwnerLeaseKeeper,
    ) -> None:
        """Start without a record."""
        self._store = store
        self._rows = rows
        self._keeper = keeper
        self._formed = 0
        self._term = 0
        #: A write may or may not have been done: the records must be read.
        self.is_unsettled = False

    def read(self) -> tuple[GroupRecord, ...] | None:
        """Return all records; ``None`` where the store does not answer."""
        answer = self._store.read_all(Table.GROUPS)
        if isinstance(answer, Failure):
            _log.warning('groups can not be read: %s', answer.failure())
            return None
        self.is_unsettled = False
        records: list[GroupRecord] = []
        for row in answer.unwrap().rows:
            if row.body is None:
                continue
            decoded = self._rows.group(row.key, row.body, row.version)
            if isinstance(decoded, Failure):
                _log.error('group is malformed: %s', decoded.failure())
            else:
                records.append(decoded.unwrap())
        return tuple(records)

    def form(
        self,
        wanted: Sequence[PlannedGroup],
    ) -> tuple[GroupRecord, ...]:
        """Record new groups; none where the write fails."""
        records = tuple(self._record(one) for one in wanted)
        written = tuple(
            RowWritten(
                Table.GROUPS, record.group, self._rows.encode_group(record)
            )
            for record in records
        )
        return records if self._commit(written) else ()

    def remove(self, names: Sequence[GroupName]) -> bool:
        """Remove records; false where the write fails."""
        return self._commit(
            tuple(RowWritten(Table.GROUPS, name, None) for name in names)
        )

    def _record(self, wanted: PlannedGroup) -> GroupRecord:
        term = self._keeper.owner_lease.term
        if term != self._term:
            self._term = term
            self._formed = 0
        self._formed += 1
        epoch = term * EPOCHS_A_TERM + self._formed
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
        answer = self._store.commit((self._keeper.condition(),), written)
        if not isinstance(answer, Failure):
            return True
        error = answer.failure()
        _log.warning('groups are not recorded: %s', error.message)
        if error.fault is StoreFault.CONFLICT:
            self._keeper.lose()
        elif error.fault is StoreFault.INDETERMINATE:
            self.is_unsettled = True
        return False

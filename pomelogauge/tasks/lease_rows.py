"""Reads and conditional writes of the lease rows."""

from collections.abc import Iterable
from dataclasses import dataclass, replace

from returns.result import Failure, Success

from ..model.ids import Epoch, NodeName, ShardName
from ..model.placement import Heartbeat, Lease
from ..tables.protocols import (
    Condition,
    RowKey,
    TableService,
    Transaction,
    Write,
)
from ..wire.rows import (
    HOLDERS,
    LEASES,
    decode_heartbeat,
    decode_lease,
    encode_lease,
)
from .transactions import TransactionNames, commit_with_read_back


@dataclass(frozen=True)
class LeaseScan:
    """All leases and holders.

    Parameters
    ----------
    leases, heartbeats
        The rows.
    unreadable
        Shards whose rows are malformed; they are left alone.

    """

    leases: tuple[Lease, ...]
    heartbeats: tuple[Heartbeat, ...]
    unreadable: tuple[ShardName, ...]


class LeaseRows:
    """The tables ``leases`` and ``holders`` on the keeper's connection."""

    def __init__(self, tables: TableService, names: TransactionNames) -> None:
        """Take the connection and the names of transactions."""
        self._tables = tables
        self._names = names

    def scan(self) -> LeaseScan | None:
        """Read both tables; ``None`` when one can't be read."""
        holders = self._tables.scan(HOLDERS)
        leases = self._tables.scan(LEASES)
        if isinstance(holders, Failure) or isinstance(leases, Failure):
            return None
        beats = [decode_heartbeat(row) for row in holders.unwrap()]
        found = [decode_lease(row) for row in leases.unwrap()]
        return LeaseScan(
            tuple(row.unwrap() for row in found if isinstance(row, Success)),
            tuple(row.unwrap() for row in beats if isinstance(row, Success)),
            tuple(
                ShardName(row.failure().key.key)
                for row in found
                if isinstance(row, Failure)
            ),
        )

    def take(
        self,
        old: Lease,
        holder: NodeName,
        conditions: Iterable[Condition],
    ) -> Lease | None:
        """Take a lease with the next epoch; ``None`` when that failed."""
        new = Lease(old.shard, holder, Epoch(old.epoch + 1))
        key = RowKey(LEASES, old.shard)
        outcome = commit_with_read_back(
            self._tables,
            Transaction(
                self._names.next_name(f'take {old.shard}'),
                (Condition(key, old.version), *conditions),
                (Write(key, encode_lease(new)),),
            ),
        )
        if isinstance(outcome, Failure):
            return None
        return replace(new, version=outcome.unwrap().versions[0])

    def release(self, lease: Lease) -> None:
        """Give a lease back; its epoch stays."""
        key = RowKey(LEASES, lease.shard)
        freed = replace(lease, holder=NodeName(''))
        commit_with_read_back(
            self._tables,
            Transaction(
                self._names.next_name(f'release {lease.shard}'),
                (Condition(key, lease.version),),
                (Write(key, encode_lease(freed)),),
            ),
        )

    def forget(self, heartbeat: Heartbeat) -> None:
        """Delete the unchanged row of a silent holder."""
        key = RowKey(HOLDERS, heartbeat.holder)
        self._tables.commit(
            Transaction(
                self._names.next_name(f'forget {heartbeat.holder}'),
                (Condition(key, heartbeat.version),),
                (Write(key, None),),
            )
        )

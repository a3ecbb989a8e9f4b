"""Reads and conditional writes of the leases and their holders."""

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
    """All rows of leases and holders at one time.

    Parameters
    ----------
    leases, heartbeats
        The decoded rows.
    unreadable
        Shards whose rows are malformed; their leases are left alone.

    """

    leases: tuple[Lease, ...]
    heartbeats: tuple[Heartbeat, ...]
    unreadable: tuple[ShardName, ...]


class LeaseRows:
    """The tables ``leases`` and ``holders`` on the keeper's connection."""

    def __init__(self, tables: TableService, names: TransactionNames) -> None:
        """Keep the connection of the lease keeper's task."""
        self._tables = tables
        self._names = names

    def scan(self) -> LeaseScan | None:
        """Read both tables; ``None`` when one can't be read."""
        holders = self._tables.scan(HOLDERS)
        leases = self._tables.scan(LEASES)
        if isinstance(holders, Failure) or isinstance(leases, Failure):
            return None
        heartbeats = [decode_heartbeat(row) for row in holders.unwrap()]
        decoded = [decode_lease(row) for row in leases.unwrap()]
        return LeaseScan(
            tuple(row.unwrap() for row in decoded if isinstance(row, Success)),
            tuple(
                row.unwrap() for row in heartbeats if isinstance(row, Success)
            ),
            tuple(
                ShardName(row.failure().key.key)
                for row in decoded
                if isinstance(row, Failure)
            ),
        )

    def take(
        self,
        old: Lease,
        holder: NodeName,
        conditions: Iterable[Condition],
    ) -> Lease | None:
        """Take a lease with the next epoch; ``None`` when the write failed.

        Parameters
        ----------
        old
            The lease as last scanned; the write fails if it has changed.
        holder
            Name of the new holder.
        conditions
            Further rows that must be unchanged.

        """
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
        """Release a lease; its epoch stays, so that the next one is higher."""
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

    def delete_holder(self, heartbeat: Heartbeat) -> None:
        """Delete the row of an expired holder unless it has been renewed."""
        key = RowKey(HOLDERS, heartbeat.holder)
        self._tables.commit(
            Transaction(
                self._names.next_name(f'forget {heartbeat.holder}'),
                (Condition(key, heartbeat.version),),
                (Write(key, None),),
            )
        )

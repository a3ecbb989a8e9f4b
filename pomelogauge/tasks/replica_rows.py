"""Reads and conditional writes of the rows of replicas and members."""

import logging
from collections.abc import Sequence
from dataclasses import replace

from returns.result import Failure, Result, Success

from ..decide.formation import row_key_of
from ..decide.shard_knowledge import ReplicaScan
from ..model.ids import InstanceName, ReplicaId
from ..model.placement import Lease, Membership, Replica
from ..tables.protocols import (
    Committed,
    Condition,
    PlatformError,
    Row,
    RowKey,
    TableService,
    Transaction,
    Write,
)
from ..wire.rows import (
    LEASES,
    MEMBERS,
    REPLICAS,
    decode_membership,
    decode_replica,
    encode_membership,
    encode_replica,
)
from .transactions import TransactionNames, commit_with_read_back

_log = logging.getLogger(__name__)


class ReplicaRows:
    """The tables ``replicas`` and ``members``; part of the owner's task."""

    def __init__(self, tables: TableService, names: TransactionNames) -> None:
        """Keep the connection of the owner's task."""
        self._tables = tables
        self._names = names

    def scan(self, before: ReplicaScan | None) -> ReplicaScan | None:
        """Read the rows; ``None`` when a read fails.

        Parameters
        ----------
        before
            Earlier scan whose memberships are still valid, since only the
            holder of the shard's lease changes them; ``None`` reads them too.

        """
        replicas = self._tables.scan(REPLICAS)
        if isinstance(replicas, Failure):
            return None
        decoded = [decode_replica(row) for row in replicas.unwrap()]
        readable = tuple(
            row.unwrap() for row in decoded if isinstance(row, Success)
        )
        for row in decoded:
            if isinstance(row, Failure):
                _log.error('replicas: row is malformed: %s', row.failure())
        if before is not None:
            return replace(before, replicas=readable)
        members = self._tables.scan(MEMBERS)
        if isinstance(members, Failure):
            return None
        return _with_members(readable, members.unwrap())

    def claim(
        self,
        lease: Lease,
        wanted: Replica,
        scan: ReplicaScan,
    ) -> Result[Replica, PlatformError]:
        """Insert a replica's row and claim all its members in one transaction."""
        rows = [scan.membership(name) for name in _names(wanted)]
        claimed = [replace(row, replica=wanted.replica) for row in rows]
        text = encode_replica(wanted)
        outcome = self._commit(lease, wanted, text, claimed)
        return outcome.map(
            lambda committed: replace(wanted, version=committed.versions[0])
        )

    def write_state(
        self,
        lease: Lease,
        replica: Replica,
    ) -> Result[Committed, PlatformError]:
        """Write a replica's state, which the plans of other shards rely on."""
        return self._commit(lease, replica, encode_replica(replica), ())

    def release(
        self,
        lease: Lease,
        released: Replica,
        scan: ReplicaScan,
    ) -> Result[Committed, PlatformError]:
        """Delete a replica's row and free all its members in one transaction."""
        rows = [scan.membership(name) for name in _names(released)]
        freed = [
            replace(row, replica=ReplicaId(''))
            if row.replica == released.replica
            else row
            for row in rows
        ]
        return self._commit(lease, released, None, freed)

    def _commit(
        self,
        lease: Lease,
        replica: Replica,
        text: str | None,
        rows: Sequence[Membership],
    ) -> Result[Committed, PlatformError]:
        key = RowKey(REPLICAS, row_key_of(replica.replica))
        return commit_with_read_back(
            self._tables,
            Transaction(
                self._names.next_name(replica.replica),
                (
                    Condition(RowKey(LEASES, lease.shard), lease.version),
                    Condition(key, replica.version),
                    *(_unchanged(row) for row in rows),
                ),
                (
                    Write(key, text),
                    *(_write(row, replica) for row in rows),
                ),
            ),
        )


def _with_members(
    replicas: tuple[Replica, ...],
    members: Sequence[Row],
) -> ReplicaScan:
    rows = [decode_membership(row) for row in members]
    readable = [row.unwrap() for row in rows if isinstance(row, Success)]
    return ReplicaScan(
        replicas,
        {row.instance: row for row in readable},
        frozenset(
            InstanceName(row.failure().key.key)
            for row in rows
            if isinstance(row, Failure)
        ),
    )


def _unchanged(row: Membership) -> Condition:
    return Condition(RowKey(MEMBERS, row.instance), row.version)


def _write(row: Membership, replica: Replica) -> Write:
    claimed = replace(row, epoch=max(row.epoch, replica.epoch))
    key = RowKey(MEMBERS, row.instance)
    return Write(key, encode_membership(claimed))


def _names(replica: Replica) -> tuple[InstanceName, ...]:
    return tuple(member.instance for member in replica.members)

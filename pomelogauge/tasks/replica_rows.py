"""Reads and conditional writes of replicas and their members."""

import logging
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field, replace

from returns.result import Failure, Result, Success

from ..decide.formation import slot_of
from ..model.ids import InstanceName, ReplicaId
from ..model.placement import Lease, Membership, Replica
from ..platform.protocols import (
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
from .settle import TransactionNames, commit_settled

_log = logging.getLogger(__name__)


@dataclass(frozen=True)
class ReplicaScan:
    """The rows of ``replicas`` and ``members``.

    Parameters
    ----------
    replicas
        Of every shard.
    memberships
        By instance; an instance without a row was never claimed.
    unreadable
        Instances whose rows are malformed; they are left alone.

    """

    replicas: tuple[Replica, ...] = ()
    memberships: Mapping[InstanceName, Membership] = field(default_factory=dict)
    unreadable: frozenset[InstanceName] = frozenset()

    def membership(self, instance: InstanceName) -> Membership:
        """Return the membership of an instance."""
        return self.memberships.get(instance, Membership(instance))

    def is_free(self, instance: InstanceName) -> bool:
        """Return whether an instance belongs to no replica."""
        if instance in self.unreadable:
            return False
        return not self.membership(instance).replica


class ReplicaRows:
    """The tables on the connection of a shard's owner."""

    def __init__(self, tables: TableService, names: TransactionNames) -> None:
        """Take the connection and the names of transactions."""
        self._tables = tables
        self._names = names

    def scan(self, before: ReplicaScan | None) -> ReplicaScan | None:
        """Read the rows; ``None`` when they can't be read.

        Parameters
        ----------
        before
            Earlier scan whose memberships still hold, since only the holder
            of the shard's lease changes them.

        """
        replicas = self._tables.scan(REPLICAS)
        if isinstance(replicas, Failure):
            return None
        found = [decode_replica(row) for row in replicas.unwrap()]
        readable = tuple(
            row.unwrap() for row in found if isinstance(row, Success)
        )
        for row in found:
            if isinstance(row, Failure):
                _log.error('replicas: %s', row.failure())
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
        """Insert a replica's row and claim all its members, or nothing."""
        rows = [scan.membership(name) for name in _names(wanted)]
        outcome = self._commit(
            lease,
            wanted,
            encode_replica(wanted),
            [replace(row, replica=wanted.replica) for row in rows],
        )
        return outcome.map(
            lambda committed: replace(wanted, version=committed.versions[0])
        )

    def release(
        self,
        lease: Lease,
        gone: Replica,
        scan: ReplicaScan,
    ) -> Result[Committed, PlatformError]:
        """Delete a replica's row and free all its members, or nothing."""
        rows = [scan.membership(name) for name in _names(gone)]
        return self._commit(
            lease,
            gone,
            None,
            [
                replace(row, replica=ReplicaId(''))
                for row in rows
                if row.replica == gone.replica
            ],
        )

    def _commit(
        self,
        lease: Lease,
        replica: Replica,
        text: str | None,
        rows: Sequence[Membership],
    ) -> Result[Committed, PlatformError]:
        key = RowKey(REPLICAS, slot_of(replica.replica))
        return commit_settled(
            self._tables,
            Transaction(
                self._names.fresh(replica.replica),
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
    claimed = replace(row, epoch=replica.epoch)
    key = RowKey(MEMBERS, row.instance)
    return Write(key, encode_membership(claimed))


def _names(replica: Replica) -> tuple[InstanceName, ...]:
    return tuple(member.instance for member in replica.members)

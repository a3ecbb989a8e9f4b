"""The row with which a controller renews all its leases at once."""

from dataclasses import dataclass, replace
from enum import StrEnum

from returns.result import Failure, Success

from ..decide.leases import held_until_s
from ..model.ids import ABSENT_ROW, Incarnation, NodeName, RowVersion
from ..model.placement import Heartbeat
from ..model.times import ControlTimes
from ..tables.protocols import (
    Condition,
    PlatformFault,
    RowKey,
    TableService,
    Transaction,
    Write,
)
from ..wire.rows import HOLDERS, decode_heartbeat, encode_heartbeat
from .clock import Clock
from .transactions import TransactionNames, commit_with_read_back


class Renewal(StrEnum):
    """Outcome of one renewal.

    ``SUPERSEDED``: another incarnation of the same name has written the row.
    """

    DONE = 'done'
    FAILED = 'failed'
    SUPERSEDED = 'superseded'


@dataclass(frozen=True)
class _Successor:
    """A row that another incarnation of the same name has written.

    Parameters
    ----------
    version
        Row version when it was last read.
    expires_at_s
        Monotonic time at which its leases have expired if it is unchanged.

    """

    version: RowVersion
    expires_at_s: float


class HolderRow:
    """The controller's row of ``holders``; part of the lease keeper's task.

    Parameters
    ----------
    node, incarnation
        Name and start of this process.
    tables
        Connection of the lease keeper.
    times
        Term and margin of the leases.
    clock
        Monotonic clock of this process.

    """

    def __init__(
        self,
        node: NodeName,
        incarnation: Incarnation,
        tables: TableService,
        times: ControlTimes,
        clock: Clock,
    ) -> None:
        """Start without a row."""
        self.heartbeat = Heartbeat(node, incarnation, 0)
        #: Monotonic time at which all leases of this controller expire.
        self.held_until_s = float('-inf')
        #: Monotonic time of the first write by this incarnation; infinite
        #: before.
        self.registered_s = float('inf')
        self._successor: _Successor | None = None
        self._tables = tables
        self._times = times
        self._clock = clock
        self._names = TransactionNames(node, incarnation)

    @property
    def is_written(self) -> bool:
        """Whether the row exists as far as this process knows."""
        return self.heartbeat.version != ABSENT_ROW

    @property
    def condition(self) -> Condition:
        """Condition that this controller's row is unchanged."""
        key = RowKey(HOLDERS, self.heartbeat.holder)
        return Condition(key, self.heartbeat.version)

    def renew(self) -> Renewal:
        """Write the row once.

        The lease term counts from before the write was sent, so that this
        process stops relying on a lease before others see it expire.
        """
        sent_at_s = self._clock.now_s()
        if self.heartbeat.version == ABSENT_ROW and not self._read_version(
            sent_at_s
        ):
            return Renewal.FAILED
        wanted = replace(self.heartbeat, count=self.heartbeat.count + 1)
        outcome = commit_with_read_back(
            self._tables,
            Transaction(
                self._names.next_name('renew'),
                (self.condition,),
                (Write(self.condition.key, encode_heartbeat(wanted)),),
            ),
        )
        if isinstance(outcome, Success):
            version = outcome.unwrap().versions[0]
            self._record_renewal(replace(wanted, version=version), sent_at_s)
            return Renewal.DONE
        if outcome.failure().fault == PlatformFault.CONFLICT:
            return self._read_back()
        return Renewal.FAILED

    def delete(self) -> None:
        """Delete the row; call it after all leases were released or expired.

        If the answer is lost, the row is read again before the next write, or
        another controller deletes it once it is no longer renewed.
        """
        self._tables.commit(
            Transaction(
                self._names.next_name('withdraw'),
                (self.condition,),
                (Write(self.condition.key, None),),
            )
        )
        self._reset()

    def _record_renewal(self, heartbeat: Heartbeat, sent_at_s: float) -> None:
        self.heartbeat = heartbeat
        self.held_until_s = held_until_s(sent_at_s, self._times)
        self.registered_s = min(self.registered_s, self._clock.now_s())

    def _read_version(self, now_s: float) -> bool:
        """Read the row's version before the first write.

        False when the read fails or a successor may still be live.
        """
        found = self._tables.read(self.condition.key)
        if isinstance(found, Failure):
            return False
        row = found.unwrap()
        version = row.version if row else ABSENT_ROW
        if (
            row
            and self._successor
            and not self._successor_expired(version, now_s)
        ):
            return False
        self._successor = None
        self.heartbeat = replace(self.heartbeat, version=version)
        return True

    def _successor_expired(self, version: RowVersion, now_s: float) -> bool:
        # A superseded process waits until its successor stops renewing;
        # otherwise the two would supersede each other in turn for ever.
        successor = self._successor
        if successor and successor.version == version:
            return now_s >= successor.expires_at_s
        self._note_successor(version)
        return False

    def _read_back(self) -> Renewal:
        found = self._tables.read(self.condition.key)
        if isinstance(found, Failure):
            return Renewal.FAILED
        row = found.unwrap()
        written = decode_heartbeat(row).value_or(None) if row else None
        if written and written.incarnation == self.heartbeat.incarnation:
            # An earlier renewal by this incarnation took effect late.
            self.heartbeat = replace(self.heartbeat, version=written.version)
            return Renewal.FAILED
        if row:
            self._note_successor(row.version)
        self._reset()
        return Renewal.SUPERSEDED

    def _reset(self) -> None:
        self.heartbeat = replace(self.heartbeat, version=ABSENT_ROW)
        self.held_until_s = float('-inf')
        self.registered_s = float('inf')

    def _note_successor(self, version: RowVersion) -> None:
        wait_s = self._times.lease_term_s + self._times.lease_margin_s
        expires_at_s = self._clock.now_s() + wait_s
        self._successor = _Successor(version, expires_at_s)

"""The row by which a controller renews all its leases at once."""

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
    """Outcome of one renewal."""

    DONE = 'done'
    FAILED = 'failed'
    SUPERSEDED = 'superseded'


@dataclass(frozen=True)
class _Successor:
    """A row that another incarnation of the same name has written."""

    version: RowVersion
    silent_at_s: float


class HolderRow:
    """The own row of ``holders``, part of the lease keeper's task.

    Parameters
    ----------
    node, incarnation
        Name and life of this process.
    tables
        The keeper's connection.
    times
        Periods.
    clock
        Own clock.

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
        #: When all leases lapse, by the own clock.
        self.held_until_s = float('-inf')
        #: When this incarnation first wrote the row; infinite before.
        self.registered_s = float('inf')
        self._successor: _Successor | None = None
        self._tables = tables
        self._times = times
        self._clock = clock
        self._names = TransactionNames(node, incarnation)

    @property
    def is_written(self) -> bool:
        """Whether the row stands as far as is known."""
        return self.heartbeat.version != ABSENT_ROW

    @property
    def condition(self) -> Condition:
        """Return the condition that the own row is unchanged."""
        key = RowKey(HOLDERS, self.heartbeat.holder)
        return Condition(key, self.heartbeat.version)

    def renew(self) -> Renewal:
        """Write the row once; the leases count from before it was sent."""
        sent_at_s = self._clock.now_s()
        if self.heartbeat.version == ABSENT_ROW and not self._find(sent_at_s):
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
            self._renewed(replace(wanted, version=version), sent_at_s)
            return Renewal.DONE
        if outcome.failure().fault == PlatformFault.CONFLICT:
            return self._read_back()
        return Renewal.FAILED

    def delete(self) -> None:
        """Withdraw the row; the leases must have been given back.

        Where the answer is lost, the row is found again before it is written
        the next time, or swept once it is silent.
        """
        self._tables.commit(
            Transaction(
                self._names.next_name('withdraw'),
                (self.condition,),
                (Write(self.condition.key, None),),
            )
        )
        self._forget()

    def _renewed(self, heartbeat: Heartbeat, sent_at_s: float) -> None:
        self.heartbeat = heartbeat
        self.held_until_s = held_until_s(sent_at_s, self._times)
        self.registered_s = min(self.registered_s, self._clock.now_s())

    def _find(self, now_s: float) -> bool:
        """Find the row's version before the first write."""
        found = self._tables.read(self.condition.key)
        if isinstance(found, Failure):
            return False
        row = found.unwrap()
        version = row.version if row else ABSENT_ROW
        if row and self._successor and not self._outlasted(version, now_s):
            return False
        self._successor = None
        self.heartbeat = replace(self.heartbeat, version=version)
        return True

    def _outlasted(self, version: RowVersion, now_s: float) -> bool:
        # A superseded process waits until its successor is silent, or the
        # two would drive each other out for ever.
        successor = self._successor
        if successor and successor.version == version:
            return now_s >= successor.silent_at_s
        self._await(version)
        return False

    def _read_back(self) -> Renewal:
        found = self._tables.read(self.condition.key)
        if isinstance(found, Failure):
            return Renewal.FAILED
        row = found.unwrap()
        written = decode_heartbeat(row).value_or(None) if row else None
        if written and written.incarnation == self.heartbeat.incarnation:
            # An earlier renewal of ours took effect late.
            self.heartbeat = replace(self.heartbeat, version=written.version)
            return Renewal.FAILED
        if row:
            self._await(row.version)
        self._forget()
        return Renewal.SUPERSEDED

    def _forget(self) -> None:
        self.heartbeat = replace(self.heartbeat, version=ABSENT_ROW)
        self.held_until_s = float('-inf')
        self.registered_s = float('inf')

    def _await(self, version: RowVersion) -> None:
        wait_s = self._times.lease_term_s + self._times.lease_margin_s
        silent_at_s = self._clock.now_s() + wait_s
        self._successor = _Successor(version, silent_at_s)

"""Renews this instance's owner lease, or takes over an expired one."""

from collections.abc import Sequence
from dataclasses import replace
from types import MappingProxyType

from returns.result import Failure, Success

from ..charts.reader import load_chart
from ..decide.owner_watch import POLL_INTERVAL_S, SMALL_CORES, OwnerWatch
from ..decide.ownership_chart import (
    OWNERSHIP_WORDS,
    OwnershipAction,
    OwnershipEvent,
    OwnershipFacts,
    OwnershipState,
)
from ..model.fleet import EntryInstance
from ..model.ids import NodeName
from ..model.log_parts import Part
from ..tasks.clock import Clock
from ..tasks.log import part_logger
from .codecs import OwnRows
from .messages import OwnerAnswerMissed, OwnerAnswerReceived
from .owner_lease_rows import OwnerLeaseRows, StoredLease, write_condition
from .ownership import OwnerLease, OwnershipStatus
from .store import RowExpected, StoreFault, StoreWrites

#: Seconds between two renewals.
RENEWAL_INTERVAL_S = 0.5
#: Seconds from the start of the last successful renewal for which the owner
#: may act. Other instances take over only later, see ``OwnerWatch``.
LEASE_S = 1.3

#: Events of the lease that follow from a failed write under it.
_ENDS = MappingProxyType(
    {
        StoreFault.CONFLICT: OwnershipEvent.TAKEN_BY_OTHER,
        StoreFault.RESTORED: OwnershipEvent.STORE_RESTORED,
    }
)
_FACTS = OwnershipFacts()
_log = part_logger(Part.LEASE)


class OwnerLeaseKeeper:
    """Holds the owner lease, or waits in standby to take it over.

    Used by the owner task only.

    Parameters
    ----------
    own
        Holder and address of this process. The holder contains the
        incarnation, so no other process ever has the same.
    store
        Connection to the store; owned by the task.
    rows
        Encodes and decodes rows.
    clock
        Local clock; it goes on during a suspension of the machine.
    cores
        Processor cores of this instance.

    """

    def __init__(
        self,
        own: OwnerLease,
        store: StoreWrites,
        rows: OwnRows,
        clock: Clock,
        cores: float = SMALL_CORES,
    ) -> None:
        """Start in standby, with the owner's time-out beginning now."""
        self._own = own
        self._lease_rows = OwnerLeaseRows(store, rows)
        self._clock = clock
        self._chart = load_chart('ownership', OWNERSHIP_WORDS)
        self._state = self._chart.initial
        self._renewed_s = float('-inf')
        self._next_s = 0.0
        self._watch = OwnerWatch(_node_of(own), clock.now_s(), cores)
        self.owner_lease = OwnerLease()

    @property
    def is_held(self) -> bool:
        """Whether this instance may act as the owner now.

        False once the last renewal is older than ``LEASE_S``.
        """
        if self._state is not OwnershipState.HELD:
            return False
        return self._clock.now_s() - self._renewed_s <= LEASE_S

    def ownership(self) -> OwnershipStatus:
        """Return what this instance knows of the owner, to be published."""
        return OwnershipStatus(
            self.is_held,
            self.owner_lease.term,
            self.owner_lease.address,
            self._watch.renewal_version,
            self._renewed_s + LEASE_S,
        )

    def update_rank(self, instances: Sequence[EntryInstance]) -> None:
        """Update this instance's rank in the succession order."""
        self._watch.update_rank(instances, _node_of(self.owner_lease))

    def record_answer(self, answer: OwnerAnswerReceived) -> None:
        """Record an answer of the owner to a report.

        Answers for another term are ignored.
        """
        if answer.term != self.owner_lease.term:
            return
        now_s = self._clock.now_s()
        if self._watch.record_answer(answer.renewal_version, now_s):
            self._next_s = now_s + self._watch.poll_interval_s()
        elif self._watch.has_timed_out(now_s):
            # The owner is alive, but its renewals do not reach the store.
            self._next_s = min(self._next_s, now_s + POLL_INTERVAL_S)

    def record_missed_answer(self, missed: OwnerAnswerMissed) -> None:
        """Record that the owner has not answered a report.

        Answers missed from an owner of another term are ignored.
        """
        if missed.term != self.owner_lease.term:
            return
        if self._watch.record_missed_answer():
            self._next_s = 0

    def write_condition(self) -> RowExpected:
        """Return the condition of every write of the owner."""
        return write_condition(self.owner_lease)

    def tick(self) -> OwnershipAction | None:
        """Renew the lease, or poll it in standby, if that is due.

        Returns
        -------
        OwnershipAction or None
            What the owner task has to do about its groups; ``None`` where
            nothing has changed.

        """
        now_s = self._clock.now_s()
        if now_s < self._next_s:
            return None
        if self._state is OwnershipState.STANDBY:
            return self._poll(now_s)
        return self._renew(now_s)

    def due_s(self) -> float:
        """Return the seconds until the next call of ``tick`` is due."""
        return max(0, self._next_s - self._clock.now_s())

    def record_fault(self, fault: StoreFault) -> OwnershipAction | None:
        """Record that a write under the lease has failed.

        The lease has ended if ``write_condition`` did not hold: another
        instance has taken over, or the store was put back after the lease was
        taken, so that another one may find none.
        """
        event = _ENDS.get(fault)
        if event is None:
            return None
        _log.warning(
            'owner term %s has ended: %s', self.owner_lease.term, event
        )
        self._next_s = self._clock.now_s()
        return self._step(event)

    def _renew(self, now_s: float) -> OwnershipAction | None:
        self._next_s = now_s + RENEWAL_INTERVAL_S
        answer = self._lease_rows.renew(self.owner_lease)
        if isinstance(answer, Success):
            self._renewed_s = now_s
            self._watch.record_renewal(answer.unwrap(), now_s)
            return self._step(OwnershipEvent.RENEWED)
        fault = answer.failure().fault
        if fault in _ENDS:
            return self.record_fault(fault)
        if self._clock.now_s() - self._renewed_s > LEASE_S:
            return self._step(OwnershipEvent.LAPSED)
        return None

    def _poll(self, now_s: float) -> OwnershipAction | None:
        self._next_s = now_s + self._watch.poll_interval_s()
        answer = self._lease_rows.read(self.owner_lease)
        # The owner may have renewed its lease at any time during the read.
        polled_s = self._clock.now_s()
        if isinstance(answer, Failure):
            # An outage of the store says nothing about the owner.
            self._watch.reset(polled_s)
            return None
        stored = answer.unwrap()
        if stored.lease.version != self.owner_lease.version:
            self._watch.reset(polled_s)
        self.owner_lease = stored.lease
        self._watch.record_renewal(stored.renewal_version, polled_s)
        self._watch.update_era(stored.era, polled_s)
        if stored.lease.holder == self._own.holder and stored.is_of_era():
            return self._renew_own(now_s)
        has_owner = bool(stored.lease.term)
        if not self._watch.may_take(polled_s, has_owner=has_owner):
            return None
        if self._step(OwnershipEvent.OWNER_TIMED_OUT) is OwnershipAction.TAKE:
            return self._take_over(now_s, stored)
        return None

    def _renew_own(self, now_s: float) -> OwnershipAction | None:
        """Renew a lease that this instance took without an answer.

        Others wait from the last renewal on, so that the lease in the row
        alone does not allow to act.
        """
        answer = self._lease_rows.renew(self.owner_lease)
        if isinstance(answer, Failure):
            self._next_s = now_s + POLL_INTERVAL_S
            return None
        self._renewed_s = now_s
        self._next_s = now_s + RENEWAL_INTERVAL_S
        self._watch.record_renewal(answer.unwrap(), now_s)
        return self._step(OwnershipEvent.TAKEN)

    def _take_over(
        self, now_s: float, stored: StoredLease
    ) -> OwnershipAction | None:
        new_lease = replace(self._own, term=stored.next_term())
        answer = self._lease_rows.take(stored, new_lease)
        if isinstance(answer, Failure):
            _log.info(
                'owner term %s could not be taken: %s',
                new_lease.term,
                answer.failure(),
            )
            self._next_s = now_s
            return None
        self.owner_lease = replace(new_lease, version=answer.unwrap())
        self._watch.record_renewal(self.owner_lease.version, now_s)
        self._renewed_s = now_s
        self._next_s = min(self._next_s, now_s + RENEWAL_INTERVAL_S)
        _log.info(
            'this instance is the owner in term %s',
            new_lease.term,
            extra={
                'term': new_lease.term,
                'row_version': str(self.owner_lease.version),
                'beat': str(stored.renewal_version),
            },
        )
        return self._step(OwnershipEvent.TAKEN)

    def _step(self, event: OwnershipEvent) -> OwnershipAction | None:
        before = self._state
        move = self._chart.step(before, event, _FACTS)
        self._state = move.state
        if move.state is not before:
            _log.info(
                'ownership of this instance: %s after %s',
                move.state,
                event,
                extra={'term': self.owner_lease.term},
            )
        return move.action


def _node_of(owner_lease: OwnerLease) -> NodeName:
    return NodeName(owner_lease.holder.partition(' ')[0])

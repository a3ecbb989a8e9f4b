"""Takes, renews and watches the ownership of all groups in the store."""

from collections.abc import Sequence
from dataclasses import replace

from returns.result import Failure, Success

from ..charts.reader import load_chart
from ..decide.owner_watch import POLL_INTERVAL_S, OwnerWatch
from ..decide.ownership_chart import (
    OWNERSHIP_WORDS,
    OwnershipAction,
    OwnershipEvent,
    OwnershipFacts,
    OwnershipState,
)
from ..model.fleet import EntryInstance
from ..model.ids import ABSENT_ROW, NodeName, RowVersion
from ..model.log_parts import Part
from ..model.rows import StoredRow
from ..tasks.clock import Clock
from ..tasks.log import part_logger
from .codecs import OwnRows
from .messages import OwnerAnswerMissed, OwnerAnswerReceived
from .ownership import OwnerLease, OwnershipStatus
from .store import (
    RowExpected,
    RowWritten,
    StoreFault,
    StoreWrites,
    Table,
)

#: Seconds between two renewals.
RENEW_S = 0.5
#: Seconds after the start of the last renewal in which the owner may act.
LEASE_S = 1.3

OWNER_LEASE_KEY = 'tenure'
RENEWAL_KEY = 'beat'

_FACTS = OwnershipFacts()
_log = part_logger(Part.LEASE)


class OwnerLeaseKeeper:
    """Owns this instance's view of the ownership; used by one task.

    Parameters
    ----------
    own
        Holder and address of this process; the holder is unique for ever.
    store
        Connection of the task.
    rows
        Encodes rows.
    clock
        Own clock, suspensions included.

    """

    def __init__(
        self,
        own: OwnerLease,
        store: StoreWrites,
        rows: OwnRows,
        clock: Clock,
    ) -> None:
        """Start in standby."""
        self._own = own
        self._store = store
        self._rows = rows
        self._clock = clock
        self._chart = load_chart('ownership', OWNERSHIP_WORDS)
        self._state = self._chart.initial
        self._renewed_s = float('-inf')
        self._next_s = 0.0
        self._watch = OwnerWatch(_node_of(own), clock.now_s())
        self.owner_lease = OwnerLease()

    @property
    def is_held(self) -> bool:
        """Whether this instance may act as the owner now."""
        if self._state is not OwnershipState.HELD:
            return False
        return self._clock.now_s() - self._renewed_s <= LEASE_S

    def ownership(self) -> OwnershipStatus:
        """Return who the owner is."""
        return OwnershipStatus(
            self.is_held,
            self.owner_lease.term,
            self.owner_lease.address,
            self._watch.renewal_version,
        )

    def update_rank(self, instances: Sequence[EntryInstance]) -> None:
        """Find the place of this instance in the line of successors."""
        self._watch.update_rank(instances, _node_of(self.owner_lease))

    def record_answer(self, heard: OwnerAnswerReceived) -> None:
        """Take notice that the owner answers."""
        if heard.term != self.owner_lease.term:
            return
        now_s = self._clock.now_s()
        if self._watch.record_answer(heard.renewal_version, now_s):
            self._next_s = now_s + self._watch.poll_interval_s()
        elif self._watch.has_timed_out(now_s):
            # It answers, but its renewals do not reach the store.
            self._next_s = min(self._next_s, now_s + POLL_INTERVAL_S)

    def record_missed_answer(self, unheard: OwnerAnswerMissed) -> None:
        """Take notice that the owner does not answer."""
        if unheard.term != self.owner_lease.term:
            return
        if self._watch.record_missed_answer(unheard.is_refused):
            self._next_s = 0

    def condition(self) -> RowExpected:
        """Return the condition of every write of the owner."""
        return RowExpected(
            Table.OWNER, OWNER_LEASE_KEY, self.owner_lease.version
        )

    def tick(self) -> OwnershipAction | None:
        """Renew or look when it is due.

        Returns
        -------
        OwnershipAction or None
            What the owner's task has to do.

        """
        now_s = self._clock.now_s()
        if now_s < self._next_s:
            return None
        if self._state is OwnershipState.STANDBY:
            return self._look(now_s)
        return self._renew(now_s)

    def due_s(self) -> float:
        """Return the seconds until the next call of ``tick`` is due."""
        return max(0, self._next_s - self._clock.now_s())

    def lose(self) -> OwnershipAction | None:
        """Take notice that a condition on the tenure did not hold."""
        return self._step(OwnershipEvent.TAKEN_BY_OTHER)

    def _renew(self, now_s: float) -> OwnershipAction | None:
        self._next_s = now_s + RENEW_S
        written = (RowWritten(Table.OWNER, RENEWAL_KEY, b'{}'),)
        answer = self._store.commit((self.condition(),), written)
        if isinstance(answer, Success):
            self._renewed_s = now_s
            self._watch.record_renewal(answer.unwrap(), now_s)
            return self._step(OwnershipEvent.RENEWED)
        if answer.failure().fault is StoreFault.CONFLICT:
            _log.warning('term %s has ended', self.owner_lease.term)
            return self.lose()
        if self._clock.now_s() - self._renewed_s > LEASE_S:
            return self._step(OwnershipEvent.LAPSED)
        return None

    def _look(self, now_s: float) -> OwnershipAction | None:
        self._next_s = now_s + self._watch.poll_interval_s()
        answer = self._store.read_all(Table.OWNER)
        if isinstance(answer, Failure):
            # Without an answer nothing is known of the owner's silence.
            self._watch.reset(self._clock.now_s())
            return None
        rows = {row.key: row for row in answer.unwrap().rows}
        found = self._decode(rows.get(OWNER_LEASE_KEY))
        if found.term != self.owner_lease.term:
            self._watch.reset(now_s)
        self.owner_lease = found
        renewal_version = rows.get(RENEWAL_KEY)
        version = (
            ABSENT_ROW if renewal_version is None else renewal_version.version
        )
        self._watch.record_renewal(version, now_s)
        if found.holder == self._own.holder:
            self._renewed_s = now_s
            self._next_s = min(self._next_s, now_s + RENEW_S)
            return self._step(OwnershipEvent.TAKEN)
        if found.term and not self._watch.has_timed_out(self._clock.now_s()):
            return None
        if self._step(OwnershipEvent.OWNER_TIMED_OUT) is OwnershipAction.TAKE:
            return self._take(now_s, version)
        return None

    def _take(
        self,
        now_s: float,
        renewal_version: RowVersion,
    ) -> OwnershipAction | None:
        taken = replace(self._own, term=self.owner_lease.term + 1)
        body = self._rows.encode_owner_lease(taken)
        expected = (
            self.condition(),
            RowExpected(Table.OWNER, RENEWAL_KEY, renewal_version),
        )
        written = (
            RowWritten(Table.OWNER, OWNER_LEASE_KEY, body),
            RowWritten(Table.OWNER, RENEWAL_KEY, b'{}'),
        )
        answer = self._store.commit(expected, written)
        if isinstance(answer, Failure):
            _log.info('term %s is not taken: %s', taken.term, answer.failure())
            self._next_s = now_s
            return None
        self.owner_lease = replace(taken, version=answer.unwrap())
        self._watch.record_renewal(self.owner_lease.version, now_s)
        self._renewed_s = now_s
        self._next_s = min(self._next_s, now_s + RENEW_S)
        _log.info(
            'term %s is taken',
            taken.term,
            extra={
                'term': taken.term,
                'row_version': self.owner_lease.version,
                'beat': renewal_version,
            },
        )
        return self._step(OwnershipEvent.TAKEN)

    def _decode(self, row: StoredRow | None) -> OwnerLease:
        if row is None or row.body is None:
            return OwnerLease()
        decoded = self._rows.owner_lease(row.key, row.body, row.version)
        if isinstance(decoded, Failure):
            _log.error('owner row is malformed: %s', decoded.failure())
            return OwnerLease(version=row.version)
        owner_lease: OwnerLease = decoded.unwrap()
        return owner_lease

    def _step(self, event: OwnershipEvent) -> OwnershipAction | None:
        before = self._state
        move = self._chart.step(before, event, _FACTS)
        self._state = move.state
        if move.state is not before:
            _log.info(
                'ownership: %s after %s',
                move.state,
                event,
                extra={'term': self.owner_lease.term},
            )
        return move.action


def _node_of(owner_lease: OwnerLease) -> NodeName:
    return NodeName(owner_lease.holder.partition(' ')[0])

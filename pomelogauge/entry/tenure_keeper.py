"""Takes, renews and watches the ownership of all groups in the store."""

from collections.abc import Sequence

from returns.result import Failure, Success

from ..charts.reader import load_chart
from ..decide.ownership_chart import (
    OWNERSHIP_WORDS,
    OwnershipAction,
    OwnershipEvent,
    OwnershipFacts,
    OwnershipState,
)
from ..decide.rendezvous import ranked
from ..model.fleet import EntryInstance
from ..model.ids import ABSENT_ROW, NodeName, RowVersion
from ..model.log_parts import Part
from ..tasks.clock import Clock
from ..tasks.log import part_logger
from .codecs import OwnRows
from .ownership import Tenure
from .store import (
    RowExpected,
    RowWritten,
    StoredRow,
    StoreFault,
    StoreWrites,
    Table,
)

#: Seconds between two renewals.
RENEW_S = 0.5
#: Seconds after the start of the last renewal in which the owner may act.
HOLD_S = 1.3
#: Seconds without a renewal after which others take over: the hold and the
#: time of an order on its way.
SILENT_S = 1.7
#: Seconds between two looks of the first in line and of all others.
LOOK_S = 0.4
LATE_LOOK_S = 3.0
#: Instances that look often.
FIRST_IN_LINE = 2

TENURE_KEY = 'tenure'
BEAT_KEY = 'beat'
#: Key of the line of successors.
_LINE = 'owner'

_FACTS = OwnershipFacts()
_log = part_logger(Part.LEASE)


class TenureKeeper:
    """Owns this instance's view of the ownership; used by one task.

    Parameters
    ----------
    holder
        Node and life of this process, unique for ever.
    store
        Connection of the task.
    rows
        Encodes rows.
    clock
        Own clock, suspensions included.

    """

    def __init__(
        self,
        holder: str,
        store: StoreWrites,
        rows: OwnRows,
        clock: Clock,
    ) -> None:
        """Start in standby."""
        self._holder = holder
        self._store = store
        self._rows = rows
        self._clock = clock
        self._chart = load_chart('ownership', OWNERSHIP_WORDS)
        self._state = self._chart.initial
        self._renewed_s = float('-inf')
        self._next_s = 0.0
        self._beat = ABSENT_ROW
        self._beat_seen_s = clock.now_s()
        self._rank = 0
        self.tenure = Tenure()

    @property
    def is_held(self) -> bool:
        """Whether this instance may act as the owner now."""
        if self._state is not OwnershipState.HELD:
            return False
        return self._clock.now_s() - self._renewed_s <= HOLD_S

    def line_up(self, entries: Sequence[EntryInstance]) -> None:
        """Find the place of this instance in the line of successors."""
        holder = _node_of(self.tenure.holder)
        line = ranked(
            _LINE,
            [
                entry.node
                for entry in entries
                if not entry.is_leaving and entry.node != holder
            ],
        )
        own = _node_of(self._holder)
        if own in line:
            self._rank = line.index(own)

    def condition(self) -> RowExpected:
        """Return the condition of every write of the owner."""
        return RowExpected(Table.OWNER, TENURE_KEY, self.tenure.version)

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
        written = (RowWritten(Table.OWNER, BEAT_KEY, b'{}'),)
        answer = self._store.commit((self.condition(),), written)
        if isinstance(answer, Success):
            self._renewed_s = now_s
            return self._step(OwnershipEvent.RENEWED)
        if answer.failure().fault is StoreFault.CONFLICT:
            _log.warning('term %s has ended', self.tenure.term)
            return self._step(OwnershipEvent.TAKEN_BY_OTHER)
        if self._clock.now_s() - self._renewed_s > HOLD_S:
            return self._step(OwnershipEvent.LAPSED)
        return None

    def _look(self, now_s: float) -> OwnershipAction | None:
        is_first = self._rank < FIRST_IN_LINE
        pause_s = LOOK_S if is_first else LATE_LOOK_S
        self._next_s = now_s + pause_s
        answer = self._store.read_all(Table.OWNER)
        if isinstance(answer, Failure):
            # Without an answer nothing is known of the owner's silence.
            self._beat_seen_s = self._clock.now_s()
            return None
        rows = {row.key: row for row in answer.unwrap().rows}
        self.tenure = self._decode(rows.get(TENURE_KEY))
        beat = rows.get(BEAT_KEY)
        self._see_beat(beat, self._clock.now_s())
        if self.tenure.holder == self._holder:
            self._renewed_s = now_s
            return self._step(OwnershipEvent.TAKEN)
        if self.tenure.term and not self._is_silent():
            return None
        action = self._step(OwnershipEvent.SILENT)
        if action is OwnershipAction.TAKE:
            return self._take(now_s, beat)
        return action

    def _see_beat(self, beat: StoredRow | None, now_s: float) -> None:
        version = ABSENT_ROW if beat is None else beat.version
        if version != self._beat:
            self._beat = version
            self._beat_seen_s = now_s

    def _is_silent(self) -> bool:
        silence_s = self._clock.now_s() - self._beat_seen_s
        return silence_s > SILENT_S + LOOK_S * self._rank

    def _take(
        self,
        now_s: float,
        beat: StoredRow | None,
    ) -> OwnershipAction | None:
        taken = Tenure(self._holder, self.tenure.term + 1)
        expected = (
            self.condition(),
            RowExpected(
                Table.OWNER,
                BEAT_KEY,
                ABSENT_ROW if beat is None else beat.version,
            ),
        )
        written = (
            RowWritten(
                Table.OWNER, TENURE_KEY, self._rows.encode_tenure(taken)
            ),
            RowWritten(Table.OWNER, BEAT_KEY, b'{}'),
        )
        answer = self._store.commit(expected, written)
        if isinstance(answer, Failure):
            _log.info('term %s is not taken: %s', taken.term, answer.failure())
            self._next_s = now_s
            return None
        version = answer.unwrap()
        self.tenure = Tenure(taken.holder, taken.term, version)
        self._renewed_s = now_s
        _log.info(
            'term %s is taken',
            taken.term,
            extra={'term': taken.term, 'row_version': version},
        )
        return self._step(OwnershipEvent.TAKEN)

    def _decode(self, row: StoredRow | None) -> Tenure:
        if row is None or row.body is None:
            return Tenure()
        decoded = self._rows.tenure(row.key, row.body, row.version)
        if isinstance(decoded, Failure):
            _log.error('owner row is malformed: %s', decoded.failure())
            return Tenure(version=RowVersion(row.version))
        return decoded.unwrap()

    def _step(self, event: OwnershipEvent) -> OwnershipAction | None:
        before = self._state
        move = self._chart.step(before, event, _FACTS)
        self._state = move.state
        if move.state is not before:
            _log.info(
                'ownership: %s after %s',
                move.state,
                event,
                extra={'term': self.tenure.term},
            )
        return move.action


def _node_of(holder: str) -> NodeName:
    return NodeName(holder.partition(' ')[0])

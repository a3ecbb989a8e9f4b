"""The task that lists the living entry instances."""

from dataclasses import dataclass, replace

from returns.result import Failure

from ..model.fleet import EntryInstance
from ..model.ids import ABSENT_ROW, NodeName, RowVersion
from ..model.log_parts import Part
from ..tasks.clock import Clock
from ..tasks.log import part_logger
from ..tasks.mailbox import Outbox
from .codecs import OwnRows
from .messages import EntriesSeen, EntryLeaves
from .store import Rows, RowWritten, StoreWrites, Table

#: Seconds between two reports of one instance, and two looks at all others.
BEAT_S = 1.6
#: Seconds without a report after which an instance is not named: two reports
#: and the delay of the last.
SILENT_S = 4.5

_log = part_logger(Part.ENTRY)


@dataclass(frozen=True)
class _Heard:
    """When a row last changed, by the own clock."""

    version: RowVersion
    at_s: float


class Register:
    """Owns this instance's row and what is known of the others.

    Parameters
    ----------
    own
        This instance.
    store
        Connection of this task.
    rows
        Encodes rows.
    listeners
        Who learns of the living instances.
    clock
        Own clock, suspensions included.

    """

    def __init__(
        self,
        own: EntryInstance,
        store: StoreWrites,
        rows: OwnRows,
        listeners: tuple[Outbox[EntriesSeen], ...],
        clock: Clock,
    ) -> None:
        """Start alone."""
        self._own = own
        self._store = store
        self._rows = rows
        self._listeners = listeners
        self._clock = clock
        self._heard: dict[NodeName, _Heard] = {}
        self._read_s = float('-inf')
        self._next_s = 0.0

    def on_start(self) -> None:
        """Tell of this instance before the first look."""
        self._tell((self._own,))

    def on_message(self, message: EntryLeaves) -> None:
        """Say that this instance ends."""
        self._own = replace(self._own, is_leaving=True)
        self._next_s = 0

    def on_timer(self) -> float | None:
        """Report and look.

        Returns
        -------
        float
            Seconds until the next report.

        """
        now_s = self._clock.now_s()
        if now_s < self._next_s:
            return self._next_s - now_s
        self._next_s = now_s + BEAT_S
        self._report()
        self._look()
        return BEAT_S

    def on_stop(self) -> None:
        """Leave the row; it falls silent."""

    def _report(self) -> None:
        self._own = replace(self._own, beat=self._own.beat + 1)
        body = self._rows.encode_entry(self._own)
        written = RowWritten(Table.ENTRIES, self._own.node, body)
        answer = self._store.commit((), (written,))
        if isinstance(answer, Failure):
            _log.warning('no report: %s', answer.failure().message)

    def _look(self) -> None:
        answer = self._store.read_all(Table.ENTRIES)
        if isinstance(answer, Failure):
            _log.warning('no look: %s', answer.failure().message)
            return
        self._hear(answer.unwrap())

    def _hear(self, rows: Rows) -> None:
        now_s = self._clock.now_s()
        # Nobody could report while the store was away.
        was_away = now_s - self._read_s > SILENT_S
        self._read_s = now_s
        living: list[EntryInstance] = []
        for row in rows.rows:
            if row.body is None:
                continue
            decoded = self._rows.entry(row.key, row.body, row.version)
            if isinstance(decoded, Failure):
                _log.warning('entry is malformed: %s', decoded.failure())
                continue
            entry = decoded.unwrap()
            if self._is_live(entry, row.version, now_s, was_away):
                living.append(entry)
        self._tell(tuple(living) or (self._own,))

    def _is_live(
        self,
        entry: EntryInstance,
        version: RowVersion,
        now_s: float,
        was_away: bool,
    ) -> bool:
        heard = self._heard.get(entry.node, _Heard(ABSENT_ROW, now_s))
        if was_away or heard.version != version:
            heard = _Heard(version, now_s)
            self._heard[entry.node] = heard
        return now_s - heard.at_s <= SILENT_S

    def _tell(self, living: tuple[EntryInstance, ...]) -> None:
        for listener in self._listeners:
            listener.post(EntriesSeen(living))

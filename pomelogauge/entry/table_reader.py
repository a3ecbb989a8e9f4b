"""The task that reads one table of the store and follows its changes."""

import logging
from dataclasses import dataclass

from returns.result import Failure

from ..charts.reader import load_chart
from ..decide.source_chart import (
    SOURCE_WORDS,
    SourceAction,
    SourceEvent,
    SourceFacts,
)
from ..model.ids import RowVersion
from ..model.log_parts import Part
from ..model.rows import Rows
from ..tasks.clock import Clock
from ..tasks.log import part_logger
from ..tasks.mailbox import Outbox
from ..tasks.published import Published
from .messages import TableRead, TableReadFailed
from .ownership import OwnershipStatus
from .store import StoreError, StoreFault, StoreReads, Table

#: Seconds between two calls after one that brought changes, at the owner and
#: elsewhere. Changes of one event come together; all other instances read at
#: the same time while there is no owner.
CHANGES_GAP_S = 0.08
OTHERS_GAP_S = 0.4
#: Seconds before a failed call is made again: at first, and at most. Each
#: failure doubles them.
RETRY_S = 0.15
MOST_RETRY_S = 0.6
#: Longest seconds between two looks whether the owner still tells.
COVERED_S = 0.25
#: Seconds without an answer after which targets may have lapsed unseen; three
#: reports of a target.
AWAY_S = 2.5

_LEVELS = {
    SourceAction.LOG_UNREACHABLE: logging.WARNING,
    SourceAction.LOG_RECOVERED: logging.INFO,
    SourceAction.LOG_HISTORY_LOST: logging.INFO,
}
_SAYINGS = {
    SourceAction.LOG_UNREACHABLE: '%s can not be read',
    SourceAction.LOG_RECOVERED: '%s is read again',
    SourceAction.LOG_HISTORY_LOST: '%s: history is gone, it is read anew',
}
_log = part_logger(Part.STORE)


@dataclass(frozen=True)
class ReaderSettings:
    """How a table is read.

    Parameters
    ----------
    table
        Which table.
    wait_s
        Seconds that the store may hold a call without changes.

    """

    table: Table
    wait_s: float


class TableReader:
    """Owns a connection to the store and the place in the feed.

    Parameters
    ----------
    settings
        Which table, and how.
    store
        Connection of this task.
    listeners
        Who learns of what was read.
    ownership
        Who the owner is.
    reads_paused_until
        Time of the own clock until which the owner tells of the table.
    clock
        Own clock, suspensions included.

    """

    def __init__(
        self,
        settings: ReaderSettings,
        store: StoreReads,
        listeners: tuple[Outbox[TableRead | TableReadFailed], ...],
        ownership: Published[OwnershipStatus],
        reads_paused_until: Published[float],
        clock: Clock,
    ) -> None:
        """Start without a place in the feed."""
        self._settings = settings
        self._store = store
        self._listeners = listeners
        self._ownership = ownership
        self._reads_paused_until = reads_paused_until
        self._clock = clock
        self._version: RowVersion | None = None
        self._answered_s = clock.now_s()
        self._chart = load_chart('table_source', SOURCE_WORDS)
        self._state = self._chart.initial
        self._retry_s = RETRY_S
        #: After a rest or a failure an answer confirms the table at once.
        self._may_wait = False

    def on_start(self) -> None:
        """Connect with the first read."""

    def on_message(self, message: object) -> None:
        """Take no messages."""

    def on_timer(self) -> float | None:
        """Read once.

        Returns
        -------
        float
            Seconds until the next read.

        """
        began_s = self._clock.now_s()
        covered_s = self._reads_paused_until.latest() - began_s
        if covered_s > 0:
            self._answered_s = began_s
            self._may_wait = False
            self._step(SourceEvent.READS_PAUSED)
            return min(covered_s, COVERED_S)
        self._step(SourceEvent.READS_RESUMED)
        if self._version is None:
            answer = self._store.read_all(self._settings.table)
        else:
            wait_s = self._settings.wait_s if self._may_wait else 0
            answer = self._store.changes(
                self._settings.table, self._version, wait_s
            )
        if isinstance(answer, Failure):
            return self._on_failure(answer.failure())
        return self._on_rows(answer.unwrap(), began_s)

    def on_stop(self) -> None:
        """Leave the connection to the process's end."""

    def _on_rows(self, rows: Rows, began_s: float) -> float:
        now_s = self._clock.now_s()
        was_away = now_s - self._answered_s > AWAY_S + self._settings.wait_s
        self._answered_s = now_s
        self._step(SourceEvent.READ_SUCCEEDED)
        self._may_wait = True
        self._retry_s = RETRY_S
        self._tell(
            TableRead(
                self._settings.table,
                rows,
                self._version is None,
                began_s,
                was_away,
            )
        )
        self._version = rows.version
        if not rows.rows:
            return 0
        is_own = self._ownership.latest().is_own
        return CHANGES_GAP_S if is_own else OTHERS_GAP_S

    def _on_failure(self, error: StoreError) -> float:
        if error.fault is StoreFault.FORGOTTEN:
            self._step(SourceEvent.HISTORY_LOST, error.message)
            self._version = None
            return 0
        self._may_wait = False
        self._step(SourceEvent.READ_FAILED, error.message)
        self._tell(TableReadFailed(self._settings.table, error))
        pause_s = self._retry_s
        self._retry_s = min(2 * pause_s, MOST_RETRY_S)
        return pause_s

    def _step(self, event: SourceEvent, reason: str = '') -> None:
        """Apply an event, and say what has become of the table."""
        facts = SourceFacts(self._version is not None)
        move = self._chart.step(self._state, event, facts)
        self._state = move.state
        if move.action is not None:
            _log.log(
                _LEVELS[move.action],
                _SAYINGS[move.action],
                self._settings.table,
                extra={'row_version': self._version, 'reason': reason},
            )

    def _tell(self, message: TableRead | TableReadFailed) -> None:
        for listener in self._listeners:
            listener.post(message)

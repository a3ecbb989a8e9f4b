"""The task that reads one table of the store and its changes."""

import logging
from dataclasses import dataclass

from returns.result import Failure

from ..charts.reader import load_chart
from ..decide.read_backoff import MAX_BACKOFF_S, read_backoff_s
from ..decide.source_chart import (
    SOURCE_WORDS,
    SourceAction,
    SourceEvent,
    SourceFacts,
)
from ..decide.watch_source import watch_sources
from ..model.fleet import EntryInstance, Fleet
from ..model.log_parts import Part
from ..model.rows import Rows
from ..model.store_version import ABSENT_ROW, StoreVersion
from ..tasks.clock import Clock
from ..tasks.log import part_logger
from ..tasks.mailbox import Outbox
from ..tasks.published import Published
from .messages import TableRead, TableReadFailed
from .ownership import OwnershipStatus
from .store import StoreError, StoreFault, StoreReads, Table
from .table_deltas import TableVersions

#: Seconds until the next call after one that brought changes, on the owner
#: and on other instances. The pause collects changes of one event into one
#: call. It is longer on the others because all of them read the store at the
#: same time while there is no owner.
OWNER_READ_GAP_S = 0.08
READ_GAP_S = 0.4
#: Seconds between two checks whether reads are still paused, or whether this
#: instance has become the owner.
PAUSE_CHECK_INTERVAL_S = 0.25
#: Seconds without an answer of the store after which targets may have expired
#: only because their reports failed too: three reports of a target.
OUTAGE_S = 2.5

_LEVELS = {
    SourceAction.LOG_PAUSED: logging.INFO,
    SourceAction.LOG_RESUMED: logging.INFO,
    SourceAction.LOG_UNREACHABLE: logging.WARNING,
    SourceAction.LOG_RECOVERED: logging.INFO,
    SourceAction.LOG_HISTORY_LOST: logging.INFO,
}
_MESSAGES = {
    SourceAction.LOG_PAUSED: 'table %s is not read from the store any more',
    SourceAction.LOG_RESUMED: 'table %s is read from the store',
    SourceAction.LOG_UNREACHABLE: 'table %s can not be read; retrying',
    SourceAction.LOG_RECOVERED: 'table %s is read again',
    SourceAction.LOG_HISTORY_LOST: 'history of table %s is gone; reading all',
}
_log = part_logger(Part.STORE)


@dataclass(frozen=True)
class ReaderSettings:
    """How a table is read.

    Parameters
    ----------
    table
        The table to read.
    wait_s
        Seconds for which the store may hold a call while nothing changes.
    own
        This instance.

    """

    table: Table
    wait_s: float
    own: EntryInstance


@dataclass(frozen=True)
class TableReaderPorts:
    """Other tasks and values that a table reader uses.

    Parameters
    ----------
    listeners
        Tasks to which reads and failures are posted.
    ownership
        Who the owner is.
    published_fleet
        Names the living instances; read only.
    reads_paused_until
        Time of the local clock until which the deltas of another instance are
        current, so that the store needs not be read.
    watched_versions
        Versions of the tables that the listeners have from other instances.

    """

    listeners: tuple[Outbox[TableRead | TableReadFailed], ...]
    ownership: Published[OwnershipStatus]
    published_fleet: Published[Fleet]
    reads_paused_until: Published[float]
    watched_versions: Published[TableVersions]


class TableReader:
    """Reads all rows once and then long-polls the store for changes.

    While reads are paused it makes no calls. After a pause it reads the
    changes since the version that came from another instance.

    Parameters
    ----------
    settings
        The table and the hold time of a call.
    store
        Connection to the store; owned by this task.
    ports
        Other tasks and values.
    clock
        Local clock; it goes on during a suspension of the machine.

    """

    def __init__(
        self,
        settings: ReaderSettings,
        store: StoreReads,
        ports: TableReaderPorts,
        clock: Clock,
    ) -> None:
        """Start without a known version; the first read gets all rows."""
        self._settings = settings
        self._store = store
        self._ports = ports
        self._clock = clock
        self._version: StoreVersion | None = None
        #: Era of the store in the last read.
        self._era: int | None = None
        self._answered_s = clock.now_s()
        self._chart = load_chart('table_source', SOURCE_WORDS)
        self._state = self._chart.initial
        self._failures = 0
        self._retry_at_s = float('-inf')
        self._forgotten = ABSENT_ROW
        #: Whether the store may hold the next call. Not after a pause or a
        #: failure: an answer must confirm the table at once.
        self._may_wait = False

    def on_start(self) -> None:
        """Do nothing; the first read connects."""

    def on_message(self, message: object) -> None:
        """Do nothing; no messages are sent to this task."""

    def on_timer(self) -> float | None:
        """Make one call to the store, unless reads are paused.

        Returns
        -------
        float
            Seconds until the next read.

        """
        began_s = self._clock.now_s()
        paused_s = self._ports.reads_paused_until.latest() - began_s
        is_own = self._ports.ownership.latest().is_own
        if paused_s > 0 and not is_own:
            self._answered_s = began_s
            self._may_wait = False
            self._failures = 0
            self._retry_at_s = began_s
            self._step(SourceEvent.READS_PAUSED, 'deltas of another instance')
            return min(paused_s, PAUSE_CHECK_INTERVAL_S)
        backoff_s = self._retry_at_s - began_s
        if backoff_s > 0 and not is_own:
            return min(backoff_s, PAUSE_CHECK_INTERVAL_S)
        self._resume(
            'this instance is the owner'
            if is_own
            else f'no deltas since {-paused_s:.1f} s'
        )
        return self._read(began_s)

    def on_stop(self) -> None:
        """Do nothing; the connection ends with the process."""

    def _resume(self, reason: str) -> None:
        """Go on from the newest version that the listeners have."""
        watched = self._ports.watched_versions.latest()[self._settings.table]
        if watched > max(self._version or ABSENT_ROW, self._forgotten):
            self._version = watched
        self._step(SourceEvent.READS_RESUMED, reason)

    def _read(self, began_s: float) -> float:
        wait_s = 0.0
        if self._version is None:
            answer = self._store.read_all(self._settings.table)
        else:
            wait_s = self._settings.wait_s if self._may_wait else 0
            answer = self._store.changes(
                self._settings.table, self._version, wait_s
            )
        if isinstance(answer, Failure):
            return self._on_failure(answer.failure())
        rows = answer.unwrap()
        # The store answers that nothing has changed at the end of the wait.
        ended_s = began_s + wait_s
        was_held = not rows.rows and ended_s <= self._clock.now_s()
        return self._on_rows(rows, ended_s if was_held else began_s)

    def _on_rows(self, rows: Rows, as_of_s: float) -> float:
        now_s = self._clock.now_s()
        away_s = now_s - self._answered_s
        was_put_back = self._era not in {None, rows.version.era}
        self._era = rows.version.era
        was_away = was_put_back or away_s > OUTAGE_S + self._settings.wait_s
        self._answered_s = now_s
        self._step(SourceEvent.READ_SUCCEEDED)
        self._may_wait = True
        self._failures = 0
        self._post(
            TableRead(
                self._settings.table,
                rows,
                self._version is None,
                as_of_s,
                was_away,
            )
        )
        self._version = rows.version
        if not rows.rows:
            return 0
        is_own = self._ports.ownership.latest().is_own
        return OWNER_READ_GAP_S if is_own else READ_GAP_S

    def _on_failure(self, error: StoreError) -> float:
        if error.fault is StoreFault.FORGOTTEN:
            self._step(SourceEvent.HISTORY_LOST, error.message)
            self._forgotten = self._version or ABSENT_ROW
            self._version = None
            return 0
        self._may_wait = False
        self._step(SourceEvent.READ_FAILED, error.message)
        self._post(TableReadFailed(self._settings.table, error))
        self._failures += 1
        backoff_s = read_backoff_s(self._failures, self._readers())
        if backoff_s <= MAX_BACKOFF_S:
            return backoff_s
        self._retry_at_s = self._clock.now_s() + backoff_s
        return PAUSE_CHECK_INTERVAL_S

    def _readers(self) -> int:
        """Return how many instances read the store as this one does."""
        ownership = self._ports.ownership.latest()
        instances = self._ports.published_fleet.latest().instances
        sources = watch_sources(
            self._settings.own, instances, ownership.address
        )
        is_source = ownership.is_own or sources.is_relay
        return 1 if is_source else len(instances)

    def _step(self, event: SourceEvent, reason: str = '') -> None:
        """Apply an event to the chart and log what the chart asks for."""
        facts = SourceFacts(self._version is not None)
        move = self._chart.step(self._state, event, facts)
        self._state = move.state
        if move.action is not None:
            _log.log(
                _LEVELS[move.action],
                _MESSAGES[move.action],
                self._settings.table,
                extra={
                    'row_version': str(self._version or ABSENT_ROW),
                    'reason': reason,
                },
            )

    def _post(self, message: TableRead | TableReadFailed) -> None:
        for listener in self._ports.listeners:
            listener.post(message)

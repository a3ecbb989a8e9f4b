"""The task that tells what the store holds while this is the owner."""

from dataclasses import dataclass

from ..decide.table_copy import TableCopy
from ..tasks.clock import Clock
from ..tasks.mailbox import Outbox
from ..tasks.published import Published
from .fleet_publisher import RELISTING_GRACE_S
from .messages import (
    DeltaServerMessage,
    TableRead,
    TableReadFailed,
    WatchRequested,
)
from .ownership import OwnershipStatus
from .store import Table
from .table_deltas import (
    WATCH_HOLD_S,
    WATCHED_TABLES,
    TableDelta,
    TableDeltas,
    TableVersions,
)

#: Seconds between two rounds of answers, for each instance that waits: the
#: answers take a tenth of a core at most.
ROUND_S = 0.003


@dataclass(frozen=True)
class _Source:
    """A table and its newest read.

    Parameters
    ----------
    copy
        Its rows.
    began_s
        When the newest read began.
    away_until_s
        Until when targets that lapsed may come back.

    """

    copy: TableCopy = TableCopy()
    began_s: float = float('-inf')
    away_until_s: float = float('-inf')


@dataclass(frozen=True)
class _Waiting:
    """An instance without news, and when it asked."""

    known_versions: TableVersions
    reply: Outbox[TableDeltas | None]
    asked_s: float


class DeltaServer:
    """Owns a copy of the followed tables and the questions that wait.

    Parameters
    ----------
    ownership
        Who the owner is.
    clock
        Own clock, suspensions included.

    """

    def __init__(
        self, ownership: Published[OwnershipStatus], clock: Clock
    ) -> None:
        """Start without rows."""
        self._ownership = ownership
        self._clock = clock
        self._sources: dict[Table, _Source] = {
            table: _Source() for table in WATCHED_TABLES
        }
        self._waiting: tuple[_Waiting, ...] = ()
        self._has_news = False
        self._round_s = 0.0

    def on_start(self) -> None:
        """Own nothing that must be opened."""

    def on_message(self, message: DeltaServerMessage) -> None:
        """Take in a read, or a question."""
        match message:
            case TableRead():
                self._take(message)
            case WatchRequested():
                self._ask(message)
            case TableReadFailed():
                return

    def on_timer(self) -> float | None:
        """Answer what waits.

        Returns
        -------
        float or None
            Seconds until the next answers are due.

        """
        if not self._waiting:
            return None
        now_s = self._clock.now_s()
        if not self._ownership.latest().is_own:
            self._answer(self._waiting, now_s)
            return None
        if self._has_news and now_s >= self._round_s:
            self._has_news = False
            self._round_s = now_s + ROUND_S * len(self._waiting)
            self._answer(self._waiting, now_s, only_with_rows=True)
        due = tuple(
            one for one in self._waiting if one.asked_s + WATCH_HOLD_S <= now_s
        )
        self._answer(due, now_s)
        return self._due_s(now_s)

    def on_stop(self) -> None:
        """Own nothing that must be closed."""

    def _due_s(self, now_s: float) -> float | None:
        times = [one.asked_s + WATCH_HOLD_S for one in self._waiting]
        if self._has_news:
            times.append(self._round_s)
        return max(0, min(times) - now_s) if self._waiting else None

    def _take(self, read: TableRead) -> None:
        source = self._sources[read.table]
        version = source.copy.version
        copy = source.copy.with_rows(read.rows, read.is_whole)
        away_until_s = source.away_until_s
        if read.was_away:
            away_until_s = self._clock.now_s() + RELISTING_GRACE_S
        self._sources[read.table] = _Source(
            copy, max(read.began_s, source.began_s), away_until_s
        )
        if read.rows.rows and copy.version > version:
            self._has_news = True

    def _ask(self, asked: WatchRequested) -> None:
        now_s = self._clock.now_s()
        waiting = _Waiting(asked.known_versions, asked.reply, now_s)
        self._waiting = (*self._waiting, waiting)
        if not self._ownership.latest().is_own:
            return
        self._answer((waiting,), now_s, only_with_rows=True)

    def _answer(
        self,
        asked: tuple[_Waiting, ...],
        now_s: float,
        *,
        only_with_rows: bool = False,
    ) -> None:
        """Answer some of what waits; nothing where this is not the owner."""
        answered: set[int] = set()
        for one in asked:
            news = self._news(one, now_s)
            if only_with_rows and (news is None or not news.has_rows()):
                continue
            one.reply.post(news)
            answered.add(id(one.reply))
        self._waiting = tuple(
            waiting
            for waiting in self._waiting
            if id(waiting.reply) not in answered
        )

    def _news(self, asked: _Waiting, now_s: float) -> TableDeltas | None:
        if not self._ownership.latest().is_own:
            return None
        if not all(one.copy.version for one in self._sources.values()):
            return None
        return TableDeltas(
            tuple(
                _changes(table, source, asked, now_s)
                for table, source in self._sources.items()
            )
        )


def _changes(
    table: Table,
    source: _Source,
    asked: _Waiting,
    now_s: float,
) -> TableDelta:
    known = asked.known_versions[table]
    is_whole = not source.copy.has_changes_since(known)
    rows = (
        source.copy.all_rows() if is_whole else source.copy.changed_since(known)
    )
    return TableDelta(
        table,
        rows,
        is_whole,
        asked.asked_s - source.began_s,
        now_s < source.away_until_s,
    )

"""The task that deletes old rows of calls, one bucket after another."""

from dataclasses import dataclass
from random import Random

from ..tables.protocols import (
    Condition,
    Row,
    TableService,
    Transaction,
    Write,
)
from ..wire.intent_rows import (
    BUCKET_COUNT,
    INTENTS,
    bucket_prefix,
    decode_intent,
)
from .clock import Clock
from .transactions import TransactionNames


@dataclass(frozen=True)
class SweepSettings:
    """Settings of the sweep.

    Parameters
    ----------
    interval_s
        Seconds between two buckets; all buckets take about a day.
    life_s
        Age at which a row may be deleted. It is measured between the wall
        clocks of two routers, whose difference is small beside it.
    rows_at_once
        Rows deleted by one transaction.

    """

    interval_s: float = 20
    life_s: float = 25 * 3600
    rows_at_once: int = 50


class IntentSweeper:
    """Reads one bucket at a time.

    Parameters
    ----------
    cfg
        Settings.
    tables
        The sweeper's own connection.
    names
        Names of its transactions.
    clock
        Wall clock.
    rng
        Chooses the first bucket, so that routers share the work.

    """

    def __init__(
        self,
        cfg: SweepSettings,
        tables: TableService,
        names: TransactionNames,
        clock: Clock,
        rng: Random,
    ) -> None:
        """Start with any bucket, after one interval."""
        self._cfg = cfg
        self._tables = tables
        self._names = names
        self._clock = clock
        self._bucket = rng.randrange(BUCKET_COUNT)
        self._due_at_s = clock.now_s() + cfg.interval_s

    def on_start(self) -> None:
        """Open no connection yet."""

    def on_message(self, message: object) -> None:
        """Get no messages."""

    def on_timer(self) -> float | None:
        """Sweep the next bucket when it is due."""
        now_s = self._clock.now_s()
        if now_s >= self._due_at_s:
            self._sweep(now_s)
            self._bucket = (self._bucket + 1) % BUCKET_COUNT
            self._due_at_s = now_s + self._cfg.interval_s
        # A wall clock that is set back must not hold the sweep up.
        return min(max(self._due_at_s - now_s, 0), self._cfg.interval_s)

    def on_stop(self) -> None:
        """Own nothing that must be closed."""

    def _sweep(self, now_s: float) -> None:
        found = self._tables.scan(INTENTS, bucket_prefix(self._bucket))
        rows = found.value_or(())
        old = [row for row in rows if self._is_old(row, now_s)]
        chosen = old[: self._cfg.rows_at_once]
        if not chosen:
            return
        self._tables.commit(
            Transaction(
                self._names.next_name('sweep'),
                tuple(Condition(row.key, row.version) for row in chosen),
                tuple(Write(row.key, None) for row in chosen),
            )
        )

    def _is_old(self, row: Row, now_s: float) -> bool:
        intent = decode_intent(row).value_or(None)
        if intent is None:
            return False
        return now_s - intent.written_at_s > self._cfg.life_s

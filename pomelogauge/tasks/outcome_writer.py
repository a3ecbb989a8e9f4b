"""The task that writes outcomes of calls until the store has them."""

from collections import deque
from dataclasses import dataclass, replace
from random import Random

from returns.result import Failure, Success

from ..model.ids import ABSENT_ROW
from ..model.intent import IntentState
from ..model.log_parts import Part
from ..tables.protocols import (
    Condition,
    PlatformFault,
    Row,
    TableService,
    Transaction,
    Write,
)
from ..wire.intent_rows import decode_intent, encode_intent
from .clock import Clock
from .log import part_logger
from .non_idempotent_messages import OutcomeStored, StoreOutcome

_log = part_logger(Part.CALLS)


@dataclass(frozen=True)
class WriterSettings:
    """Settings of the writer.

    Parameters
    ----------
    max_waiting
        Outcomes kept while the store does not answer; the oldest go first.
    first_delay_s, longest_delay_s
        Bounds of the delay after a failed write; it doubles in between.
    stop_tries
        Failed writes after which a stopping writer gives up.

    """

    max_waiting: int = 1000
    first_delay_s: float = 0.1
    longest_delay_s: float = 2
    stop_tries: int = 2


class OutcomeWriter:
    """Writes one outcome at a time.

    Parameters
    ----------
    cfg
        Settings.
    tables
        The writer's own connection.
    clock
        Own clock.
    rng
        Spreads the tries of several routers.

    """

    def __init__(
        self,
        cfg: WriterSettings,
        tables: TableService,
        clock: Clock,
        rng: Random,
    ) -> None:
        """Have nothing to write."""
        self._cfg = cfg
        self._tables = tables
        self._clock = clock
        self._rng = rng
        self._waiting: deque[StoreOutcome] = deque()
        self._failures = 0
        self._due_at_s = clock.now_s()
        self._count = 0

    def on_start(self) -> None:
        """Open no connection yet."""

    def on_message(self, message: StoreOutcome) -> None:
        """Let an outcome wait for its turn."""
        if len(self._waiting) >= self._cfg.max_waiting:
            dropped = self._waiting.popleft()
            # A repeat then hears that the call may have run.
            _log.warning(
                'an outcome is dropped, as too many wait',
                extra={'request': dropped.outcome.request},
            )
        self._waiting.append(message)

    def on_timer(self) -> float | None:
        """Write the next outcome when it is due."""
        if not self._waiting:
            return None
        wait_s = self._due_at_s - self._clock.now_s()
        if wait_s <= 0:
            self._write_next()
            wait_s = self._due_at_s - self._clock.now_s()
        return max(wait_s, 0) if self._waiting else None

    def on_stop(self) -> None:
        """Write what waits while the store answers."""
        self._failures = 0
        while self._waiting and self._failures < self._cfg.stop_tries:
            self._write_next()

    def _write_next(self) -> None:
        order = self._waiting.popleft()
        left = self._written(order)
        if left is None:
            self._failures = 0
            self._due_at_s = self._clock.now_s()
            if order.kept:
                order.kept.post(OutcomeStored(order.key))
            return
        self._waiting.appendleft(left)
        if left.version == order.version:
            self._back_off()

    def _back_off(self) -> None:
        self._failures += 1
        delay_s = min(
            self._cfg.first_delay_s * 2 ** min(self._failures, 10),
            self._cfg.longest_delay_s,
        )
        jitter = self._rng.uniform(0.5, 1)
        self._due_at_s = self._clock.now_s() + delay_s * jitter

    def _written(self, order: StoreOutcome) -> StoreOutcome | None:
        """Write once; return what is left to do, or ``None`` when done."""
        self._count += 1
        outcome = self._tables.commit(
            Transaction(
                f'{order.outcome.request} outcome {self._count}',
                (Condition(order.key, order.version),),
                (Write(order.key, encode_intent(order.outcome)),),
            )
        )
        if isinstance(outcome, Success):
            return None
        if outcome.failure().fault is PlatformFault.CONFLICT:
            return self._read_back(order)
        return order

    def _read_back(self, order: StoreOutcome) -> StoreOutcome | None:
        """Find the version to write over; ``None`` when it is another's."""
        read = self._tables.read(order.key)
        if isinstance(read, Failure):
            return order
        row = read.unwrap()
        if row is None:
            return replace(order, version=ABSENT_ROW)
        if _is_own_intent(order, row):
            return replace(order, version=row.version)
        return None


def _is_own_intent(order: StoreOutcome, row: Row) -> bool:
    found = decode_intent(row).value_or(None)
    if found is None or found.state is not IntentState.INTENDED:
        return False
    own = order.outcome
    is_request = found.request == own.request
    return is_request and found.incarnation == own.incarnation

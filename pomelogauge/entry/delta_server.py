"""The task that answers watch requests while this instance is the owner."""

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

#: Seconds between two rounds of answers for each held request, so that
#: encoding the answers takes a tenth of a core at most.
ROUND_S_PER_WATCHER = 0.003


@dataclass(frozen=True)
class _TableState:
    """The rows of a table as of the newest read.

    Parameters
    ----------
    copy
        The rows, and those removed lately.
    began_s
        Time by the local clock at which the newest read began.
    away_until_s
        Time until which targets that expired during an outage of the store
        may come back.

    """

    copy: TableCopy = TableCopy()
    began_s: float = float('-inf')
    away_until_s: float = float('-inf')


@dataclass(frozen=True)
class _HeldRequest:
    """A watch request that has not been answered, and when it came."""

    known_versions: TableVersions
    reply: Outbox[TableDeltas | None]
    requested_s: float


class DeltaServer:
    """Keeps a copy of the watched tables and holds watch requests.

    A request is answered at once if there are changes since its versions,
    otherwise with the next changes or after ``WATCH_HOLD_S``. If this
    instance is not the owner, the answer is ``None``.

    Parameters
    ----------
    ownership
        Who the owner is.
    clock
        Local clock; it goes on during a suspension of the machine.

    """

    def __init__(
        self, ownership: Published[OwnershipStatus], clock: Clock
    ) -> None:
        """Start without rows."""
        self._ownership = ownership
        self._clock = clock
        self._states: dict[Table, _TableState] = {
            table: _TableState() for table in WATCHED_TABLES
        }
        self._held: tuple[_HeldRequest, ...] = ()
        self._has_changes = False
        self._next_round_s = 0.0

    def on_start(self) -> None:
        """Do nothing; this task owns no connection."""

    def on_message(self, message: DeltaServerMessage) -> None:
        """Apply a read to the copy, or take a watch request."""
        match message:
            case TableRead():
                self._apply(message)
            case WatchRequested():
                self._hold(message)
            case TableReadFailed():
                return

    def on_timer(self) -> float | None:
        """Answer the held requests that are due.

        Returns
        -------
        float or None
            Seconds until the next answers are due; ``None`` without held
            requests.

        """
        if not self._held:
            return None
        now_s = self._clock.now_s()
        if not self._ownership.latest().is_own:
            self._answer(self._held, now_s)
            return None
        if self._has_changes and now_s >= self._next_round_s:
            self._has_changes = False
            self._next_round_s = now_s + ROUND_S_PER_WATCHER * len(self._held)
            self._answer(self._held, now_s, only_with_rows=True)
        due = tuple(
            request
            for request in self._held
            if request.requested_s + WATCH_HOLD_S <= now_s
        )
        self._answer(due, now_s)
        return self._next_due_s(now_s)

    def on_stop(self) -> None:
        """Do nothing; waiting instances time out."""

    def _next_due_s(self, now_s: float) -> float | None:
        times = [request.requested_s + WATCH_HOLD_S for request in self._held]
        if self._has_changes:
            times.append(self._next_round_s)
        return max(0, min(times) - now_s) if self._held else None

    def _apply(self, read: TableRead) -> None:
        state = self._states[read.table]
        version = state.copy.version
        copy = state.copy.with_rows(read.rows, read.is_whole)
        away_until_s = state.away_until_s
        if read.was_away:
            away_until_s = self._clock.now_s() + RELISTING_GRACE_S
        self._states[read.table] = _TableState(
            copy, max(read.began_s, state.began_s), away_until_s
        )
        if read.rows.rows and copy.version > version:
            self._has_changes = True

    def _hold(self, message: WatchRequested) -> None:
        now_s = self._clock.now_s()
        request = _HeldRequest(message.known_versions, message.reply, now_s)
        self._held = (*self._held, request)
        if not self._ownership.latest().is_own:
            return
        self._answer((request,), now_s, only_with_rows=True)

    def _answer(
        self,
        requests: tuple[_HeldRequest, ...],
        now_s: float,
        *,
        only_with_rows: bool = False,
    ) -> None:
        """Answer requests and drop them from those that are held.

        With ``only_with_rows``, requests without changes stay held.
        """
        answered: set[int] = set()
        for request in requests:
            deltas = self._deltas_for(request, now_s)
            if only_with_rows and (deltas is None or not deltas.has_rows()):
                continue
            request.reply.post(deltas)
            answered.add(id(request.reply))
        self._held = tuple(
            held for held in self._held if id(held.reply) not in answered
        )

    def _deltas_for(
        self, request: _HeldRequest, now_s: float
    ) -> TableDeltas | None:
        if not self._ownership.latest().is_own:
            return None
        if not all(state.copy.version for state in self._states.values()):
            return None
        return TableDeltas(
            tuple(
                _delta(table, state, request, now_s)
                for table, state in self._states.items()
            )
        )


def _delta(
    table: Table,
    state: _TableState,
    request: _HeldRequest,
    now_s: float,
) -> TableDelta:
    known = request.known_versions[table]
    is_whole = not state.copy.has_changes_since(known)
    rows = (
        state.copy.all_rows() if is_whole else state.copy.changed_since(known)
    )
    return TableDelta(
        table,
        rows,
        is_whole,
        request.requested_s - state.began_s,
        now_s < state.away_until_s,
    )

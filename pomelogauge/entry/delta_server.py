"""The task that answers the watch requests of other instances."""

from dataclasses import dataclass

from ..decide.shared_suspicion import SuspectList
from ..model.ids import TargetName
from ..tasks.clock import Clock
from ..tasks.mailbox import Outbox
from .messages import (
    DeltaServerMessage,
    SuspectsShared,
    TableRead,
    TableReadFailed,
    WatchRequested,
)
from .store import Table
from .table_deltas import WATCH_HOLD_S, TableDeltas, TableVersions
from .watched_copies import WatchedCopies

#: Seconds between two rounds of answers for each held request, so that
#: answering takes a tenth of a core at most.
ROUND_S_PER_WATCHER = 0.006
#: Age in seconds of a read beyond which watch requests are not answered: two
#: calls that the store holds, and the delay of their way over a relay.
MAX_READ_AGE_S = 2.4


@dataclass(frozen=True)
class _HeldRequest:
    """A watch request that has not been answered.

    Parameters
    ----------
    known_versions
        Versions that the other instance has.
    reply
        Where the answer is posted.
    requested_s
        Time of the local clock at which it came.
    confirmed_s
        As of when the configuration had been confirmed by then.

    """

    known_versions: TableVersions
    reply: Outbox[TableDeltas | None]
    requested_s: float
    confirmed_s: float


class DeltaServer:
    """Keeps a copy of the watched tables and holds watch requests.

    A request is answered at once if there are changes since its versions,
    otherwise with the next changes or suspects, with the next read that
    confirms the configuration, or after ``WATCH_HOLD_S``. The answer is
    ``None`` if the copy is too old. The copy may come from the store or from
    another instance's answers, so that each instance can be a relay.

    Parameters
    ----------
    clock
        Local clock; it goes on during a suspension of the machine.

    """

    def __init__(self, clock: Clock) -> None:
        """Start without rows."""
        self._clock = clock
        self._copies = WatchedCopies()
        self._suspects = SuspectList()
        self._held: tuple[_HeldRequest, ...] = ()
        self._has_news = False
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
            case SuspectsShared():
                self._add_suspects(message.targets)
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
        if self._has_news and now_s >= self._next_round_s:
            self._has_news = False
            self._next_round_s = now_s + ROUND_S_PER_WATCHER * len(self._held)
            self._answer(self._with_news(), now_s)
        expired = tuple(
            request
            for request in self._held
            if request.requested_s + WATCH_HOLD_S <= now_s
        )
        self._answer(expired, now_s)
        return self._next_due_s(now_s)

    def on_stop(self) -> None:
        """Do nothing; waiting instances time out."""

    def _next_due_s(self, now_s: float) -> float | None:
        times = [request.requested_s + WATCH_HOLD_S for request in self._held]
        if self._has_news:
            times.append(self._next_round_s)
        return max(0, min(times) - now_s) if self._held else None

    def _apply(self, read: TableRead) -> None:
        has_changed = self._copies.apply(read, self._clock.now_s())
        if has_changed or read.table is Table.OPERATOR:
            self._has_news = True

    def _add_suspects(self, targets: frozenset[TargetName]) -> None:
        if self._suspects.add(targets, self._clock.now_s()):
            self._has_news = True

    def _hold(self, message: WatchRequested) -> None:
        now_s = self._clock.now_s()
        request = _HeldRequest(
            message.known_versions,
            message.reply,
            now_s,
            self._copies.confirmed_s(),
        )
        self._held = (*self._held, request)
        if not self._copies.has_read_all():
            return
        has_rows = self._copies.has_rows_since(request.known_versions)
        if has_rows or not self._is_current(now_s):
            self._answer((request,), now_s)

    def _with_news(self) -> tuple[_HeldRequest, ...]:
        """Return the held requests that need not wait any longer."""
        if not self._copies.has_read_all():
            return ()
        confirmed_s = self._copies.confirmed_s()
        suspected_s = self._suspects.last_added_s
        return tuple(
            request
            for request in self._held
            if confirmed_s > request.confirmed_s
            or suspected_s >= request.requested_s
            or self._copies.has_rows_since(request.known_versions)
        )

    def _answer(self, requests: tuple[_HeldRequest, ...], now_s: float) -> None:
        """Answer requests and drop them from those that are held."""
        if not requests:
            return
        is_current = self._is_current(now_s)
        for request in requests:
            request.reply.post(
                self._deltas_for(request, now_s) if is_current else None
            )
        answered = frozenset(map(id, requests))
        self._held = tuple(
            held for held in self._held if id(held) not in answered
        )

    def _is_current(self, now_s: float) -> bool:
        return now_s - self._copies.oldest_s() <= MAX_READ_AGE_S

    def _deltas_for(self, request: _HeldRequest, now_s: float) -> TableDeltas:
        return TableDeltas(
            self._copies.deltas_since(
                request.known_versions, request.requested_s, now_s
            ),
            self._suspects.current(now_s),
        )

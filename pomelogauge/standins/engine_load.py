"""Lagging reports of a stand-in engine: its load and its cache events."""

from collections import OrderedDict, deque
from dataclasses import dataclass
from enum import StrEnum

from ..model.placement import EngineStatus

#: Prefixes that one engine caches.
_CACHE_SIZE = 64
#: Cache events kept for readers.
_EVENTS_KEPT = 1024
#: One event of so many is never published.
_GAP_EVERY = 5
#: Seconds before a cache event is published.
_EVENT_LAG_S = 0.5


@dataclass(frozen=True)
class LoadReport:
    """Load as it was a while ago.

    Parameters
    ----------
    status
        The status of that time.
    age_s
        How long ago that was.

    """

    status: EngineStatus
    age_s: float


@dataclass(frozen=True)
class _LoadSample:
    recorded_s: float
    status: EngineStatus


class LoadHistory:
    """Remembers the load for as long as it lags."""

    def __init__(self, lag_s: float) -> None:
        """Start without a report."""
        self._lag_s = lag_s
        self._samples: deque[_LoadSample] = deque()

    def record(self, status: EngineStatus, now_s: float) -> None:
        """Take a new status."""
        if not self._samples or self._samples[-1].status != status:
            self._samples.append(_LoadSample(now_s, status))
        self._discard_old(now_s)

    def report(self, now_s: float) -> LoadReport:
        """Return the load that is published now."""
        self._discard_old(now_s)
        oldest = self._samples[0]
        age_s = min(self._lag_s, now_s - oldest.recorded_s)
        return LoadReport(oldest.status, age_s)

    def _discard_old(self, now_s: float) -> None:
        shown_s = now_s - self._lag_s
        while len(self._samples) > 1 and self._samples[1].recorded_s <= shown_s:
            self._samples.popleft()


class CacheEventKind(StrEnum):
    """What happened to a prefix."""

    STORED = 'stored'
    EVICTED = 'evicted'


@dataclass(frozen=True)
class CacheEvent:
    """A change of the prefix cache."""

    sequence: int
    kind: CacheEventKind
    prefix: str
    due_s: float


class PrefixCache:
    """Prefixes in limited memory; its events are late and have gaps."""

    def __init__(self) -> None:
        """Start empty."""
        self._prefixes: OrderedDict[str, None] = OrderedDict()
        self._events: deque[CacheEvent] = deque(maxlen=_EVENTS_KEPT)
        self._sequence = 0

    def store(self, prefix: str, now_s: float) -> None:
        """Keep a prefix; the one unused for longest makes room."""
        if prefix not in self._prefixes:
            self._publish(CacheEventKind.STORED, prefix, now_s)
        self._prefixes[prefix] = None
        self._prefixes.move_to_end(prefix)
        if len(self._prefixes) > _CACHE_SIZE:
            evicted, _ = self._prefixes.popitem(last=False)
            self._publish(CacheEventKind.EVICTED, evicted, now_s)

    def clear(self) -> None:
        """Lose all prefixes without an event, as a restart does."""
        self._prefixes.clear()

    def events(self, after: int, now_s: float) -> tuple[CacheEvent, ...]:
        """Return the published events after a sequence number."""
        return tuple(
            event
            for event in self._events
            if event.sequence > after and event.due_s <= now_s
        )

    def _publish(
        self,
        kind: CacheEventKind,
        prefix: str,
        now_s: float,
    ) -> None:
        self._sequence += 1
        if self._sequence % _GAP_EVERY:
            due_s = now_s + _EVENT_LAG_S
            self._events.append(
                CacheEvent(self._sequence, kind, prefix, due_s),
            )

"""Delayed load reports and cache events of a stand-in engine."""

from collections import OrderedDict, deque
from dataclasses import dataclass
from enum import StrEnum

from ..model.placement import EngineStatus

#: Prefixes in the cache of one engine; the least recently used is evicted.
_CACHE_SIZE = 64
#: Cache events kept for readers; older ones are lost to late readers.
_EVENTS_KEPT = 1024
#: Every fifth event is never published, so that readers meet gaps.
_GAP_EVERY = 5
#: Delay before a cache event becomes visible.
_EVENT_LAG_S = 0.5


@dataclass(frozen=True)
class LoadReport:
    """Load as published, which lags behind the real load.

    Parameters
    ----------
    status
        Status at the time of the report.
    age_s
        Age of the report in seconds, at most the lag.

    """

    status: EngineStatus
    age_s: float


@dataclass(frozen=True)
class _LoadSample:
    recorded_s: float
    status: EngineStatus


class LoadHistory:
    """Keeps recent statuses so that the load can be published with a lag."""

    def __init__(self, lag_s: float) -> None:
        """Start empty; `record` has to come before the first `report`."""
        self._lag_s = lag_s
        self._samples: deque[_LoadSample] = deque()

    def record(self, status: EngineStatus, now_s: float) -> None:
        """Record the status if it has changed."""
        if not self._samples or self._samples[-1].status != status:
            self._samples.append(_LoadSample(now_s, status))
        self._discard_old(now_s)

    def report(self, now_s: float) -> LoadReport:
        """Return the load of one lag ago, or the oldest one known."""
        self._discard_old(now_s)
        oldest = self._samples[0]
        age_s = min(self._lag_s, now_s - oldest.recorded_s)
        return LoadReport(oldest.status, age_s)

    def _discard_old(self, now_s: float) -> None:
        shown_s = now_s - self._lag_s
        while len(self._samples) > 1 and self._samples[1].recorded_s <= shown_s:
            self._samples.popleft()


class CacheEventKind(StrEnum):
    """Kind of a change of the prefix cache."""

    STORED = 'stored'
    EVICTED = 'evicted'


@dataclass(frozen=True)
class CacheEvent:
    """A change of the prefix cache, visible from ``due_s`` on."""

    sequence: int
    kind: CacheEventKind
    prefix: str
    due_s: float


class PrefixCache:
    """LRU cache of prefixes; its events are delayed and have gaps."""

    def __init__(self) -> None:
        """Start with an empty cache and no events."""
        self._prefixes: OrderedDict[str, None] = OrderedDict()
        self._events: deque[CacheEvent] = deque(maxlen=_EVENTS_KEPT)
        self._sequence = 0

    def store(self, prefix: str, now_s: float) -> None:
        """Store a prefix; evicts the least recently used one when full."""
        if prefix not in self._prefixes:
            self._publish(CacheEventKind.STORED, prefix, now_s)
        self._prefixes[prefix] = None
        self._prefixes.move_to_end(prefix)
        if len(self._prefixes) > _CACHE_SIZE:
            evicted, _ = self._prefixes.popitem(last=False)
            self._publish(CacheEventKind.EVICTED, evicted, now_s)

    def clear(self) -> None:
        """Drop all prefixes without an event, as a restart does."""
        self._prefixes.clear()

    def events(self, after: int, now_s: float) -> tuple[CacheEvent, ...]:
        """Return the visible events after a sequence number."""
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

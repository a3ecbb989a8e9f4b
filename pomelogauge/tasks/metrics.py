"""The task that owns counters and histograms."""

from collections import defaultdict
from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

from ..model.metrics import (
    Counter,
    CounterValue,
    MetricsSnapshot,
    Quantile,
    Timing,
    TimingValue,
)
from .mailbox import Outbox

#: Shares of the distribution that are reported.
SHARES = (0.5, 0.95, 0.99, 1.0)
_LOWEST_US = 1
_HIGHEST_US = 3_600_000_000
_DIGITS = 2
_US_IN_S = 1_000_000
_PERCENT = 100


@dataclass(frozen=True)
class CounterIncrement:
    """Something happened a number of times."""

    counter: Counter
    label: str = ''
    times: int = 1


@dataclass(frozen=True)
class TimingSample:
    """Something took a time, in seconds."""

    timing: Timing
    seconds: float


@dataclass(frozen=True)
class RequestMetrics:
    """All that one request counts, in one message."""

    counts: tuple[CounterIncrement, ...] = ()
    timings: tuple[TimingSample, ...] = ()


@dataclass(frozen=True)
class SnapshotRequested:
    """Asks for all metrics."""

    reply: Outbox[MetricsSnapshot]


MetricsMessage = (
    CounterIncrement | TimingSample | RequestMetrics | SnapshotRequested
)


class MetricsActor:
    """Counts and sorts what other tasks report once a request."""

    def __init__(self) -> None:
        """Start with empty histograms."""
        self._counts: defaultdict[tuple[Counter, str], int] = defaultdict(int)
        self._histograms = {timing: _histogram() for timing in Timing}

    def on_start(self) -> None:
        """Own nothing that must be opened."""

    def on_message(self, message: MetricsMessage) -> None:
        """Record a value or answer with a snapshot."""
        match message:
            case CounterIncrement():
                self._count(message)
            case TimingSample():
                self._time(message)
            case RequestMetrics():
                for counted in message.counts:
                    self._count(counted)
                for timed in message.timings:
                    self._time(timed)
            case SnapshotRequested():
                message.reply.post(self._snapshot())

    def on_timer(self) -> float | None:
        """Wait for messages only."""
        return None

    def on_stop(self) -> None:
        """Own nothing that must be closed."""

    def _count(self, counted: CounterIncrement) -> None:
        self._counts[counted.counter, counted.label] += counted.times

    def _time(self, timed: TimingSample) -> None:
        micros = int(timed.seconds * _US_IN_S)
        bounded = min(max(micros, _LOWEST_US), _HIGHEST_US)
        self._histograms[timed.timing].record_value(bounded)

    def _snapshot(self) -> MetricsSnapshot:
        counters = tuple(
            CounterValue(counter, label, total)
            for (counter, label), total in sorted(self._counts.items())
        )
        timings = tuple(
            _timing_value(timing, histogram)
            for timing, histogram in self._histograms.items()
        )
        return MetricsSnapshot(counters, timings)


def _histogram() -> HdrHistogram:
    return HdrHistogram(_LOWEST_US, _HIGHEST_US, _DIGITS)


def _timing_value(timing: Timing, histogram: HdrHistogram) -> TimingValue:
    count = histogram.get_total_count()
    quantiles = tuple(
        Quantile(
            share,
            histogram.get_value_at_percentile(share * _PERCENT) / _US_IN_S,
        )
        for share in SHARES
    )
    mean_us = histogram.get_mean_value() if count else 0
    return TimingValue(timing, quantiles, count, mean_us * count / _US_IN_S)

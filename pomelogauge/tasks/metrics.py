"""The task that owns the counters and histograms of a process."""

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

#: Quantiles that are reported of each histogram; 1.0 is the maximum.
QUANTILES = (0.5, 0.95, 0.99, 1.0)
_LOWEST_US = 1
_HIGHEST_US = 3_600_000_000
_SIGNIFICANT_DIGITS = 2
_US_IN_S = 1_000_000
_PERCENT = 100


@dataclass(frozen=True)
class CounterIncrement:
    """Adds to a counter.

    Parameters
    ----------
    counter
        Counter to which is added.
    label
        Value of the counter's label; empty for a counter without one.
    times
        Number to add.

    """

    counter: Counter
    label: str = ''
    times: int = 1


@dataclass(frozen=True)
class TimingSample:
    """One measured duration, in seconds."""

    timing: Timing
    seconds: float


@dataclass(frozen=True)
class RequestMetrics:
    """All counts and durations of one request, in one message."""

    counts: tuple[CounterIncrement, ...] = ()
    timings: tuple[TimingSample, ...] = ()


@dataclass(frozen=True)
class SnapshotRequested:
    """Asks for the present values of all metrics."""

    reply: Outbox[MetricsSnapshot]


MetricsMessage = (
    CounterIncrement | TimingSample | RequestMetrics | SnapshotRequested
)


class MetricsActor:
    """Sums up the counts and durations that other tasks report."""

    def __init__(self) -> None:
        """Start with zero counts and empty histograms."""
        self._counts: defaultdict[tuple[Counter, str], int] = defaultdict(int)
        self._histograms = {timing: _histogram() for timing in Timing}

    def on_start(self) -> None:
        """Do nothing, as nothing has to be opened."""

    def on_message(self, message: MetricsMessage) -> None:
        """Record the reported values or reply with a snapshot."""
        match message:
            case CounterIncrement():
                self._count(message)
            case TimingSample():
                self._time(message)
            case RequestMetrics():
                for increment in message.counts:
                    self._count(increment)
                for sample in message.timings:
                    self._time(sample)
            case SnapshotRequested():
                message.reply.post(self._snapshot())

    def on_timer(self) -> float | None:
        """Return ``None``, as only messages bring work."""
        return None

    def on_stop(self) -> None:
        """Do nothing, as nothing has to be closed."""

    def _count(self, increment: CounterIncrement) -> None:
        self._counts[increment.counter, increment.label] += increment.times

    def _time(self, sample: TimingSample) -> None:
        # The histogram records nothing outside its bounds.
        micros = int(sample.seconds * _US_IN_S)
        bounded = min(max(micros, _LOWEST_US), _HIGHEST_US)
        self._histograms[sample.timing].record_value(bounded)

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
    return HdrHistogram(_LOWEST_US, _HIGHEST_US, _SIGNIFICANT_DIGITS)


def _timing_value(timing: Timing, histogram: HdrHistogram) -> TimingValue:
    count = histogram.get_total_count()
    quantiles = tuple(
        Quantile(
            quantile,
            histogram.get_value_at_percentile(quantile * _PERCENT) / _US_IN_S,
        )
        for quantile in QUANTILES
    )
    mean_us = histogram.get_mean_value() if count else 0
    return TimingValue(timing, quantiles, count, mean_us * count / _US_IN_S)

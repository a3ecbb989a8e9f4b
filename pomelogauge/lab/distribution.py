"""Distributions of times in experiments."""

from collections.abc import Iterable
from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

_LOWEST_US = 1
_HIGHEST_US = 3_600_000_000
_DIGITS = 3
_US_IN_S = 1_000_000
_US_IN_MS = 1000


@dataclass(frozen=True)
class Distribution:
    """Points of a distribution, in milliseconds.

    Parameters
    ----------
    count
        Values.
    median_ms, p95_ms, p99_ms, max_ms
        Points.

    """

    count: int
    median_ms: float
    p95_ms: float
    p99_ms: float
    max_ms: float


def distribution(seconds: Iterable[float]) -> Distribution:
    """Sort times into a histogram and return its points."""
    histogram = HdrHistogram(_LOWEST_US, _HIGHEST_US, _DIGITS)
    for value_s in seconds:
        micros = max(int(value_s * _US_IN_S), _LOWEST_US)
        histogram.record_value(min(micros, _HIGHEST_US))
    return Distribution(
        histogram.get_total_count(),
        _point_ms(histogram, 50),
        _point_ms(histogram, 95),
        _point_ms(histogram, 99),
        _point_ms(histogram, 100),
    )


def _point_ms(histogram: HdrHistogram, percent: float) -> float:
    if not histogram.get_total_count():
        return 0
    micros: int = histogram.get_value_at_percentile(percent)
    return micros / _US_IN_MS

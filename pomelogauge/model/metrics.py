"""Names and values of metrics."""

from dataclasses import dataclass
from enum import StrEnum


class Counter(StrEnum):
    """Names of monotonic counters."""

    REQUESTS_SERVED = 'pomelogauge_requests_served_total'
    REQUESTS_REFUSED = 'pomelogauge_requests_refused_total'
    REQUESTS_RESUMED = 'pomelogauge_requests_resumed_total'
    REQUESTS_CANCELLED = 'pomelogauge_requests_cancelled_total'
    ENTRY_REQUESTS = 'pomelogauge_entry_requests_total'
    TOKENS = 'pomelogauge_tokens_total'
    REPLICAS_FORMED = 'pomelogauge_replicas_formed_total'
    REPLICAS_BROKEN = 'pomelogauge_replicas_broken_total'
    LEASES_TAKEN = 'pomelogauge_leases_taken_total'


class Timing(StrEnum):
    """Names of distributions of durations, in seconds."""

    FIRST_TOKEN = 'pomelogauge_first_token_seconds'
    PLACE_WAIT = 'pomelogauge_place_wait_seconds'
    WHOLE_ANSWER = 'pomelogauge_whole_answer_seconds'
    SERVICE_CALL = 'pomelogauge_service_call_seconds'


@dataclass(frozen=True)
class CounterValue:
    """Value of a counter for one label.

    Parameters
    ----------
    counter
        Name of the counter.
    label
        Organisation, refusal code or shard; empty for none.
    total
        Count since the start of the process.

    """

    counter: Counter
    label: str
    total: int


@dataclass(frozen=True)
class Quantile:
    """One quantile of a distribution.

    Parameters
    ----------
    fraction
        Fraction of the durations that are at most ``seconds`` long, between
        zero and one.
    seconds
        Value of the quantile.

    """

    fraction: float
    seconds: float


@dataclass(frozen=True)
class TimingValue:
    """Summary of the durations measured since the start of the process.

    Parameters
    ----------
    timing
        Name of the distribution.
    quantiles
        Its quantiles, by rising fraction.
    count, sum_s
        Number of the durations and their sum.

    """

    timing: Timing
    quantiles: tuple[Quantile, ...]
    count: int
    sum_s: float


@dataclass(frozen=True)
class MetricsSnapshot:
    """All metrics of a process at one moment."""

    counters: tuple[CounterValue, ...]
    timings: tuple[TimingValue, ...]

"""Names of metrics and their snapshots."""

from dataclasses import dataclass
from enum import StrEnum


class Counter(StrEnum):
    """Counts that only rise."""

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
    """Distributions of times, in seconds."""

    FIRST_TOKEN = 'pomelogauge_first_token_seconds'
    PLACE_WAIT = 'pomelogauge_place_wait_seconds'
    WHOLE_ANSWER = 'pomelogauge_whole_answer_seconds'
    SERVICE_CALL = 'pomelogauge_service_call_seconds'


@dataclass(frozen=True)
class CounterValue:
    """A counter and its label.

    Parameters
    ----------
    counter
        Which counter.
    label
        Organisation, refusal code or shard; empty for none.
    total
        Count since the process started.

    """

    counter: Counter
    label: str
    total: int


@dataclass(frozen=True)
class Quantile:
    """One point of a distribution."""

    fraction: float
    seconds: float


@dataclass(frozen=True)
class TimingValue:
    """A distribution of times."""

    timing: Timing
    quantiles: tuple[Quantile, ...]
    count: int
    sum_s: float


@dataclass(frozen=True)
class MetricsSnapshot:
    """All metrics at one moment."""

    counters: tuple[CounterValue, ...]
    timings: tuple[TimingValue, ...]

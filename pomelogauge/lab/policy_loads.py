"""Loads for the comparison of policies: arrivals and targets."""

from dataclasses import dataclass
from random import Random

from ..model.ids import ModelName, OrganisationName, RequestId
from ..model.request import ModelRequest

#: Slots of a warm target, and of a cold one.
SLOTS = 16
COLD_SLOTS = 2
#: Seconds of a request on an idle target.
SERVICE_S = 0.4
#: Seconds for which a caller waits for a place.
DEADLINE_S = 4.0
#: Seconds of arrivals.
DURATION_S = 18.0
_TARGETS = 6
_PREFIXES = 40
_ORGANISATIONS = 10
_STEADY_PER_S = 170.0


@dataclass(frozen=True)
class TargetSpec:
    """One target of a replay.

    Parameters
    ----------
    name
        Its name.
    slowness
        Its requests take so many times as long.
    chilled_at_s
        When it turns cold; zero or less for never.

    """

    name: str
    slowness: float = 1
    chilled_at_s: float = 0


@dataclass(frozen=True)
class Load:
    """What a replay is given.

    Parameters
    ----------
    name
        Its name.
    targets
        The targets.
    rate_per_s
        Arrivals a second.
    burst_per_s
        Arrivals a second in the second third; zero for no burst.
    large_share
        Share of the arrivals that two organisations send.

    """

    name: str
    targets: tuple[TargetSpec, ...]
    rate_per_s: float = _STEADY_PER_S
    burst_per_s: float = 0
    large_share: float = 0.2

    def rate_at(self, at_s: float) -> float:
        """Return the arrivals a second at a time."""
        is_burst = DURATION_S / 3 <= at_s < DURATION_S * 2 / 3
        if self.burst_per_s and is_burst:
            return self.burst_per_s
        return self.rate_per_s


@dataclass(frozen=True)
class Arrival:
    """A request, when it comes and how long it takes on an idle target."""

    at_s: float
    request: ModelRequest
    service_s: float


def standard_loads() -> tuple[Load, ...]:
    """Return the loads that policies are compared under."""
    even = tuple(TargetSpec(f'target-{number}') for number in range(_TARGETS))
    rest = even[1:]
    slow = (TargetSpec('target-0', slowness=4), *rest)
    cold = (TargetSpec('target-0', chilled_at_s=DURATION_S / 3), *rest)
    return (
        Load('burst', even, rate_per_s=110, burst_per_s=260),
        Load('slow target', slow, rate_per_s=150),
        Load('cold target', cold),
        Load('large organisations', even, rate_per_s=210, large_share=0.8),
    )


def arrivals(load: Load, seed: int) -> tuple[Arrival, ...]:
    """Return the arrivals of a load, the same for the same seed."""
    rng = Random(f'{seed}-{load.name}')
    found: list[Arrival] = []
    at_s = rng.expovariate(load.rate_at(0))
    while at_s < DURATION_S:
        request = ModelRequest(
            RequestId(f'r-{len(found)}'),
            _organisation(load, rng),
            ModelName('m'),
            prefix=f'p-{int(_PREFIXES * rng.random() ** 2)}',
            deadline_s=DEADLINE_S,
        )
        service_s = SERVICE_S * rng.uniform(0.5, 1.5)
        found.append(Arrival(at_s, request, service_s))
        at_s += rng.expovariate(load.rate_at(at_s))
    return tuple(found)


def _organisation(load: Load, rng: Random) -> OrganisationName:
    if rng.random() < load.large_share:
        return OrganisationName(f'org-{rng.randrange(2)}')
    return OrganisationName(f'org-{rng.randrange(2, _ORGANISATIONS)}')

"""Compares policies under the same arrivals."""

import json
from collections.abc import Callable
from dataclasses import asdict, dataclass
from pathlib import Path
from random import Random

from ..decide.policies import PrefixAffinity, RandomChoice, TwoChoices
from ..decide.routing import LeastLoaded, Policy
from .distribution import distribution
from .policy_loads import (
    DURATION_S,
    SERVICE_S,
    SLOTS,
    Arrival,
    Load,
    arrivals,
    standard_loads,
)
from .policy_replay import DATA_CENTRE, Replay


@dataclass(frozen=True)
class Score:
    """How one policy did under one load.

    Parameters
    ----------
    load, policy
        Names.
    goodput_per_s
        Requests a second that got a place in time.
    of_bound
        The same as a share of what no policy can exceed.
    p95_wait_ms
        Wait for a place, 95 in 100.
    refused
        Requests that got none in time.
    idle_accelerator_s
        Accelerator-seconds idle while requests waited.
    overfed
        Requests beyond what their target bore.

    """

    load: str
    policy: str
    goodput_per_s: float
    of_bound: float
    p95_wait_ms: float
    refused: int
    idle_accelerator_s: float
    overfed: int

    def line(self) -> str:
        """Return the score as one line."""
        return (
            f'{self.load:20} {self.policy:16} '
            f'{self.goodput_per_s:6.1f}/s {self.of_bound:6.1%} of the bound, '
            f'p95 wait {self.p95_wait_ms:6.0f} ms, refused {self.refused:4}, '
            f'idle while waiting {self.idle_accelerator_s:6.1f} '
            f'accelerator-s, overfed {self.overfed}'
        )


def run_bench(seed: int, json_path: str) -> str:
    """Run all policies under all loads and return a table.

    Parameters
    ----------
    seed
        Of the arrivals and of the random policies.
    json_path
        File for all figures; empty for none.

    """
    scores: list[Score] = []
    for load in standard_loads():
        scores.extend(_scores(load, seed))
    if json_path:
        text = json.dumps([asdict(score) for score in scores], indent=1)
        Path(json_path).write_text(f'{text}\n', encoding='utf-8')
    return '\n'.join((f'seed {seed}', *(score.line() for score in scores)))


def _least_loaded(seed: int) -> Policy:
    return LeastLoaded(DATA_CENTRE)


def _affinity(seed: int) -> Policy:
    return PrefixAffinity(LeastLoaded(DATA_CENTRE))


def _random(seed: int) -> Policy:
    return RandomChoice(Random(seed).randrange)


def _two_choices(seed: int) -> Policy:
    return TwoChoices(Random(seed).randrange)


_POLICIES: dict[str, Callable[[int], Policy]] = {
    'least loaded': _least_loaded,
    'prefix affinity': _affinity,
    'random': _random,
    'two choices': _two_choices,
}


def _scores(load: Load, seed: int) -> list[Score]:
    found = arrivals(load, seed)
    return [
        _score(load, name, found, make(seed))
        for name, make in _POLICIES.items()
    ]


def _score(
    load: Load,
    policy: str,
    found: tuple[Arrival, ...],
    chosen: Policy,
) -> Score:
    outcome = Replay(load, found, chosen).run()
    served = len(outcome.waits_s)
    return Score(
        load.name,
        policy,
        served / DURATION_S,
        served / _bound(load, found),
        distribution(outcome.waits_s).p95_ms,
        outcome.refused,
        outcome.idle_accelerator_s,
        outcome.overfed,
    )


def _bound(load: Load, found: tuple[Arrival, ...]) -> float:
    """Return what no policy can exceed: all arrivals, or all slots busy.

    It takes the targets for warm and each request for as short as on an idle
    target, without a cached prefix, so that it is seldom within reach.
    """
    speed = sum(1 / target.slowness for target in load.targets)
    capacity = speed * SLOTS * DURATION_S / SERVICE_S
    return min(len(found), capacity)

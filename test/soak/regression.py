"""Reads the seeds that failed in earlier runs."""

from dataclasses import dataclass
from pathlib import Path

SEEDS = Path(__file__).with_name('seeds.txt')


@dataclass(frozen=True)
class FailedSeed:
    """A seed that each run of the tests repeats."""

    seed: int
    seconds: float
    cause: str


def read_seeds() -> tuple[FailedSeed, ...]:
    """Read ``seeds.txt``: seed, seconds of faults and cause in each line."""
    lines = SEEDS.read_text().splitlines()
    rows = [line.split('|') for line in lines if not line.startswith('#')]
    return tuple(
        FailedSeed(int(seed), float(seconds), cause.strip())
        for seed, seconds, cause in rows
    )

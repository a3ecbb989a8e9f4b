"""Reads the seeds that have failed."""

from dataclasses import dataclass
from pathlib import Path

SEEDS = Path(__file__).with_name('seeds.txt')


@dataclass(frozen=True)
class FailedSeed:
    """A seed that is played again in each run of the tests."""

    seed: int
    seconds: float
    cause: str


def read_seeds() -> tuple[FailedSeed, ...]:
    """Return all seeds that have failed."""
    lines = SEEDS.read_text().splitlines()
    rows = [line.split('|') for line in lines if not line.startswith('#')]
    return tuple(
        FailedSeed(int(seed), float(seconds), cause.strip())
        for seed, seconds, cause in rows
    )

"""Waits for states, never for a time alone."""

import time
from collections.abc import Callable, Iterator
from typing import TypeAlias

from .steps import StepError

#: Says what is missing; empty once the state is reached.
Missing: TypeAlias = Callable[[], str]

_LOOK_INTERVAL_S = 0.05


def wait_until(missing: Missing, limit_s: float) -> None:
    """Return once a state is reached.

    Raises
    ------
    StepError
        It was not reached in time.

    """
    said = ''
    for _ in _looks(limit_s):
        said = missing()
        if not said:
            return
    raise StepError(f'after {limit_s:g} s {said}')


def stays(missing: Missing, for_s: float) -> None:
    """Return once a state has held for some time.

    Raises
    ------
    StepError
        It did not hold.

    """
    begun_s = time.monotonic()
    for _ in _looks(for_s):
        said = missing()
        if said:
            passed_s = time.monotonic() - begun_s
            raise StepError(f'{passed_s:.2f} s later {said}')


def _looks(limit_s: float) -> Iterator[float]:
    """Yield the seconds left, now and then, and at the end once more."""
    until_s = time.monotonic() + limit_s
    left_s = limit_s
    while left_s > 0:
        yield left_s
        time.sleep(_LOOK_INTERVAL_S)
        left_s = until_s - time.monotonic()
    yield left_s

"""Limits the loads from the weight store in a sliding window."""

from collections import deque

WINDOW_S = 5.0
#: Part of the allowed rate that one owner uses. A new owner does not know
#: which loads its predecessor started within the window, so that two owners
#: together must stay within the limit.
OWN_SHARE = 0.5


class LoadBudget:
    """Counts the loads that this owner has ordered; used by its task."""

    def __init__(self) -> None:
        """Start with no loads in the window."""
        self._starts: deque[float] = deque()

    def remaining(self, per_s: float, now_s: float) -> float:
        """Return how many loads may start now; zero or less means none.

        Parameters
        ----------
        per_s
            Loads per second that the weight store can serve.
        now_s
            Current time of the local clock.

        """
        while self._starts and self._starts[0] < now_s - WINDOW_S:
            self._starts.popleft()
        return per_s * WINDOW_S * OWN_SHARE - len(self._starts)

    def count(self, loads: int, now_s: float) -> None:
        """Count loads that start at this time."""
        self._starts.extend(now_s for _ in range(loads))

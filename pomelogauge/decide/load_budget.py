"""Bounds how many loads from the weight store start in a sliding window."""

from collections import deque

#: Seconds of the window.
WINDOW_S = 5.0
#: Part of the allowed rate that one owner uses. Its successor does not know
#: what it has started.
OWN_SHARE = 0.5


class LoadBudget:
    """Counts the loads that this owner has started."""

    def __init__(self) -> None:
        """Start with an empty window."""
        self._starts: deque[float] = deque()

    def remaining(self, per_s: float, now_s: float) -> float:
        """Return the loads that may start now.

        Parameters
        ----------
        per_s
            Loads a second that the weight store bears.
        now_s
            Present time of the own clock.

        """
        while self._starts and self._starts[0] < now_s - WINDOW_S:
            self._starts.popleft()
        return per_s * WINDOW_S * OWN_SHARE - len(self._starts)

    def count(self, loads: int, now_s: float) -> None:
        """Count loads that were ordered."""
        self._starts.extend(now_s for _ in range(loads))

"""Bounds the requests that a cold target gets in any second."""

from collections import deque

from ..model.ids import TargetName

_WINDOW_S = 1.0


class ColdRate:
    """Counts the requests sent to each cold target."""

    def __init__(self) -> None:
        """Start without targets."""
        self._sent: dict[TargetName, deque[float]] = {}

    def may_send(self, target: TargetName, now_s: float, most: float) -> bool:
        """Return whether one more request stays within the bound.

        Parameters
        ----------
        target
            The cold target.
        now_s
            Present time of the own clock.
        most
            Requests that this entry instance may send in a second; at least
            one is allowed.

        """
        times = self._sent.get(target, deque())
        while times and times[0] < now_s - _WINDOW_S:
            times.popleft()
        return len(times) + 1 <= max(1, most)

    def count(self, target: TargetName, now_s: float) -> None:
        """Count a request that was sent."""
        self._sent.setdefault(target, deque()).append(now_s)

"""Bounds repeats by a share of the requests in a sliding window."""

from collections import deque


class InstanceRetryBudget:
    """Repeats of one service that this entry instance may send.

    Parameters
    ----------
    share
        Repeats that each request pays for.
    window_s
        Seconds of the window.

    """

    def __init__(self, share: float, window_s: float) -> None:
        """Start with an empty window."""
        self._share = share
        self._window_s = window_s
        self._requests: deque[float] = deque()
        self._repeats: deque[float] = deque()

    def count_request(self, now_s: float) -> None:
        """Count a caller's request."""
        self._requests.append(now_s)
        self._forget(now_s)

    def take(self, now_s: float, reserve: float) -> bool:
        """Take one repeat; false when the window has none left.

        Parameters
        ----------
        now_s
            Present time of the own clock.
        reserve
            Repeats beyond the share in one window: the part of this
            instance.

        """
        self._forget(now_s)
        most = reserve + self._share * len(self._requests)
        if len(self._repeats) + 1 > most:
            return False
        self._repeats.append(now_s)
        return True

    def _forget(self, now_s: float) -> None:
        for times in (self._requests, self._repeats):
            while times and times[0] < now_s - self._window_s:
                times.popleft()

"""Retry budget of one entry instance: a share of its recent requests."""

from collections import deque


class InstanceRetryBudget:
    """Limits the retries of one service; used by the dispatcher's task.

    Parameters
    ----------
    share
        Retries that each request of the window allows.
    window_s
        Seconds for which requests and retries count.

    """

    def __init__(self, share: float, window_s: float) -> None:
        """Start with no requests and retries in the window."""
        self._share = share
        self._window_s = window_s
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def count_request(self, now_s: float) -> None:
        """Count a caller's request, but not its retries."""
        self._requests.append(now_s)
        self._drop_expired(now_s)

    def take(self, now_s: float, reserve: float) -> bool:
        """Take one retry from the budget; false when none is left.

        Parameters
        ----------
        now_s
            Current time of the local clock.
        reserve
            Retries that the window allows beyond the share, so that a
            service with few requests can be retried at all: the part of this
            instance in the reserve of all.

        """
        self._drop_expired(now_s)
        limit = reserve + self._share * len(self._requests)
        if len(self._retries) + 1 > limit:
            return False
        self._retries.append(now_s)
        return True

    def _drop_expired(self, now_s: float) -> None:
        for times in (self._requests, self._retries):
            while times and times[0] < now_s - self._window_s:
                times.popleft()

"""Retry budget of one entry instance: a share of its requests, and a reserve."""

from collections import deque
from dataclasses import dataclass

#: Part of the reserve that may be used at once. The rest comes evenly over a
#: window.
BURST_SHARE = 0.5


@dataclass(frozen=True)
class _Retry:
    """A retry in the window.

    Parameters
    ----------
    at_s
        Time of the local clock.
    of_share
        Part of it that the share of the requests allowed; the rest is of the
        reserve.

    """

    at_s: float
    of_share: float


class InstanceRetryBudget:
    """Limits the retries of one service; used by the dispatcher's task.

    The reserve is a token bucket that is empty at the start: an instance that
    has restarted may have used up its reserve just before, and callers see the
    retries of both lives in one window. In each window the reserve gives what
    it holds for the window at most, however often the instance restarts.

    Parameters
    ----------
    share
        Retries that each request of the window allows.
    window_s
        Seconds for which requests and retries count.
    started_s
        Time of the local clock from which the reserve comes.

    """

    def __init__(self, share: float, window_s: float, started_s: float) -> None:
        """Start with no requests and retries in the window."""
        self._share = share
        self._window_s = window_s
        self._requests: deque[float] = deque()
        self._retries: deque[_Retry] = deque()
        self._tokens = 0.0
        self._refilled_s = started_s

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
            Retries that a window allows beyond the share, so that a service
            with few requests can be retried at all: the part of this instance
            in the reserve of all.

        """
        self._drop_expired(now_s)
        self._refill(now_s, reserve)
        used = sum(retry.of_share for retry in self._retries)
        left = max(0, self._share * len(self._requests) - used)
        of_share = min(1, left)
        if self._tokens < 1 - of_share:
            return False
        self._tokens -= 1 - of_share
        self._retries.append(_Retry(now_s, of_share))
        return True

    def _refill(self, now_s: float, reserve: float) -> None:
        burst = max(min(1, reserve), reserve * BURST_SHARE)
        per_s = (reserve - burst) / self._window_s
        added = (now_s - self._refilled_s) * per_s
        self._tokens = min(burst, self._tokens + added)
        self._refilled_s = now_s

    def _drop_expired(self, now_s: float) -> None:
        oldest_s = now_s - self._window_s
        while self._requests and self._requests[0] < oldest_s:
            self._requests.popleft()
        while self._retries and self._retries[0].at_s < oldest_s:
            self._retries.popleft()

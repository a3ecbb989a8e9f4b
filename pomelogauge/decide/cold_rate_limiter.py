"""Limits the rate of requests to targets that are still cold."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from ..model.ids import TargetName

_WINDOW_S = 1.0
#: Seconds without a call for a target after which its next call begins a new
#: cold phase, with a new random delay.
_PHASE_TIMEOUT_S = 3.0


@dataclass(frozen=True)
class _ColdPhase:
    """Requests sent to one target since it turned cold.

    Parameters
    ----------
    from_s
        Time of the local clock before which no request is sent.
    sent
        Times of the requests within the window, the oldest first.

    """

    from_s: float
    sent: deque[float] = field(default_factory=deque)


class ColdRateLimiter:
    """Sliding-window rate limiter with one window for each cold target.

    Used by the dispatcher's task.

    Parameters
    ----------
    draw
        Returns a random number from zero to one. All instances learn at the
        same time that a target is cold. Where each of them may send less than
        one request a second, this spreads their first requests over the
        window, so that together they stay within the limit.

    """

    def __init__(self, draw: Callable[[], float]) -> None:
        """Start without a record of any target."""
        self._draw = draw
        self._phases: dict[TargetName, _ColdPhase] = {}
        self._called_s: dict[TargetName, float] = {}

    def may_send(
        self, target: TargetName, now_s: float, limit_per_s: float
    ) -> bool:
        """Return whether one more request stays within the limit.

        Parameters
        ----------
        target
            Target that is cold now.
        now_s
            Current time of the local clock.
        limit_per_s
            Requests that this entry instance may send in a second. Below one
            the window grows, so that one request is sent in each
            ``1 / limit_per_s`` seconds.

        """
        window_s = _WINDOW_S / min(1, limit_per_s)
        phase = self._phase(target, now_s, window_s)
        while phase.sent and phase.sent[0] < now_s - window_s:
            phase.sent.popleft()
        if now_s < phase.from_s:
            return False
        return len(phase.sent) + 1 <= max(1, limit_per_s)

    def count(self, target: TargetName, now_s: float) -> None:
        """Count a request that the dispatcher sends to a cold target."""
        self._phases.setdefault(target, _ColdPhase(now_s)).sent.append(now_s)

    def _phase(
        self,
        target: TargetName,
        now_s: float,
        window_s: float,
    ) -> _ColdPhase:
        called_s = self._called_s.get(target, now_s)
        self._called_s[target] = now_s
        if target not in self._phases or now_s - called_s > _PHASE_TIMEOUT_S:
            delay_s = 0.0
            if window_s > _WINDOW_S:
                delay_s = self._draw() * window_s
            self._phases[target] = _ColdPhase(now_s + delay_s)
        return self._phases[target]

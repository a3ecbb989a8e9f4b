"""Bounds the requests that a cold target gets in any second."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from ..model.ids import TargetName

_WINDOW_S = 1.0
#: Seconds without a question after which a target counts as cold anew.
_ANEW_S = 3.0


@dataclass(frozen=True)
class _Record:
    """What was sent to one cold target.

    Parameters
    ----------
    from_s
        Time before which nothing is sent.
    sent
        Times of the requests that were sent.

    """

    from_s: float
    sent: deque[float] = field(default_factory=deque)


class ColdRateLimiter:
    """Counts the requests sent to each cold target.

    Parameters
    ----------
    draw
        Random number from zero to one. All instances see a target turn cold
        together; where each may send less than one request a second, they
        begin at different times.

    """

    def __init__(self, draw: Callable[[], float]) -> None:
        """Start without targets."""
        self._draw = draw
        self._records: dict[TargetName, _Record] = {}
        self._asked: dict[TargetName, float] = {}

    def may_send(self, target: TargetName, now_s: float, most: float) -> bool:
        """Return whether one more request stays within the bound.

        Parameters
        ----------
        target
            The cold target.
        now_s
            Present time of the own clock.
        most
            Requests that this entry instance may send in a second. Less than
            one means one in a longer time.

        """
        window_s = _WINDOW_S / min(1, most)
        record = self._record(target, now_s, window_s)
        while record.sent and record.sent[0] < now_s - window_s:
            record.sent.popleft()
        if now_s < record.from_s:
            return False
        return len(record.sent) + 1 <= max(1, most)

    def count(self, target: TargetName, now_s: float) -> None:
        """Count a request that was sent."""
        self._records.setdefault(target, _Record(now_s)).sent.append(now_s)

    def _record(
        self,
        target: TargetName,
        now_s: float,
        window_s: float,
    ) -> _Record:
        asked_s = self._asked.get(target, now_s)
        self._asked[target] = now_s
        if target not in self._records or now_s - asked_s > _ANEW_S:
            pause_s = 0.0
            if window_s > _WINDOW_S:
                pause_s = self._draw() * window_s
            self._records[target] = _Record(now_s + pause_s)
        return self._records[target]

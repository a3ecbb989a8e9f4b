"""Tracks which targets have asked for fewer requests, or for none.

Answers the load pattern of a target that is about to end, or that is full and
says for how long: requests that it would reject go to others at once.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass, replace

from ..model.entry_request import TargetAddress, TargetNotice
from ..model.fleet import Target
from ..model.ids import TargetName

#: Seconds for which the notice of a target that is not listed is kept: it may
#: be listed again after an outage of the store.
UNLISTED_NOTICE_S = 600.0


@dataclass(frozen=True)
class _ActiveNotice:
    """What one start of a target has asked for, by the local clock.

    Parameters
    ----------
    started_at_ms
        Start of the target; a later one has asked for nothing.
    seen_s
        Last time at which it answered with a notice or was listed.
    until_s
        Time from which the target takes requests again; infinite if it is
        leaving.

    """

    started_at_ms: int
    seen_s: float
    until_s: float


class TargetNotices:
    """Notices of all targets; owned by the dispatcher's task."""

    def __init__(self) -> None:
        """Start without notices."""
        self._notices: dict[TargetName, _ActiveNotice] = {}

    def record(
        self, destination: TargetAddress, notice: TargetNotice, now_s: float
    ) -> bool:
        """Record the notice in an answer; return whether it changes anything.

        Parameters
        ----------
        destination
            The target that has answered.
        notice
            What it asks for.
        now_s
            Present time of the local clock.

        """
        started_at_ms = destination.started_at_ms
        before = self._notices.get(destination.target)
        until_s = now_s + notice.retry_after_s
        if notice.is_leaving:
            until_s = math.inf
        if before is not None:
            if before.started_at_ms > started_at_ms:
                return False
            if before.started_at_ms == started_at_ms:
                until_s = max(until_s, before.until_s)
        recorded = _ActiveNotice(started_at_ms, now_s, until_s)
        self._notices[destination.target] = recorded
        return before is None or (before.started_at_ms, before.until_s) != (
            recorded.started_at_ms,
            recorded.until_s,
        )

    def wait_s(self, target: Target, now_s: float) -> float:
        """Return the seconds until a target takes requests again.

        Zero if it takes them now, infinite if it is leaving.
        """
        notice = self._notices.get(target.name)
        if notice is None or notice.started_at_ms != target.started_at_ms:
            return 0
        return max(0, notice.until_s - now_s)

    def forget_old(
        self, targets: Mapping[TargetName, Target], now_s: float
    ) -> None:
        """Forget notices that have ended and those of targets that are gone.

        Parameters
        ----------
        targets
            Targets that are listed now.
        now_s
            Present time of the local clock.

        """
        kept = {
            name: replace(notice, seen_s=now_s) if name in targets else notice
            for name, notice in self._notices.items()
        }
        self._notices = {
            name: notice
            for name, notice in kept.items()
            if notice.until_s > now_s
            and notice.seen_s + UNLISTED_NOTICE_S > now_s
        }

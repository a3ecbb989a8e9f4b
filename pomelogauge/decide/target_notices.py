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
    """What a target has asked for, by the local clock.

    Parameters
    ----------
    leaving
        Its starts that have said that they leave; others have not. They are
        told apart but not ordered, since the clock of a host may be set back.
    paused_until_s
        Time until which it wants no requests. A restarted target answers at
        the address of the start before until its new start is listed, so a
        pause binds all its starts.
    seen_s
        Last time at which it answered with a notice or was listed.

    """

    leaving: frozenset[int]
    paused_until_s: float
    seen_s: float


_NO_NOTICE = _ActiveNotice(frozenset(), -math.inf, -math.inf)


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
        before = self._notices.get(destination.target, _NO_NOTICE)
        leaving = before.leaving
        if notice.is_leaving:
            leaving |= {destination.started_at_ms}
        paused_until_s = before.paused_until_s
        if notice.retry_after_s:
            paused_until_s = max(paused_until_s, now_s + notice.retry_after_s)
        recorded = _ActiveNotice(leaving, paused_until_s, now_s)
        self._notices[destination.target] = recorded
        return replace(before, seen_s=now_s) != recorded

    def wait_s(self, target: Target, now_s: float) -> float:
        """Return the seconds until a target takes requests again.

        Zero if it takes them now, infinite if it is leaving.
        """
        notice = self._notices.get(target.name, _NO_NOTICE)
        if target.started_at_ms in notice.leaving:
            return math.inf
        return max(0, notice.paused_until_s - now_s)

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
            if (notice.leaving or notice.paused_until_s > now_s)
            and notice.seen_s + UNLISTED_NOTICE_S > now_s
        }

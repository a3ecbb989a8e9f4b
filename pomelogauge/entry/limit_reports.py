"""What the membership task exchanges with the owner on limits of targets."""

from collections.abc import Container

from ..decide.target_limits import TargetLimits
from ..model.ids import TargetName
from ..model.target_limits import TargetLimit
from ..tasks.mailbox import Outbox
from .dispatch_messages import LimitsShared
from .owner_link import NO_SNAPSHOT, SnapshotVersion


class LimitReports:
    """Limits that this instance has read, and those that all have.

    Used by the membership task. An instance reports what it has read as long
    as the owner knows it differently, so that no report needs to be repeated
    by itself; a new owner is told all.
    """

    def __init__(self) -> None:
        """Start without limits."""
        self._read = TargetLimits()
        self._shared = TargetLimits()
        self._listeners: tuple[Outbox[LimitsShared], ...] = ()
        self._term = 0
        #: Version of the owner's limits that this instance has.
        self.version = NO_SNAPSHOT

    def share_with(self, *listeners: Outbox[LimitsShared]) -> None:
        """Set who learns of limits that other instances have read."""
        self._listeners = listeners

    def record(self, limit: TargetLimit, now_s: float) -> None:
        """Record a limit that a target has named to this instance."""
        self._read.record(limit, now_s)

    def news(self, term: int, now_s: float) -> tuple[TargetLimit, ...]:
        """Return what the owner of a term does not know yet."""
        if self._term == term:
            return self._read.newer_than(self._shared, now_s)
        return self._read.current(now_s)

    def collect(
        self, reported: tuple[TargetLimit, ...], term: int, now_s: float
    ) -> None:
        """Take in the limits that a report has brought, as the owner.

        Parameters
        ----------
        reported
            From a report of any instance, this one included.
        term
            Term in which this instance is the owner. In a new term it starts
            with what its predecessor had told.
        now_s
            Current time of the local clock.

        """
        count = self.version.count if self.version.term == term else 0
        if self._take(reported, now_s) or not count:
            self.version = SnapshotVersion(term, count + 1)
        self._term = term

    def told(self, now_s: float) -> tuple[TargetLimit, ...]:
        """Return what the owner tells an instance without its version."""
        return self._shared.current(now_s)

    def follow(
        self,
        limits: tuple[TargetLimit, ...],
        version: SnapshotVersion,
        asked_s: float,
    ) -> None:
        """Take in the owner's answer to a report.

        Parameters
        ----------
        limits
            Limits that the owner knows, unless this instance has its version.
        version
            Their version.
        asked_s
            Time of the local clock at which the report was sent. The ages of
            the limits count from it, so that none looks younger than it is.

        """
        self._take(limits, asked_s)
        self.version = version
        self._term = version.term

    def forget_old(self, listed: Container[TargetName], now_s: float) -> None:
        """Forget the limits of targets that are long gone."""
        self._read.forget_old(listed, now_s)
        self._shared.forget_old(listed, now_s)

    def _take(self, limits: tuple[TargetLimit, ...], now_s: float) -> bool:
        changed = tuple(
            limit for limit in limits if self._shared.record(limit, now_s)
        )
        if changed:
            for listener in self._listeners:
                listener.post(LimitsShared(changed, now_s))
        return bool(changed)

"""Decides how often to look at the owner, and when it is silent."""

from collections.abc import Sequence

from ..model.fleet import EntryInstance
from ..model.ids import ABSENT_ROW, NodeName, RowVersion
from .rendezvous import ranked

#: Seconds without a renewal after which others take over: the owner's hold
#: and the time of an order on its way.
SILENT_S = 1.7
#: Seconds without a renewal after which others take over an owner whose
#: process does not listen: one renewal and its delay.
ENDED_S = 0.7
#: Seconds between two looks of the first in line and of all others, while
#: the owner does not answer reports.
POLL_INTERVAL_S = 0.35
LATE_LOOK_S = 1.0
#: Seconds between two looks while it does. Its answers tell of its term; a
#: look finds an owner that answers though another has taken over.
CALM_LOOK_S = 30.0
#: Instances that look often.
FIRST_IN_LINE = 3

#: Key of the line of successors.
_LINE = 'owner'


class OwnerWatch:
    """What one instance in standby knows of the owner's life.

    Parameters
    ----------
    own
        This instance.
    now_s
        Present time of the own clock.

    """

    def __init__(self, own: NodeName, now_s: float) -> None:
        """Start without an owner."""
        self._own = own
        self._rank = 0
        self._is_calm = False
        self._has_ended = False
        self._seen_s = now_s
        self.renewal_version = ABSENT_ROW

    def update_rank(
        self,
        entries: Sequence[EntryInstance],
        holder: NodeName,
    ) -> None:
        """Find the place of this instance in the line of successors."""
        nodes = [
            entry.node
            for entry in entries
            if not entry.is_leaving and entry.node != holder
        ]
        line = ranked(_LINE, nodes)
        if self._own in line:
            self._rank = line.index(self._own)

    def record_answer(self, renewal_version: RowVersion, now_s: float) -> bool:
        """Take notice of an answer; return whether it came after silence."""
        was_calm = self._is_calm
        self._is_calm = True
        self._has_ended = False
        self.record_renewal(renewal_version, now_s)
        return not was_calm

    def record_missed_answer(self, has_ended: bool) -> bool:
        """Take notice of no answer; return whether it came after answers."""
        was_calm = self._is_calm
        self._is_calm = False
        self._has_ended = has_ended
        return was_calm

    def record_renewal(self, renewal_version: RowVersion, now_s: float) -> None:
        """Take the row version of the newest renewal."""
        if renewal_version > self.renewal_version:
            self.renewal_version = renewal_version
            self._seen_s = now_s

    def reset(self, now_s: float) -> None:
        """Start anew: nothing can be known of the owner, or it is another."""
        self._has_ended = False
        self._seen_s = now_s

    def has_timed_out(self, now_s: float) -> bool:
        """Return whether this instance may take over."""
        longest_s = ENDED_S if self._has_ended else SILENT_S
        return now_s - self._seen_s > longest_s + POLL_INTERVAL_S * self._rank

    def poll_interval_s(self) -> float:
        """Return the seconds until the next look."""
        if self._is_calm:
            return CALM_LOOK_S
        return POLL_INTERVAL_S if self._rank < FIRST_IN_LINE else LATE_LOOK_S

"""Decides how often to poll the owner lease and when it has timed out."""

from collections.abc import Sequence

from ..model.fleet import EntryInstance
from ..model.ids import NodeName
from ..model.store_version import ABSENT_ROW, StoreVersion
from .rendezvous import ranked

#: Seconds without a renewal after which another instance may take over: the
#: time for which the owner may act after a renewal, and the time that its last
#: order may be on the way.
OWNER_TIMEOUT_S = 1.7
#: Seconds between two polls of the lease while the owner does not answer
#: reports: for the first instances in the succession order, and for others.
POLL_INTERVAL_S = 0.35
LATE_POLL_INTERVAL_S = 1.0
#: Seconds between two polls while the owner answers reports. The answers carry
#: its term and renewals; a poll is needed only to find that another instance
#: has taken over from an owner that still answers.
IDLE_POLL_INTERVAL_S = 30.0
#: Number of instances that poll at the shorter interval.
FREQUENT_POLLERS = 3
#: Cores below which an instance that knows no others waits for one with more
#: of them, as if it ranked after the frequent pollers.
SMALL_CORES = 1.0
#: Share of the most cores of an instance that the first ranks must have.
LARGE_SHARE = 0.5

#: Era of a store that was never put back, or does not count its eras.
FIRST_ERA = 1

#: Key by which the instances are ranked for the succession.
_SUCCESSION_KEY = 'owner'


class OwnerWatch:
    """Failure detector for the owner, run by an instance in standby.

    Used by the task that keeps the owner lease. The instances take over in a
    succession order: each rank waits one poll interval longer than the rank
    before it, so that they do not all write to the store at once.

    Parameters
    ----------
    own
        Name of this instance.
    now_s
        Current time of the local clock; the timeout counts from it until the
        first renewal is known.
    cores
        Processor cores of this instance.

    """

    def __init__(
        self, own: NodeName, now_s: float, cores: float = SMALL_CORES
    ) -> None:
        """Start without a known renewal."""
        self._own = own
        self._rank = 0 if cores >= SMALL_CORES else FREQUENT_POLLERS
        self._is_answering = False
        self._renewed_s = now_s
        #: Era of the store in the last poll; ``None`` before the first.
        self._era: int | None = None
        self.renewal_version = ABSENT_ROW

    def update_rank(
        self,
        instances: Sequence[EntryInstance],
        holder: NodeName,
    ) -> None:
        """Set the rank of this instance in the succession order.

        Instances with many cores come first: the owner serves all others.
        The rank stays as it was when this instance is not among the
        candidates.

        Parameters
        ----------
        instances
            Live entry instances; those that are leaving don't count.
        holder
            Name of the present owner, which doesn't count either.

        """
        candidates = [
            instance
            for instance in instances
            if not instance.is_leaving and instance.node != holder
        ]
        succession = _succession(candidates)
        if self._own in succession:
            self._rank = succession.index(self._own)

    def record_answer(
        self, renewal_version: StoreVersion, now_s: float
    ) -> bool:
        """Record that the owner has answered a report.

        Parameters
        ----------
        renewal_version
            Row version of its last renewal, from the answer.
        now_s
            Current time of the local clock.

        Returns
        -------
        bool
            Whether this is the first answer at all, or after a missed one.

        """
        did_answer = self._is_answering
        self._is_answering = True
        self.record_renewal(renewal_version, now_s)
        return not did_answer

    def record_missed_answer(self) -> bool:
        """Record that the owner has not answered a report.

        That says nothing of its lease, also where its connections are
        refused: a path may refuse them while its renewals reach the store.

        Returns
        -------
        bool
            Whether this is the first missed answer after an answered report.

        """
        did_answer = self._is_answering
        self._is_answering = False
        return did_answer

    def record_renewal(
        self, renewal_version: StoreVersion, now_s: float
    ) -> None:
        """Restart the timeout if this renewal is newer than the last one."""
        if renewal_version > self.renewal_version:
            self.renewal_version = renewal_version
            self._renewed_s = now_s

    def reset(self, now_s: float) -> None:
        """Restart the timeout: the owner is another, or can't be observed.

        While the store does not answer, a missing renewal says nothing.
        """
        self._renewed_s = now_s

    def update_era(self, era: int, now_s: float) -> None:
        """Restart the timeout in a new era of the store.

        Whoever held the lease in the era before may act as long as if it had
        been renewed right before the store was put back.
        """
        is_first = self._era is None and era <= FIRST_ERA
        if era != self._era and not is_first:
            self.reset(now_s)
        self._era = era

    def may_take(self, now_s: float, *, has_owner: bool) -> bool:
        """Return whether this instance may take the lease.

        Parameters
        ----------
        now_s
            Current time of the local clock.
        has_owner
            Whether any instance has taken it before, by the store. A store
            that was put back may have lost that.

        """
        was_put_back = self._era is not None and self._era > FIRST_ERA
        if has_owner or was_put_back:
            return self.has_timed_out(now_s)
        return now_s - self._renewed_s >= POLL_INTERVAL_S * self._rank

    def has_timed_out(self, now_s: float) -> bool:
        """Return whether this instance may take over from the owner."""
        timeout_s = OWNER_TIMEOUT_S + POLL_INTERVAL_S * self._rank
        return now_s - self._renewed_s > timeout_s

    def poll_interval_s(self) -> float:
        """Return the seconds until the next poll of the lease."""
        if self._is_answering:
            return IDLE_POLL_INTERVAL_S
        return (
            POLL_INTERVAL_S
            if self._rank < FREQUENT_POLLERS
            else LATE_POLL_INTERVAL_S
        )


def _succession(candidates: Sequence[EntryInstance]) -> tuple[NodeName, ...]:
    most = max((instance.cores for instance in candidates), default=0)
    large = {
        instance.node
        for instance in candidates
        if instance.cores >= LARGE_SHARE * most
    }
    nodes = ranked(_SUCCESSION_KEY, (instance.node for instance in candidates))
    return tuple(sorted(nodes, key=lambda node: node not in large))

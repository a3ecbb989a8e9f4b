"""What the lease keeper knows of all holders."""

from collections.abc import Collection, Iterable

from ..decide.leases import HolderObservation, LeaseContext, is_expired, observe
from ..model.ids import ABSENT_ROW, NodeName
from ..model.placement import Heartbeat
from ..model.times import ControlTimes
from ..tables.protocols import Condition, RowKey
from ..wire.rows import HOLDERS
from .clock import Clock


class HolderWatch:
    """Watches the rows of ``holders``; part of the lease keeper's task.

    Parameters
    ----------
    node
        The controller itself.
    times
        Periods.
    clock
        Own clock.

    """

    def __init__(
        self,
        node: NodeName,
        times: ControlTimes,
        clock: Clock,
    ) -> None:
        """Start without holders."""
        self._node = node
        self._times = times
        self._clock = clock
        self._holders: dict[NodeName, HolderObservation] = {}

    def take(self, heartbeats: Iterable[Heartbeat]) -> None:
        """Take the rows of a scan that has just ended."""
        now_s = self._clock.now_s()
        self._holders = observe(self._holders, heartbeats, now_s, self._times)

    def is_expired(self, holder: NodeName) -> bool:
        """Return whether a holder's leases have lapsed beyond doubt."""
        seen = self._holders.get(holder)
        return is_expired(seen, self._clock.now_s(), self._times)

    def unchanged(self, holder: NodeName) -> Condition:
        """Return the condition that a holder has not renewed since."""
        seen = self._holders.get(holder)
        version = seen.heartbeat.version if seen else ABSENT_ROW
        return Condition(RowKey(HOLDERS, holder), version)

    def silent(self, kept: Collection[NodeName]) -> Heartbeat | None:
        """Return the row of one silent holder that is not kept."""
        for node, seen in self._holders.items():
            if node not in kept and self.is_expired(node):
                return seen.heartbeat
        return None

    def lease_context(self, handed_over_s: float) -> LeaseContext:
        """Return what the decisions about leases ask for."""
        now_s = self._clock.now_s()
        return LeaseContext(self._node, self._holders, handed_over_s, now_s)

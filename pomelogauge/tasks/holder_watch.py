"""Observations of all lease holders, for the lease keeper."""

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
        Name of this controller.
    times
        Term and margin of the leases.
    clock
        Monotonic clock of this process.

    """

    def __init__(
        self,
        node: NodeName,
        times: ControlTimes,
        clock: Clock,
    ) -> None:
        """Start without observations."""
        self._node = node
        self._times = times
        self._clock = clock
        self._holders: dict[NodeName, HolderObservation] = {}

    def record_scan(self, heartbeats: Iterable[Heartbeat]) -> None:
        """Record the rows of a scan; call it right after the scan has ended."""
        now_s = self._clock.now_s()
        self._holders = observe(self._holders, heartbeats, now_s, self._times)

    def is_expired(self, holder: NodeName) -> bool:
        """Return whether a holder's leases have certainly expired."""
        observation = self._holders.get(holder)
        return is_expired(observation, self._clock.now_s(), self._times)

    def unchanged_condition(self, holder: NodeName) -> Condition:
        """Return the condition that a holder has not renewed since the scan."""
        observation = self._holders.get(holder)
        version = observation.heartbeat.version if observation else ABSENT_ROW
        return Condition(RowKey(HOLDERS, holder), version)

    def find_expired(self, kept: Collection[NodeName]) -> Heartbeat | None:
        """Return the row of an expired holder that is not in ``kept``.

        ``None`` when there is none.
        """
        for node, observation in self._holders.items():
            if node not in kept and self.is_expired(node):
                return observation.heartbeat
        return None

    def lease_context(self, handed_over_s: float) -> LeaseContext:
        """Return the input of the decisions about leases.

        Parameters
        ----------
        handed_over_s
            Monotonic time at which this controller last handed a shard over.

        """
        now_s = self._clock.now_s()
        return LeaseContext(self._node, self._holders, handed_over_s, now_s)

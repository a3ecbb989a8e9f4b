"""Whether a controller competes for leases and how often it scans them."""

from collections.abc import Collection

from ..decide.leases import shards_of
from ..decide.shard_candidacy import (
    ShardCandidacy,
    controllers_of,
    shard_candidacies,
)
from ..model.ids import NodeName, ShardName
from ..model.times import ControlTimes
from .messages import InstancesListed


class Contention:
    """Candidacy for the listed shards; part of the lease keeper's task.

    Only controllers that may win a lease renew a row of their own; the
    others scan at longer intervals, which limits the load on the tables.

    Parameters
    ----------
    node
        Name of this controller.
    times
        Scan intervals by candidacy.

    """

    def __init__(self, node: NodeName, times: ControlTimes) -> None:
        """Compete as a winner until the first instance list has been read."""
        self._node = node
        self._times = times
        self._candidacies: dict[ShardName, ShardCandidacy] = {}
        self._highest = ShardCandidacy.WINNER
        self._free: frozenset[ShardName] = frozenset()
        self._contended: frozenset[ShardName] = frozenset()

    @property
    def needs_row(self) -> bool:
        """Whether the controller must renew a row of its own to show it lives."""
        return self._highest is ShardCandidacy.WINNER or bool(self._contended)

    def scan_interval_s(self, *, holds: bool) -> float:
        """Return the seconds between two scans of the leases.

        Parameters
        ----------
        holds
            The controller holds at least one lease.

        """
        if holds or self.needs_row:
            return self._times.renewal_s
        if self._highest is ShardCandidacy.CANDIDATE:
            return self._times.candidate_scan_s
        return self._times.non_candidate_scan_s

    def set_instances(self, listed: InstancesListed) -> None:
        """Rank the controllers of a new instance list for each shard."""
        self._candidacies = shard_candidacies(
            self._node,
            shards_of(listed.instances),
            controllers_of(listed.instances),
        )
        self._highest = max(
            self._candidacies.values(), default=ShardCandidacy.NONE
        )

    def record_free(self, free: Collection[ShardName]) -> None:
        """Record the shards whose leases this controller could take.

        A controller that is no candidate competes only once a lease was free
        in two scans in a row: a candidate that lives takes it before that.
        """
        free_now = frozenset(free)
        self._contended = frozenset(
            shard
            for shard in free_now
            if self._candidacies.get(shard, ShardCandidacy.NONE)
            > ShardCandidacy.NONE
            or shard in self._free
        )
        self._free = free_now

"""When a controller keeps a row of its own and how often it looks."""

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
    """Stakes in the listed shards; part of the lease keeper's task.

    Parameters
    ----------
    node
        The controller itself.
    times
        Periods.

    """

    def __init__(self, node: NodeName, times: ControlTimes) -> None:
        """Contend for all until a list was read."""
        self._node = node
        self._times = times
        self._candidacies: dict[ShardName, ShardCandidacy] = {}
        self._highest = ShardCandidacy.WINNER
        self._free: frozenset[ShardName] = frozenset()
        self._contended: frozenset[ShardName] = frozenset()

    @property
    def needs_row(self) -> bool:
        """Whether the controller must show that it is live."""
        return self._highest is ShardCandidacy.WINNER or bool(self._contended)

    def period_s(self, *, holds: bool) -> float:
        """Return the seconds between two looks at the leases."""
        if holds or self.needs_row:
            return self._times.renewal_s
        if self._highest is ShardCandidacy.CANDIDATE:
            return self._times.candidate_scan_s
        return self._times.non_candidate_scan_s

    def take(self, listed: InstancesListed) -> None:
        """Rank the controllers of a new list."""
        self._candidacies = shard_candidacies(
            self._node,
            shards_of(listed.instances),
            controllers_of(listed.instances),
        )
        self._highest = max(
            self._candidacies.values(), default=ShardCandidacy.NONE
        )

    def look(self, free: Collection[ShardName]) -> None:
        """Take the shards that the controller could have.

        A bystander waits until the second look, as the candidates are
        quicker when one of them lives.
        """
        found = frozenset(free)
        self._contended = frozenset(
            shard
            for shard in found
            if self._candidacies.get(shard, ShardCandidacy.NONE)
            > ShardCandidacy.NONE
            or shard in self._free
        )
        self._free = found

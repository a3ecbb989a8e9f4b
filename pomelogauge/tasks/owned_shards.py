"""The owners of shards that the lease keeper has started."""

from ..decide.leases import shards_of
from ..model.ids import ShardName
from ..model.placement import Lease
from .control_messages import (
    LeaseHeld,
    LeasePaused,
    ShardOwnerStarter,
    ShardTask,
)
from .messages import ConfigurationInForce, InstancesListed

LeaseKeeperMessage = ConfigurationInForce | InstancesListed


class OwnedShards:
    """Starts, tells and stops owners; part of the lease keeper's task."""

    def __init__(self, owners: ShardOwnerStarter) -> None:
        """Start without owners."""
        self._owners = owners
        self._tasks: dict[ShardName, ShardTask] = {}
        self._known: dict[type[LeaseKeeperMessage], LeaseKeeperMessage] = {}

    def names(self) -> tuple[ShardName, ...]:
        """Return the shards that have an owner."""
        return tuple(self._tasks)

    def listed(self) -> frozenset[ShardName]:
        """Return the shards of the platform's instance list."""
        listed = self._known.get(InstancesListed)
        if isinstance(listed, InstancesListed):
            return shards_of(listed.instances)
        return frozenset()

    def broadcast(self, message: LeaseKeeperMessage) -> None:
        """Tell all owners, and those that start later."""
        self._known[type(message)] = message
        for task in self._tasks.values():
            task.post(message)

    def start(self, lease: Lease, held_until_s: float) -> None:
        """Start the owner of a shard."""
        task = self._owners.start(lease)
        self._tasks[lease.shard] = task
        for message in self._known.values():
            task.post(message)
        self.tell(lease, held_until_s)

    def tell(self, lease: Lease, held_until_s: float) -> None:
        """Tell an owner that its lease is held."""
        self._tasks[lease.shard].post(LeaseHeld(lease, held_until_s))

    def pause(self, shard: ShardName) -> None:
        """Tell an owner that its lease has lapsed."""
        self._tasks[shard].post(LeasePaused())

    def stop(self, shard: ShardName, timeout_s: float) -> bool:
        """Stop an owner, wait for so long and return whether it has ended."""
        task = self._tasks.pop(shard)
        task.stop(timeout_s)
        return task.has_ended

    def stop_all(self) -> None:
        """Ask all owners to end, and wait for none."""
        for task in self._tasks.values():
            task.stop(0)

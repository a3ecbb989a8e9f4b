"""The tasks of the shards whose leases this controller holds."""

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
    """Starts, notifies and stops owners; part of the lease keeper's task."""

    def __init__(self, owners: ShardOwnerStarter) -> None:
        """Start without owners."""
        self._owners = owners
        self._tasks: dict[ShardName, ShardTask] = {}
        self._known: dict[type[LeaseKeeperMessage], LeaseKeeperMessage] = {}

    def shards(self) -> tuple[ShardName, ...]:
        """Return the shards whose owners run in this process."""
        return tuple(self._tasks)

    def listed_shards(self) -> frozenset[ShardName]:
        """Return the shards named by the newest instance list, if any."""
        listed = self._known.get(InstancesListed)
        if isinstance(listed, InstancesListed):
            return shards_of(listed.instances)
        return frozenset()

    def broadcast(self, message: LeaseKeeperMessage) -> None:
        """Send a message to all owners, and to those that start later."""
        self._known[type(message)] = message
        for task in self._tasks.values():
            task.post(message)

    def start(self, lease: Lease, held_until_s: float) -> None:
        """Start the owner of a shard and send it what is known."""
        task = self._owners.start(lease)
        self._tasks[lease.shard] = task
        for message in self._known.values():
            task.post(message)
        self.notify_held(lease, held_until_s)

    def notify_held(self, lease: Lease, held_until_s: float) -> None:
        """Notify an owner that its lease is held until a monotonic time."""
        self._tasks[lease.shard].post(LeaseHeld(lease, held_until_s))

    def pause(self, shard: ShardName) -> None:
        """Notify an owner that its lease has expired."""
        self._tasks[shard].post(LeasePaused())

    def stop(self, shard: ShardName, timeout_s: float) -> bool:
        """Stop an owner, wait up to a time-out; false if it has not ended."""
        task = self._tasks.pop(shard)
        task.stop(timeout_s)
        return task.has_ended

    def stop_all(self) -> None:
        """Request the end of all owners without waiting for it."""
        for task in self._tasks.values():
            task.stop(0)

"""Messages between the tasks of a controller."""

from dataclasses import dataclass
from typing import Protocol

from ..model.ids import InstanceName
from ..model.placement import EngineStatus, Lease
from ..model.topology import Instance
from .mailbox import Outbox
from .messages import ConfigurationInForce, InstancesListed


@dataclass(frozen=True)
class LeaseHeld:
    """The lease of the shard is held until then by the own clock."""

    lease: Lease
    held_until_s: float


@dataclass(frozen=True)
class LeasePaused:
    """The lease has lapsed; nobody else is known to hold it."""


@dataclass(frozen=True)
class EngineSeen:
    """One poll of an engine.

    Parameters
    ----------
    instance
        The engine.
    status
        Its report; ``None`` when it did not answer.
    seen_at_s
        Own clock before it was asked.

    """

    instance: InstanceName
    status: EngineStatus | None
    seen_at_s: float


@dataclass(frozen=True)
class OwnerAddress:
    """Tells a shard's owner where its watches post."""

    outbox: Outbox[EngineSeen]


ShardMessage = (
    LeaseHeld
    | LeasePaused
    | ConfigurationInForce
    | InstancesListed
    | EngineSeen
    | OwnerAddress
)


class WatchTask(Protocol):
    """A started watch of one engine."""

    def stop(self, timeout_s: float | None = None) -> None:
        """Ask it to end."""


class WatchTasks(Protocol):
    """Starts watches."""

    def start(
        self,
        instance: Instance,
        owner: Outbox[EngineSeen],
    ) -> WatchTask:
        """Start to watch an engine."""


class ShardTask(Protocol):
    """The started owner of one shard."""

    def post(self, message: ShardMessage) -> None:
        """Leave a message for it."""

    def stop(self, timeout_s: float | None = None) -> None:
        """Ask it to end and wait for so long."""


class ShardTasks(Protocol):
    """Starts owners of shards."""

    def start(self, lease: Lease) -> ShardTask:
        """Start the owner of a shard."""

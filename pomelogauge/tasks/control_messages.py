"""Messages between the tasks of a controller."""

from dataclasses import dataclass
from typing import Protocol

from ..engines.protocols import LoadOrder, UnloadOrder
from ..model.ids import InstanceName, ReplicaId
from ..model.placement import EngineStatus, Lease
from ..model.topology import Instance
from .mailbox import Outbox
from .messages import ConfigurationInForce, InstancesListed, ReplicasSuspected


@dataclass(frozen=True)
class LeaseHeld:
    """The lease is held until a time of this process's monotonic clock."""

    lease: Lease
    held_until_s: float


@dataclass(frozen=True)
class LeasePaused:
    """The lease has expired, but no other controller is known to hold it."""


@dataclass(frozen=True)
class EngineObserved:
    """Result of one poll of an engine.

    Parameters
    ----------
    instance
        Name of the engine.
    status
        Its report; ``None`` when it did not answer.
    observed_at_s
        Monotonic time before the poll was sent.
    refused
        The connection was refused: no process listens at the address.

    """

    instance: InstanceName
    status: EngineStatus | None
    observed_at_s: float
    refused: bool = False


@dataclass(frozen=True)
class SendOrder:
    """Requests that an engine's task sends one order.

    Parameters
    ----------
    replica
        Replica to which the order belongs.
    order
        Order to load or to unload.
    send_before_s
        Monotonic time from which the order must not be sent.

    """

    replica: ReplicaId
    order: LoadOrder | UnloadOrder
    send_before_s: float


@dataclass(frozen=True)
class OrderEnded:
    """An engine has answered an order, or the order has timed out."""

    replica: ReplicaId
    instance: InstanceName
    accepted: bool


@dataclass(frozen=True)
class PollNow:
    """Requests that an engine's task polls at once."""


WatchMessage = SendOrder | PollNow
WatchReport = EngineObserved | OrderEnded


@dataclass(frozen=True)
class OwnerAddress:
    """Gives a shard's owner its own outbox, to pass on to other tasks.

    The tasks of engines and the grant allocator post to it.
    """

    outbox: Outbox[WatchReport | ReplicasSuspected]


ShardMessage = (
    LeaseHeld
    | LeasePaused
    | ConfigurationInForce
    | InstancesListed
    | WatchReport
    | ReplicasSuspected
    | OwnerAddress
)


class WatchTask(Protocol):
    """Handle of the running task that watches one engine."""

    def post(self, message: WatchMessage) -> None:
        """Queue a message for the task."""

    def stop(self, timeout_s: float | None = None) -> None:
        """Request the end and wait up to a timeout; ``0`` doesn't wait."""


class EngineWatchStarter(Protocol):
    """Starts tasks that watch engines."""

    def start(
        self,
        instance: Instance,
        owner: Outbox[WatchReport],
    ) -> WatchTask:
        """Start to watch an engine; its reports go to the owner."""


class ShardTask(Protocol):
    """Handle of the running task that owns one shard."""

    def post(self, message: ShardMessage) -> None:
        """Queue a message for the task."""

    @property
    def has_ended(self) -> bool:
        """Whether the task has stopped and acts no more."""

    def stop(self, timeout_s: float | None = None) -> None:
        """Request the end and wait up to a timeout; ``0`` doesn't wait."""


class ShardOwnerStarter(Protocol):
    """Starts tasks that own shards."""

    def start(self, lease: Lease) -> ShardTask:
        """Start the owner of a shard."""

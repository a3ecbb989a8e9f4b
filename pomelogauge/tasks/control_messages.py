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
    """The lease of the shard is held until then by the own clock."""

    lease: Lease
    held_until_s: float


@dataclass(frozen=True)
class LeasePaused:
    """The lease has lapsed; nobody else is known to hold it."""


@dataclass(frozen=True)
class EngineObserved:
    """One poll of an engine.

    Parameters
    ----------
    instance
        The engine.
    status
        Its report; ``None`` when it did not answer.
    observed_at_s
        Own clock before it was asked.
    refused
        Nobody listens at its address.

    """

    instance: InstanceName
    status: EngineStatus | None
    observed_at_s: float
    refused: bool = False


@dataclass(frozen=True)
class SendOrder:
    """Asks an engine's task to send one order.

    Parameters
    ----------
    replica
        Replica that the order is about.
    order
        The order.
    send_before_s
        Own clock from which it must not be sent any more.

    """

    replica: ReplicaId
    order: LoadOrder | UnloadOrder
    send_before_s: float


@dataclass(frozen=True)
class OrderEnded:
    """The engine has answered an order, or its deadline is over."""

    replica: ReplicaId
    instance: InstanceName
    accepted: bool


@dataclass(frozen=True)
class PollNow:
    """Asks an engine's task to poll at once."""


WatchMessage = SendOrder | PollNow
WatchReport = EngineObserved | OrderEnded


@dataclass(frozen=True)
class OwnerAddress:
    """Tells a shard's owner where its engine tasks and the grant desk post."""

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
    """The started task of one engine."""

    def post(self, message: WatchMessage) -> None:
        """Leave a message for it."""

    def stop(self, timeout_s: float | None = None) -> None:
        """Ask it to end."""


class EngineWatchStarter(Protocol):
    """Starts watches."""

    def start(
        self,
        instance: Instance,
        owner: Outbox[WatchReport],
    ) -> WatchTask:
        """Start to watch an engine."""


class ShardTask(Protocol):
    """The started owner of one shard."""

    def post(self, message: ShardMessage) -> None:
        """Leave a message for it."""

    @property
    def has_ended(self) -> bool:
        """Whether it was stopped and touches nothing any more."""

    def stop(self, timeout_s: float | None = None) -> None:
        """Ask it to end and wait for so long."""


class ShardOwnerStarter(Protocol):
    """Starts owners of shards."""

    def start(self, lease: Lease) -> ShardTask:
        """Start the owner of a shard."""

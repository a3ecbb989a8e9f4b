"""Starts the tasks of a controller, each with connections of its own."""

from dataclasses import dataclass
from random import Random
from typing import Protocol

from ..decide.replica_chart import ReplicaChart
from ..engines.protocols import OwnedEngineControl
from ..model.ids import Incarnation, NodeName
from ..model.placement import Lease
from ..model.times import ControlTimes
from ..model.topology import Instance
from ..tables.protocols import TableService
from .clock import Clock
from .control_messages import (
    OwnerAddress,
    ShardMessage,
    WatchMessage,
    WatchReport,
)
from .engine_watch import EngineLinks, EngineWatch
from .mailbox import Outbox
from .messages import ShardViews
from .shard_owner import ShardOwner, ShardOwnerPorts
from .task import Task
from .transactions import TransactionNames


class Connections(Protocol):
    """Opens connections; each is used by one task only."""

    def tables(self) -> TableService:
        """Return a new connection to the platform's tables."""

    def control(self, timeout_s: float) -> OwnedEngineControl:
        """Return new connections to engines, with the time-out of a call."""


@dataclass(frozen=True)
class ControllerParts:
    """Immutable values that all tasks of a controller share.

    Parameters
    ----------
    node, incarnation
        Name and start of this process.
    connections
        Opens connections.
    allocator
        Gets the views of the shards' replicas.
    chart
        State chart ``replica``.
    times
        Intervals and time-outs.
    clock
        Monotonic clock of this process.

    """

    node: NodeName
    incarnation: Incarnation
    connections: Connections
    allocator: Outbox[ShardViews]
    chart: ReplicaChart
    times: ControlTimes
    clock: Clock


class WatchThreads:
    """Starts each task that watches an engine in a thread of its own."""

    def __init__(self, parts: ControllerParts) -> None:
        """Start no task yet."""
        self._parts = parts

    def start(
        self,
        instance: Instance,
        owner: Outbox[WatchReport],
    ) -> Task[WatchMessage]:
        """Start to watch an engine, with its own connections."""
        times = self._parts.times
        connect = self._parts.connections.control
        watch = EngineWatch(
            instance,
            EngineLinks(
                connect(times.watch_timeout_s),
                connect(times.order_timeout_s),
            ),
            owner,
            times,
            self._parts.clock,
        )
        task = Task[WatchMessage](f'watch {instance.name}', watch)
        task.start()
        return task


class ShardThreads:
    """Starts each owner of a shard in a thread; called by the lease keeper.

    Parameters
    ----------
    parts
        Values that the tasks share.
    rng
        Seeds the random generator of each owner.

    """

    def __init__(self, parts: ControllerParts, rng: Random) -> None:
        """Start no task yet."""
        self._parts = parts
        self._rng = rng

    def start(self, lease: Lease) -> Task[ShardMessage]:
        """Start the owner of a shard and give it its outbox."""
        parts = self._parts
        links = ShardOwnerPorts(
            parts.connections.tables(),
            WatchThreads(parts),
            parts.allocator,
        )
        owner = ShardOwner(
            lease,
            TransactionNames(
                f'{parts.node} {lease.shard} {lease.epoch}',
                parts.incarnation,
            ),
            links,
            parts.chart,
            parts.times,
            parts.clock,
            Random(self._rng.getrandbits(_SEED_BITS)),
        )
        task = Task[ShardMessage](f'shard {lease.shard}', owner)
        task.start()
        task.post(OwnerAddress(task))
        return task


#: Bits of the seed of an owner's random generator.
_SEED_BITS = 64

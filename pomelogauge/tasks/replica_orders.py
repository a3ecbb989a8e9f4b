"""Orders to the members of a replica, sent to all of them in parallel."""

from collections.abc import Iterator
from dataclasses import dataclass, replace

from ..decide.replica_chart import ReplicaEvent
from ..engines.protocols import LoadOrder, UnloadOrder
from ..model.ids import InstanceName, ReplicaId
from ..model.manifest import Deployment
from ..model.placement import Replica
from .control_messages import OrderEnded, SendOrder
from .engine_watches import EngineWatches


@dataclass(frozen=True)
class _PendingOrders:
    """Members whose orders have not been answered."""

    instances: frozenset[InstanceName]


class ReplicaOrders:
    """Sends orders through the members' tasks; part of the owner's task.

    Parameters
    ----------
    watches
        Tasks of the members, each with connections of its own.

    """

    def __init__(self, watches: EngineWatches) -> None:
        """Start without orders in progress."""
        self._watches = watches
        self._loads: dict[ReplicaId, _PendingOrders] = {}

    def is_loading(self, replica: ReplicaId) -> bool:
        """Return whether orders to load have not all been answered."""
        return replica in self._loads

    def load(
        self,
        replica: Replica,
        deployment: Deployment,
        send_before_s: float,
    ) -> None:
        """Order all members to load their share of the model.

        Orders are idempotent: an engine answers a repeated order as before,
        so that the next owner of the shard may send it again.
        """
        ordered = [
            order.instance
            for order in _loads(replica, deployment)
            if self._watches.send(
                order.instance,
                SendOrder(replica.replica, order.order, send_before_s),
            )
        ]
        self._loads[replica.replica] = _PendingOrders(frozenset(ordered))

    def unload(self, replica: Replica, send_before_s: float) -> None:
        """Order the members to free their memory, best effort."""
        for member in replica.members:
            order = UnloadOrder(
                f'{replica.replica}.{member.rank}.unload',
                replica.replica,
                replica.epoch,
            )
            message = SendOrder(replica.replica, order, send_before_s)
            self._watches.send(member.instance, message)

    def record_outcome(self, ended: OrderEnded) -> ReplicaEvent | None:
        """Record the outcome of one order; return the replica's event, if any."""
        pending = self._loads.get(ended.replica)
        if pending is None or ended.instance not in pending.instances:
            return None
        if not ended.accepted:
            self.discard(ended.replica)
            return ReplicaEvent.ORDER_REFUSED
        remaining = pending.instances - {ended.instance}
        self._loads[ended.replica] = replace(pending, instances=remaining)
        if remaining:
            return None
        self.discard(ended.replica)
        return ReplicaEvent.ORDERS_ACCEPTED

    def discard(self, replica: ReplicaId) -> None:
        """Ignore further outcomes of a replica's orders to load."""
        self._loads.pop(replica, None)


@dataclass(frozen=True)
class _MemberOrder:
    """An order and the member that gets it."""

    instance: InstanceName
    order: LoadOrder


def _loads(replica: Replica, deployment: Deployment) -> Iterator[_MemberOrder]:
    for member in replica.members:
        order = LoadOrder(
            f'{replica.replica}.{member.rank}',
            replica,
            member.rank,
            deployment.model,
            replica.model_version,
            replica.adapters,
        )
        yield _MemberOrder(member.instance, order)

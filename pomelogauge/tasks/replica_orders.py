"""Orders to the members of a replica, all on their way at once."""

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
class _Open:
    """Members whose orders have not ended."""

    instances: frozenset[InstanceName]


class ReplicaOrders:
    """Hands orders to the members' tasks; part of the owner's task.

    Parameters
    ----------
    watches
        The members' tasks, each with a connection of its own.

    """

    def __init__(self, watches: EngineWatches) -> None:
        """Wait for no outcome yet."""
        self._watches = watches
        self._loads: dict[ReplicaId, _Open] = {}

    def is_open(self, replica: ReplicaId) -> bool:
        """Return whether orders to load are on their way."""
        return replica in self._loads

    def load(
        self,
        replica: Replica,
        deployment: Deployment,
        send_before_s: float,
    ) -> None:
        """Order all members to load.

        The same order again is answered as before, so that a successor may
        repeat it.
        """
        ordered = [
            order.instance
            for order in _loads(replica, deployment)
            if self._watches.send(
                order.instance,
                SendOrder(replica.replica, order.order, send_before_s),
            )
        ]
        self._loads[replica.replica] = _Open(frozenset(ordered))

    def unload(self, replica: Replica, send_before_s: float) -> None:
        """Ask the members to free their memory; nothing depends on it."""
        for member in replica.members:
            order = UnloadOrder(
                f'{replica.replica}.{member.rank}.unload',
                replica.replica,
                replica.epoch,
            )
            message = SendOrder(replica.replica, order, send_before_s)
            self._watches.send(member.instance, message)

    def take(self, ended: OrderEnded) -> ReplicaEvent | None:
        """Return what the outcome of one order means for its replica."""
        waiting = self._loads.get(ended.replica)
        if waiting is None or ended.instance not in waiting.instances:
            return None
        if not ended.accepted:
            self.forget(ended.replica)
            return ReplicaEvent.ORDER_REFUSED
        left = waiting.instances - {ended.instance}
        self._loads[ended.replica] = replace(waiting, instances=left)
        if left:
            return None
        self.forget(ended.replica)
        return ReplicaEvent.ORDERS_ACCEPTED

    def forget(self, replica: ReplicaId) -> None:
        """Wait no more for the outcomes of a replica's orders."""
        self._loads.pop(replica, None)


@dataclass(frozen=True)
class _MemberOrder:
    """An order and who gets it."""

    instance: InstanceName
    order: LoadOrder


def _loads(replica: Replica, deployment: Deployment) -> Iterator[_MemberOrder]:
    for member in replica.members:
        order = LoadOrder(
            f'{replica.replica}.{member.rank}',
            replica,
            member.rank,
            deployment.model,
            deployment.model_version,
            deployment.adapters,
        )
        yield _MemberOrder(member.instance, order)

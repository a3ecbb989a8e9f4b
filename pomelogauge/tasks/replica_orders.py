"""Orders to the members of a replica, each sent under a valid lease."""

import logging
from typing import Protocol

from returns.result import Failure

from ..engines.protocols import EngineControl, LoadOrder, UnloadOrder
from ..model.manifest import Deployment
from ..model.placement import Replica

_log = logging.getLogger(__name__)


class LeaseCheck(Protocol):
    """Asks whether the lease of the shard is held now."""

    def __call__(self) -> bool:
        """Return whether an order may be sent."""


class ReplicaOrders:
    """Builds and sends orders; part of the owner's task.

    Parameters
    ----------
    control
        The owner's connections to engines.
    is_held
        Asked after an order was built, right before it is sent.

    """

    def __init__(self, control: EngineControl, is_held: LeaseCheck) -> None:
        """Take the connections and the check of the lease."""
        self._control = control
        self._is_held = is_held

    def load(self, replica: Replica, deployment: Deployment) -> bool:
        """Order all members to load.

        The same order again is answered as before, so that a successor may
        repeat it.

        Returns
        -------
        bool
            All members accepted.

        """
        for member in replica.members:
            order = LoadOrder(
                f'{replica.replica}.{member.rank}',
                replica,
                member.rank,
                deployment.model,
                deployment.model_version,
                deployment.adapters,
            )
            if not self._is_held():
                return False
            outcome = self._control.load(member.address, order)
            if isinstance(outcome, Failure):
                _log.warning(
                    'replicas: %s refused to load %s: %s',
                    member.instance,
                    replica.replica,
                    outcome.failure(),
                )
                return False
        return True

    def unload(self, replica: Replica) -> None:
        """Ask the members to free their memory; nothing depends on it."""
        for member in replica.members:
            order = UnloadOrder(
                f'{replica.replica}.{member.rank}.unload',
                replica.replica,
                replica.epoch,
            )
            if self._is_held():
                self._control.unload(member.address, order)

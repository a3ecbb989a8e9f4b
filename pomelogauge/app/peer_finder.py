"""Finds the peers that operators' commands ask."""

from collections.abc import Iterable
from dataclasses import dataclass

from returns.result import Failure

from ..decide.membership import PEER_ROLES
from ..model.errors import UserError
from ..model.ids import Address, NodeName
from ..model.topology import Instance
from ..tables.protocols import InstanceList


@dataclass(frozen=True)
class QueriedPeer:
    """A router or controller that a command asks.

    Parameters
    ----------
    address
        Its gRPC interface.
    node
        Its name in the instance list; empty where the operator gave the
        address.

    """

    address: Address
    node: NodeName = NodeName('')

    def __str__(self) -> str:
        """Render as its name, else as its address."""
        return self.node or self.address


def given_peers(addresses: Iterable[Address]) -> tuple[QueriedPeer, ...]:
    """Return the peers that the operator gave."""
    return tuple(map(QueriedPeer, addresses))


def listed_peers(platform: InstanceList) -> tuple[QueriedPeer, ...]:
    """Return the listed routers and controllers that stay.

    Raises
    ------
    UserError
        The list can't be read.

    """
    answer = platform.instances()
    if isinstance(answer, Failure):
        error = answer.failure()
        raise UserError(
            f'the instance list can not be read: {error.message}; give --peers'
        )
    return tuple(
        QueriedPeer(instance.peer_address, NodeName(instance.name))
        for instance in answer.unwrap()
        if _may_be_asked(instance)
    )


def _may_be_asked(instance: Instance) -> bool:
    is_peer = instance.role in PEER_ROLES and bool(instance.peer_address)
    return is_peer and not instance.leaving

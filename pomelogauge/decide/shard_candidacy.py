"""Ranks the controllers that may take the leases of shards."""

from collections.abc import Collection, Iterable
from enum import IntEnum

from ..model.ids import NodeName, ShardName
from ..model.topology import Instance, InstanceRole
from .rendezvous import ranked

#: Controllers that poll the lease of a shard often. Only if all of them are
#: lost does a free lease wait for the slower poll of another controller.
CANDIDATES_PER_SHARD = 3


class ShardCandidacy(IntEnum):
    """Rank of a controller for a shard whose lease it does not hold.

    ``WINNER``: it ranks first, and keeps a row to show that it is live.
    ``CANDIDATE``: it takes the lease if those that rank higher do not.
    ``NONE``: it polls rarely, in case all candidates are lost.
    """

    NONE = 0
    CANDIDATE = 1
    WINNER = 2


def controllers_of(instances: Iterable[Instance]) -> frozenset[NodeName]:
    """Return the listed controllers that are not leaving."""
    return frozenset(
        NodeName(instance.name)
        for instance in instances
        if instance.role is InstanceRole.CONTROLLER and not instance.leaving
    )


def shard_candidacies(
    node: NodeName,
    shards: Iterable[ShardName],
    controllers: Collection[NodeName],
) -> dict[ShardName, ShardCandidacy]:
    """Return the candidacy of a controller for each shard.

    Parameters
    ----------
    node
        Name of the controller; the list may lag and not name it yet.
    shards
        All shards.
    controllers
        Controllers of the instance list.

    """
    nodes = {node, *controllers}
    return {shard: _candidacy(node, shard, nodes) for shard in shards}


def _candidacy(
    node: NodeName,
    shard: ShardName,
    nodes: Iterable[NodeName],
) -> ShardCandidacy:
    rank = ranked(shard, nodes).index(node)
    if rank == 0:
        return ShardCandidacy.WINNER
    return (
        ShardCandidacy.CANDIDATE
        if rank < CANDIDATES_PER_SHARD
        else ShardCandidacy.NONE
    )

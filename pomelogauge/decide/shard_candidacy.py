"""Which controllers watch and contend for the leases of shards."""

from collections.abc import Collection, Iterable
from enum import IntEnum

from ..model.ids import NodeName, ShardName
from ..model.topology import Instance, InstanceRole
from .rendezvous import ranked

#: Controllers that watch a shard; more must be lost before it waits long.
CANDIDATES_PER_SHARD = 3


class ShardCandidacy(IntEnum):
    """What a controller has to do with the shards that it does not hold.

    ``WINNER``: it ranks first for one and shows that it is live.
    ``CANDIDATE``: it steps in when those before it don't.
    ``NONE``: it looks rarely, for the case that all candidates are lost.
    """

    NONE = 0
    CANDIDATE = 1
    WINNER = 2


def controllers_of(instances: Iterable[Instance]) -> frozenset[NodeName]:
    """Return the listed controllers that do not go away."""
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
    """Return a controller's stake in each shard.

    Parameters
    ----------
    node
        The controller; the lagging list may not name it yet.
    shards
        All shards.
    controllers
        As listed.

    """
    nodes = {node, *controllers}
    return {shard: _stake(node, shard, nodes) for shard in shards}


def _stake(
    node: NodeName,
    shard: ShardName,
    nodes: Iterable[NodeName],
) -> ShardCandidacy:
    place = ranked(shard, nodes).index(node)
    if place == 0:
        return ShardCandidacy.WINNER
    return (
        ShardCandidacy.CANDIDATE
        if place < CANDIDATES_PER_SHARD
        else ShardCandidacy.NONE
    )

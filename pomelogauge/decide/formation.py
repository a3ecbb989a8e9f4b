"""Which replicas a shard forms, and which it gives up."""

from collections.abc import Sequence
from dataclasses import dataclass

from ..model.ids import (
    DataCentreName,
    DeploymentName,
    Epoch,
    InstanceName,
    ReplicaId,
)
from ..model.manifest import Configuration, Deployment
from ..model.placement import Member, Replica, ReplicaState
from ..model.topology import Instance

_SLOT_MARK = '#'
_REPLICA_MARK = '.'


@dataclass(frozen=True)
class ShardSnapshot:
    """What the owner of a shard knows when it plans.

    Parameters
    ----------
    data_centre
        Where the shard stands.
    configuration
        In force.
    replicas
        All rows of ``replicas``, of every shard.
    free
        Live instances of the shard that belong to no replica.
    overdue
        Deployments that have lacked replicas for the spread wait.
    leaving
        Instances that the platform will take away, of every shard.

    """

    data_centre: DataCentreName
    configuration: Configuration
    replicas: tuple[Replica, ...]
    free: tuple[Instance, ...] = ()
    overdue: frozenset[DeploymentName] = frozenset()
    leaving: frozenset[InstanceName] = frozenset()


@dataclass(frozen=True)
class Formation:
    """A replica to form.

    Parameters
    ----------
    deployment
        Deployment it will serve.
    row_key
        Key of its row; only one shard can insert it.
    instances
        In the order of their ranks.

    """

    deployment: Deployment
    row_key: str
    instances: tuple[Instance, ...]


def row_key_for(deployment: DeploymentName, ordinal: int) -> str:
    """Return the key of a row of ``replicas``."""
    return f'{deployment}{_SLOT_MARK}{ordinal}'


def row_key_of(replica: ReplicaId) -> str:
    """Return the slot that a replica's identifier names."""
    return replica.rpartition(_REPLICA_MARK)[0]


def replica_id(row_key: str, nonce: str) -> ReplicaId:
    """Return a replica's identifier, unique by its nonce."""
    return ReplicaId(f'{row_key}{_REPLICA_MARK}{nonce}')


def next_epoch(*seen: Epoch) -> Epoch:
    """Return a fencing number above all that were seen."""
    return Epoch(max(seen, default=0) + 1)


def plan_formation(snapshot: ShardSnapshot) -> Formation | None:
    """Return the next replica that the shard should form.

    The deployment with the highest priority goes first. A deployment takes
    instances only while replicas are missing over all shards.
    """
    if snapshot.data_centre in _going_out(snapshot.configuration):
        return None
    deployments = snapshot.configuration.manifest.deployments
    for deployment in sorted(deployments, key=_by_priority):
        row_key = _open_slot(deployment, snapshot)
        if row_key is not None and len(snapshot.free) >= deployment.span:
            instances = sorted(snapshot.free, key=_by_name)
            return Formation(
                deployment, row_key, tuple(instances[: deployment.span])
            )
    return None


def under_replicated(snapshot: ShardSnapshot) -> frozenset[DeploymentName]:
    """Return the deployments that lack replicas."""
    return frozenset(
        deployment.name
        for deployment in snapshot.configuration.manifest.deployments
        if _open_ordinals(deployment, snapshot)
    )


def is_wanted(replica: Replica, snapshot: ShardSnapshot) -> bool:
    """Return whether the configuration still asks for a replica.

    Of too many replicas, those with the highest ordinals go.
    """
    deployment = find_deployment(replica.deployment, snapshot.configuration)
    if deployment is None or len(replica.members) != deployment.span:
        return False
    if _serves_until_drained(replica, deployment, snapshot):
        return True
    counted = _counted(deployment, snapshot)
    kept = sorted(counted, key=_ordinal)[: deployment.replicas]
    return any(other.replica == replica.replica for other in kept)


def replica_to_replace(
    deployment: Deployment,
    replicas: Sequence[Replica],
) -> Replica | None:
    """Return the one replica that may be replaced by a newer version now.

    Every owner takes the lowest ordinal of the same rows, and only while all
    others serve. More rows than replicas are wanted says that its successor
    is forming; it then goes on leaving.

    Parameters
    ----------
    deployment
        What is asked for.
    replicas
        All rows of the deployment.

    """
    old = [replica for replica in replicas if _is_old(replica, deployment)]
    if not old:
        return None
    first = min(old, key=_ordinal)
    others = [replica for replica in replicas if replica is not first]
    is_leaving = len(others) >= deployment.replicas
    all_serve = all(replica.state is ReplicaState.SERVING for replica in others)
    has_others = len(others) >= deployment.replicas - 1
    return first if is_leaving or (all_serve and has_others) else None


def _is_old(replica: Replica, deployment: Deployment) -> bool:
    wanted = (deployment.model_version, deployment.adapters)
    return (replica.model_version, replica.adapters) != wanted


def find_deployment(
    name: DeploymentName,
    configuration: Configuration,
) -> Deployment | None:
    """Return a deployment of the manifest."""
    for deployment in configuration.manifest.deployments:
        if deployment.name == name:
            return deployment
    return None


def _open_slot(deployment: Deployment, snapshot: ShardSnapshot) -> str | None:
    """Return the slot that this shard should fill.

    Ordinals go round the data centres, so that shards spread a deployment
    without a word between them; another data centre steps in later.
    """
    allowed = _allowed(deployment, snapshot.configuration)
    if snapshot.data_centre not in allowed:
        return None
    is_patient = deployment.name in snapshot.overdue
    for ordinal in _open_ordinals(deployment, snapshot):
        preferred = allowed[ordinal % len(allowed)]
        if is_patient or preferred == snapshot.data_centre:
            return row_key_for(deployment.name, ordinal)
    return None


def _open_ordinals(
    deployment: Deployment,
    snapshot: ShardSnapshot,
) -> tuple[int, ...]:
    """Return the lowest free ordinals, one for each missing replica."""
    used = {
        _ordinal(replica)
        for replica in snapshot.replicas
        if replica.deployment == deployment.name
    }
    missing = deployment.replicas - len(_counted(deployment, snapshot))
    top = len(used) + max(missing, 0)
    free = [ordinal for ordinal in range(top) if ordinal not in used]
    return tuple(free[: max(missing, 0)])


def _counted(
    deployment: Deployment,
    snapshot: ShardSnapshot,
) -> tuple[Replica, ...]:
    """Return the replicas that may stay where they stand as they are."""
    allowed = _allowed(deployment, snapshot.configuration)
    named = [
        replica
        for replica in snapshot.replicas
        if replica.deployment == deployment.name
    ]
    replaced = replica_to_replace(deployment, named)
    return tuple(
        replica
        for replica in named
        if replica is not replaced
        and all(_may_stay(at, allowed, snapshot) for at in replica.members)
    )


def _may_stay(
    member: Member,
    allowed: tuple[DataCentreName, ...],
    snapshot: ShardSnapshot,
) -> bool:
    is_leaving = member.instance in snapshot.leaving
    return member.data_centre in allowed and not is_leaving


def _allowed(
    deployment: Deployment,
    configuration: Configuration,
) -> tuple[DataCentreName, ...]:
    return tuple(
        data_centre
        for data_centre in deployment.data_centres
        if data_centre not in _going_out(configuration)
    )


def _going_out(configuration: Configuration) -> frozenset[DataCentreName]:
    """Return the data centres in which nothing is formed."""
    return frozenset(configuration.drained + configuration.preparing)


def _serves_until_drained(
    replica: Replica,
    deployment: Deployment,
    snapshot: ShardSnapshot,
) -> bool:
    """Return whether a replica stays while others are formed elsewhere."""
    configuration = snapshot.configuration
    staying = set(deployment.data_centres).difference(configuration.drained)
    centres = {member.data_centre for member in replica.members}
    if not centres.intersection(configuration.preparing):
        return False
    members = replica.members
    return centres <= staying and not any(
        member.instance in snapshot.leaving for member in members
    )


def _by_priority(deployment: Deployment) -> tuple[int, str]:
    return (-deployment.priority, deployment.name)


def _by_name(instance: Instance) -> str:
    return instance.name


def _ordinal(replica: Replica) -> int:
    number = row_key_of(replica.replica).rpartition(_SLOT_MARK)[2]
    return int(number) if number.isdecimal() else 0

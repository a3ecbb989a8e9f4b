"""Decides which replicas a shard forms and which it releases."""

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

_ORDINAL_SEPARATOR = '#'
_NONCE_SEPARATOR = '.'


@dataclass(frozen=True)
class ShardSnapshot:
    """Input of the plans of a shard's owner.

    Parameters
    ----------
    data_centre
        Data centre of the shard.
    configuration
        Configuration in force.
    replicas
        All rows of ``replicas``, of every shard.
    free
        Live instances of the shard that belong to no replica.
    overdue
        Deployments that have lacked replicas for ``spread_wait_s``; the shard
        may then form them in place of another data centre.
    leaving
        Instances of every shard that the platform has announced to remove.

    """

    data_centre: DataCentreName
    configuration: Configuration
    replicas: tuple[Replica, ...]
    free: tuple[Instance, ...] = ()
    overdue: frozenset[DeploymentName] = frozenset()
    leaving: frozenset[InstanceName] = frozenset()


@dataclass(frozen=True)
class Formation:
    """Plan of a replica to form.

    Parameters
    ----------
    deployment
        Deployment that it will serve.
    row_key
        Key of its row in ``replicas``. As a key can be inserted only once, no
        two shards form the same replica.
    instances
        Members in the order of their ranks.

    """

    deployment: Deployment
    row_key: str
    instances: tuple[Instance, ...]


def row_key_for(deployment: DeploymentName, ordinal: int) -> str:
    """Return the key of the row of a deployment's replica."""
    return f'{deployment}{_ORDINAL_SEPARATOR}{ordinal}'


def row_key_of(replica: ReplicaId) -> str:
    """Return the key of the row of a replica."""
    return replica.rpartition(_NONCE_SEPARATOR)[0]


def replica_id(row_key: str, nonce: str) -> ReplicaId:
    """Return the identifier of a replica, unique by its nonce."""
    return ReplicaId(f'{row_key}{_NONCE_SEPARATOR}{nonce}')


def next_epoch(*used: Epoch) -> Epoch:
    """Return a fencing number above all that were used."""
    return Epoch(max(used, default=0) + 1)


def plan_formation(snapshot: ShardSnapshot) -> Formation | None:
    """Return the next replica that the shard should form, if any.

    Deployments come in the order of their priority, the highest first. A
    deployment takes instances only while it lacks replicas over all shards.
    """
    if snapshot.data_centre in _closed_data_centres(snapshot.configuration):
        return None
    deployments = snapshot.configuration.manifest.deployments
    for deployment in sorted(deployments, key=_by_priority):
        row_key = _open_row_key(deployment, snapshot)
        if row_key is not None and len(snapshot.free) >= deployment.span:
            instances = sorted(snapshot.free, key=_by_name)
            return Formation(
                deployment, row_key, tuple(instances[: deployment.span])
            )
    return None


def under_replicated(snapshot: ShardSnapshot) -> frozenset[DeploymentName]:
    """Return the deployments that lack replicas over all shards."""
    return frozenset(
        deployment.name
        for deployment in snapshot.configuration.manifest.deployments
        if _open_ordinals(deployment, snapshot)
    )


def is_wanted(replica: Replica, snapshot: ShardSnapshot) -> bool:
    """Return whether the configuration still calls for a replica.

    Of too many replicas, those with the highest ordinals are released.
    """
    deployment = find_deployment(replica.deployment, snapshot.configuration)
    if deployment is None or len(replica.members) != deployment.span:
        return False
    if _serves_until_drained(replica, deployment, snapshot):
        return True
    retained = _retained(deployment, snapshot)
    kept = sorted(retained, key=_ordinal)[: deployment.replicas]
    return any(other.replica == replica.replica for other in kept)


def replica_to_replace(
    deployment: Deployment,
    replicas: Sequence[Replica],
) -> Replica | None:
    """Return the replica that may be replaced by a newer version now.

    At most one replica of a deployment is replaced at a time. Every owner
    picks the lowest ordinal of the same rows, and only while all others serve.
    When there are more rows than wanted replicas, the successor is forming
    already and the replacement continues.

    Parameters
    ----------
    deployment
        The deployment as configured.
    replicas
        All rows of the deployment.

    """
    outdated = [
        replica for replica in replicas if _is_outdated(replica, deployment)
    ]
    if not outdated:
        return None
    first = min(outdated, key=_ordinal)
    others = [replica for replica in replicas if replica is not first]
    is_replacing = len(others) >= deployment.replicas
    all_serve = all(replica.state is ReplicaState.SERVING for replica in others)
    has_others = len(others) >= deployment.replicas - 1
    return first if is_replacing or (all_serve and has_others) else None


def _is_outdated(replica: Replica, deployment: Deployment) -> bool:
    wanted = (deployment.model_version, deployment.adapters)
    return (replica.model_version, replica.adapters) != wanted


def find_deployment(
    name: DeploymentName,
    configuration: Configuration,
) -> Deployment | None:
    """Return a deployment of the manifest; ``None`` when it has none."""
    for deployment in configuration.manifest.deployments:
        if deployment.name == name:
            return deployment
    return None


def _open_row_key(
    deployment: Deployment, snapshot: ShardSnapshot
) -> str | None:
    """Return the key of the row that this shard should insert.

    Ordinals are assigned to the data centres in turn, so that the shards
    spread a deployment evenly without talking to each other. Any allowed data
    centre may form a replica that is overdue.
    """
    allowed = _allowed(deployment, snapshot.configuration)
    if snapshot.data_centre not in allowed:
        return None
    is_overdue = deployment.name in snapshot.overdue
    for ordinal in _open_ordinals(deployment, snapshot):
        preferred = allowed[ordinal % len(allowed)]
        if is_overdue or preferred == snapshot.data_centre:
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
    missing = deployment.replicas - len(_retained(deployment, snapshot))
    top = len(used) + max(missing, 0)
    free = [ordinal for ordinal in range(top) if ordinal not in used]
    return tuple(free[: max(missing, 0)])


def _retained(
    deployment: Deployment,
    snapshot: ShardSnapshot,
) -> tuple[Replica, ...]:
    """Return the replicas of a deployment that need no replacement."""
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
        and all(
            _may_stay(member, allowed, snapshot) for member in replica.members
        )
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
        if data_centre not in _closed_data_centres(configuration)
    )


def _closed_data_centres(
    configuration: Configuration,
) -> frozenset[DataCentreName]:
    """Return the data centres in which no replicas are formed."""
    return frozenset(configuration.drained + configuration.preparing)


def _serves_until_drained(
    replica: Replica,
    deployment: Deployment,
    snapshot: ShardSnapshot,
) -> bool:
    """Return whether a replica serves on until its data centre is drained.

    It does while a data centre of its members is being prepared for draining
    and other replicas are formed elsewhere.
    """
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
    number = row_key_of(replica.replica).rpartition(_ORDINAL_SEPARATOR)[2]
    return int(number) if number.isdecimal() else 0

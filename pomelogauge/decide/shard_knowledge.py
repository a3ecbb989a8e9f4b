"""What the owner of a shard has been told, and the picture it plans from."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace

from ..model.ids import (
    DataCentreName,
    DeploymentName,
    InstanceName,
    ReplicaId,
    ShardName,
)
from ..model.manifest import Configuration
from ..model.placement import Member, Membership, Replica
from ..model.times import ControlTimes
from ..model.topology import Instance, InstanceRole
from .engine_observation import EngineObservations, usable_status
from .formation import (
    Formation,
    ShardSnapshot,
    is_wanted,
    next_epoch,
    replica_id,
    under_replicated,
)
from .leases import shard_of


@dataclass(frozen=True)
class ReplicaScan:
    """The rows of ``replicas`` and ``members``.

    Parameters
    ----------
    replicas
        Of every shard.
    memberships
        By instance; an instance without a row was never claimed.
    unreadable
        Instances whose rows are malformed; they are left alone.

    """

    replicas: tuple[Replica, ...] = ()
    memberships: Mapping[InstanceName, Membership] = field(default_factory=dict)
    unreadable: frozenset[InstanceName] = frozenset()

    def membership(self, instance: InstanceName) -> Membership:
        """Return the membership of an instance."""
        return self.memberships.get(instance, Membership(instance))

    def is_free(self, instance: InstanceName) -> bool:
        """Return whether an instance belongs to no replica."""
        if instance in self.unreadable:
            return False
        return not self.membership(instance).replica


@dataclass(frozen=True)
class ShardKnowledge:
    """What messages and scans have told.

    Parameters
    ----------
    shard
        The shard.
    configuration
        In force; ``None`` until told.
    engines
        Listed engines of the shard.
    leaving
        Instances of any shard that go away.
    scan
        Rows; ``None`` until read.
    under_replicated_since_s
        Own clock when a deployment was first seen to lack replicas.

    """

    shard: ShardName
    configuration: Configuration | None = None
    engines: tuple[Instance, ...] = ()
    leaving: frozenset[InstanceName] = frozenset()
    scan: ReplicaScan | None = None
    under_replicated_since_s: Mapping[DeploymentName, float] = field(
        default_factory=dict
    )

    def with_instances(self, instances: Iterable[Instance]) -> 'ShardKnowledge':
        """Return what is known with a newer instance list."""
        engines = [
            instance
            for instance in instances
            if instance.role == InstanceRole.ENGINE
        ]
        return replace(
            self,
            engines=tuple(at for at in engines if shard_of(at) == self.shard),
            leaving=frozenset(at.name for at in engines if at.leaving),
        )

    def with_scan(self, scan: ReplicaScan, now_s: float) -> 'ShardKnowledge':
        """Return what is known with newer rows."""
        known = replace(self, scan=scan)
        snapshot = known.snapshot()
        if snapshot is None:
            return known
        since_s = {
            name: self.under_replicated_since_s.get(name, now_s)
            for name in under_replicated(snapshot)
        }
        return replace(known, under_replicated_since_s=since_s)

    def snapshot(self) -> ShardSnapshot | None:
        """Return the picture without free instances; ``None`` too early."""
        if self.configuration is None or self.scan is None:
            return None
        return ShardSnapshot(
            DataCentreName(self.shard.partition('/')[0]),
            self.configuration,
            self.scan.replicas,
            leaving=self.leaving,
        )

    def formation_snapshot(
        self,
        observations: EngineObservations,
        now_s: float,
        times: ControlTimes,
    ) -> ShardSnapshot | None:
        """Return the picture with the instances that a replica may take."""
        snapshot = self.snapshot()
        scan = self.scan
        if snapshot is None or scan is None:
            return None
        overdue = [
            name
            for name, since_s in self.under_replicated_since_s.items()
            if now_s - since_s >= times.spread_wait_s
        ]
        free = [
            at
            for at in self.engines
            if not at.leaving
            and scan.is_free(at.name)
            and usable_status(at.name, observations.get(at.name))
        ]
        return replace(snapshot, free=tuple(free), overdue=frozenset(overdue))

    def unwanted(self, replicas: Iterable[Replica]) -> frozenset[ReplicaId]:
        """Return the replicas that nobody asks for any more."""
        snapshot = self.snapshot()
        if snapshot is None:
            return frozenset()
        return frozenset(
            replica.replica
            for replica in replicas
            if not is_wanted(replica, snapshot)
        )


def build_replica(
    plan: Formation,
    known: ShardKnowledge,
    observations: EngineObservations,
    nonce: str,
) -> Replica:
    """Return the replica of a plan, with an epoch that its members accept."""
    scan = known.scan or ReplicaScan()
    names = [instance.name for instance in plan.instances]
    reports = [usable_status(name, observations.get(name)) for name in names]
    return Replica(
        replica_id(plan.row_key, nonce),
        plan.deployment.name,
        next_epoch(
            *(scan.membership(name).epoch for name in names),
            *(report.epoch for report in reports if report),
        ),
        known.shard,
        tuple(
            Member(at.name, at.address, at.data_centre, at.domain, rank)
            for rank, at in enumerate(plan.instances)
        ),
        model_version=plan.deployment.model_version,
        adapters=plan.deployment.adapters,
    )

"""Knowledge of a shard's owner, and the snapshot from which it plans."""

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
    """Result of one read of the tables ``replicas`` and ``members``.

    Parameters
    ----------
    replicas
        Replicas of every shard.
    memberships
        Memberships by instance; an instance without one was never claimed.
    unreadable
        Instances whose rows are malformed; they are not claimed.

    """

    replicas: tuple[Replica, ...] = ()
    memberships: Mapping[InstanceName, Membership] = field(default_factory=dict)
    unreadable: frozenset[InstanceName] = frozenset()

    def membership(self, instance: InstanceName) -> Membership:
        """Return the membership of an instance, an empty one without a row."""
        return self.memberships.get(instance, Membership(instance))

    def is_free(self, instance: InstanceName) -> bool:
        """Return whether an instance may be claimed for a new replica."""
        if instance in self.unreadable:
            return False
        return not self.membership(instance).replica


@dataclass(frozen=True)
class ShardKnowledge:
    """What a shard's owner has learnt from messages and scans.

    Parameters
    ----------
    shard
        Name of the shard.
    configuration
        Configuration in force; ``None`` until it is known.
    engines
        Engines of the shard in the instance list.
    leaving
        Engines of any shard that the platform will remove.
    scan
        Newest scan; ``None`` before the first.
    under_replicated_since_s
        Local clock of the scan since which a deployment has lacked replicas.

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
        """Return the knowledge with a newer instance list."""
        engines = [
            instance
            for instance in instances
            if instance.role == InstanceRole.ENGINE
        ]
        return replace(
            self,
            engines=tuple(
                engine for engine in engines if shard_of(engine) == self.shard
            ),
            leaving=frozenset(
                engine.name for engine in engines if engine.leaving
            ),
        )

    def with_scan(self, scan: ReplicaScan, now_s: float) -> 'ShardKnowledge':
        """Return the knowledge with a newer scan, made at ``now_s``."""
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
        """Return the snapshot without free instances.

        ``None`` before the configuration and the rows are known.
        """
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
        """Return the snapshot with the instances that a new replica may take.

        Free are the listed instances that are not leaving, belong to no
        replica and answered the last poll. ``None`` before the configuration
        and the rows are known.
        """
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
            engine
            for engine in self.engines
            if not engine.leaving
            and scan.is_free(engine.name)
            and usable_status(engine.name, observations.get(engine.name))
        ]
        return replace(snapshot, free=tuple(free), overdue=frozenset(overdue))

    def unwanted(self, replicas: Iterable[Replica]) -> frozenset[ReplicaId]:
        """Return those replicas for which the configuration no longer calls."""
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
    """Return the replica of a plan, with an epoch that its members accept.

    The epoch is above all that its members have in their rows or reports.

    Parameters
    ----------
    plan
        Plan of the replica.
    known
        Knowledge of the shard's owner.
    observations
        Observations of the shard's engines.
    nonce
        Makes the identifier of the replica unique.

    """
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
            Member(
                instance.name,
                instance.address,
                instance.data_centre,
                instance.domain,
                rank,
            )
            for rank, instance in enumerate(plan.instances)
        ),
        model_version=plan.deployment.model_version,
        adapters=plan.deployment.adapters,
    )

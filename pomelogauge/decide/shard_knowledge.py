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
from .formation import (
    Formation,
    ShardPicture,
    is_wanted,
    lacking,
    next_epoch,
    replica_id,
)
from .leases import shard_of
from .sightings import Sightings, usable_status


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
    lacking_since_s
        Own clock when a deployment was first seen to lack replicas.

    """

    shard: ShardName
    configuration: Configuration | None = None
    engines: tuple[Instance, ...] = ()
    leaving: frozenset[InstanceName] = frozenset()
    scan: ReplicaScan | None = None
    lacking_since_s: Mapping[DeploymentName, float] = field(
        default_factory=dict
    )

    def listing(self, instances: Iterable[Instance]) -> 'ShardKnowledge':
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

    def scanned(self, scan: ReplicaScan, now_s: float) -> 'ShardKnowledge':
        """Return what is known with newer rows."""
        known = replace(self, scan=scan)
        picture = known.picture()
        if picture is None:
            return known
        since_s = {
            name: self.lacking_since_s.get(name, now_s)
            for name in lacking(picture)
        }
        return replace(known, lacking_since_s=since_s)

    def picture(self) -> ShardPicture | None:
        """Return the picture without free instances; ``None`` too early."""
        if self.configuration is None or self.scan is None:
            return None
        return ShardPicture(
            DataCentreName(self.shard.partition('/')[0]),
            self.configuration,
            self.scan.replicas,
            leaving=self.leaving,
        )

    def picture_to_form(
        self,
        sightings: Sightings,
        now_s: float,
        times: ControlTimes,
    ) -> ShardPicture | None:
        """Return the picture with the instances that a replica may take."""
        picture = self.picture()
        scan = self.scan
        if picture is None or scan is None:
            return None
        patient = [
            name
            for name, since_s in self.lacking_since_s.items()
            if now_s - since_s >= times.spread_wait_s
        ]
        free = [
            at
            for at in self.engines
            if not at.leaving
            and scan.is_free(at.name)
            and usable_status(at.name, sightings.get(at.name))
        ]
        return replace(picture, free=tuple(free), patient=frozenset(patient))

    def unwanted(self, replicas: Iterable[Replica]) -> frozenset[ReplicaId]:
        """Return the replicas that nobody asks for any more."""
        picture = self.picture()
        if picture is None:
            return frozenset()
        return frozenset(
            replica.replica
            for replica in replicas
            if not is_wanted(replica, picture)
        )


def build_replica(
    plan: Formation,
    known: ShardKnowledge,
    sightings: Sightings,
    nonce: str,
) -> Replica:
    """Return the replica of a plan, with an epoch that its members accept."""
    scan = known.scan or ReplicaScan()
    names = [instance.name for instance in plan.instances]
    reports = [usable_status(name, sightings.get(name)) for name in names]
    return Replica(
        replica_id(plan.slot, nonce),
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

"""Leases, replicas, warmth and grants of capacity."""

from dataclasses import dataclass
from enum import StrEnum

from .ids import (
    ABSENT_ROW,
    NO_EPOCH,
    Address,
    DataCentreName,
    DeploymentName,
    DomainName,
    Epoch,
    Incarnation,
    InstanceName,
    NodeName,
    ReplicaId,
    RowVersion,
    ShardName,
)


@dataclass(frozen=True)
class Lease:
    """Row that says which controller may act on a shard.

    Parameters
    ----------
    shard
        One fabric domain of one data centre.
    holder
        Controller; empty when given back.
    epoch
        Raised by every take.
    version
        Row version, the condition of every write by the holder.

    """

    shard: ShardName
    holder: NodeName = NodeName('')
    epoch: Epoch = NO_EPOCH
    version: RowVersion = ABSENT_ROW


@dataclass(frozen=True)
class Heartbeat:
    """Row by which one controller renews all its leases at once."""

    holder: NodeName
    incarnation: Incarnation
    count: int
    version: RowVersion = ABSENT_ROW


@dataclass(frozen=True)
class Member:
    """An instance inside a replica; rank zero leads."""

    instance: InstanceName
    address: Address
    data_centre: DataCentreName
    domain: DomainName
    rank: int


class ReplicaState(StrEnum):
    """States of the replica chart."""

    CLAIMED = 'claimed'
    LOADING = 'loading'
    SERVING = 'serving'
    DRAINING = 'draining'
    BROKEN = 'broken'
    RELEASED = 'released'


@dataclass(frozen=True)
class Replica:
    """A group of instances that serves one deployment.

    Parameters
    ----------
    replica
        Unique for ever; a new formation takes a new one.
    deployment
        Deployment it serves.
    epoch
        Fencing number of all its orders, the same for all members.
    shard
        Shard whose lease holder owns it.
    members
        In the order of their ranks.
    state
        State in the chart.
    version
        Row version.
    model_version, adapters
        What its members were ordered to load.

    """

    replica: ReplicaId
    deployment: DeploymentName
    epoch: Epoch
    shard: ShardName
    members: tuple[Member, ...]
    state: ReplicaState = ReplicaState.CLAIMED
    version: RowVersion = ABSENT_ROW
    model_version: str = ''
    adapters: tuple[str, ...] = ()


@dataclass(frozen=True)
class Membership:
    """Row that says to which replica one instance belongs.

    Parameters
    ----------
    instance
        The instance.
    replica
        Empty when free.
    epoch
        Highest fencing number ever claimed; kept when freed.
    version
        Row version.

    """

    instance: InstanceName
    replica: ReplicaId = ReplicaId('')
    epoch: Epoch = NO_EPOCH
    version: RowVersion = ABSENT_ROW


class EngineState(StrEnum):
    """What an engine reports of itself."""

    EMPTY = 'empty'
    LOADING = 'loading'
    READY = 'ready'


@dataclass(frozen=True)
class EngineStatus:
    """An engine's own report.

    Parameters
    ----------
    instance
        Who reports.
    incarnation
        Changes with every restart.
    state
        Whether a model is loaded.
    replica
        Replica it believes to belong to.
    epoch
        Fencing number of the last order that it accepted.
    rank
        Its rank in the replica.
    running
        Requests in progress.
    completed
        Requests ended well since the model was loaded.
    current_capacity
        Requests at once that it bears in its present warmth.
    capacity
        Requests at once that it bears when warm.

    """

    instance: InstanceName
    incarnation: Incarnation
    state: EngineState
    replica: ReplicaId = ReplicaId('')
    epoch: Epoch = NO_EPOCH
    rank: int = 0
    running: int = 0
    completed: int = 0
    current_capacity: int = 0
    capacity: int = 0


@dataclass(frozen=True)
class Grant:
    """Capacity of one replica that one router may use for a while.

    Parameters
    ----------
    replica
        The replica.
    slots
        Requests at once.
    life_s
        Seconds, counted by the router from before it asked.
    lease_epoch
        Epoch of the granter's lease; a router obeys the highest.

    """

    replica: ReplicaId
    slots: int
    life_s: float
    lease_epoch: Epoch


@dataclass(frozen=True)
class ReplicaView:
    """What a router learns of a replica from its owner.

    Parameters
    ----------
    replica
        The replica as in the table.
    serving
        All members' own reports name it.
    load_age_s
        Age of the newest load report, in seconds.
    running
        Requests in progress by that report.
    current_capacity
        Requests at once in the present warmth.
    incarnation
        Incarnation of the leading member.
    capacity
        Requests at once when warm; zero when unknown.

    """

    replica: Replica
    serving: bool
    running: int = 0
    current_capacity: int = 0
    load_age_s: float = 0
    incarnation: Incarnation = Incarnation('')
    capacity: int = 0

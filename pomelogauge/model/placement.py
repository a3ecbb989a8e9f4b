"""Leases, replicas, engine reports and grants of capacity."""

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
    """Row that names the controller which owns a shard.

    Parameters
    ----------
    shard
        One fabric domain of one data centre.
    holder
        Controller that holds the lease; empty after it was given back.
    epoch
        Rises whenever the lease is taken.
    version
        Version of the row; a condition of every write by the holder.

    """

    shard: ShardName
    holder: NodeName = NodeName('')
    epoch: Epoch = NO_EPOCH
    version: RowVersion = ABSENT_ROW


@dataclass(frozen=True)
class Heartbeat:
    """Row by which a controller renews all its leases at once.

    Parameters
    ----------
    holder, incarnation
        Controller that writes the row.
    count
        Number of the renewal; changes the row with every write.
    version
        Version of the row; a condition of every write by the holder.

    """

    holder: NodeName
    incarnation: Incarnation
    count: int
    version: RowVersion = ABSENT_ROW


@dataclass(frozen=True)
class Member:
    """An instance as a member of a replica.

    The member with rank zero leads: it takes the requests.
    """

    instance: InstanceName
    address: Address
    data_centre: DataCentreName
    domain: DomainName
    rank: int


class ReplicaState(StrEnum):
    """States of a replica; names of the chart ``replica.yaml``."""

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
        Identifier that is never used again; each formation gets a new one.
    deployment
        Deployment that it serves.
    epoch
        Fencing number of all its orders, the same for all members.
    shard
        Shard whose lease holder owns the replica.
    members
        Members in the order of their ranks.
    state
        State in the chart.
    version
        Version of the row.
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
    """Row that assigns one instance to a replica.

    Parameters
    ----------
    instance
        Name of the instance.
    replica
        Replica that has claimed it; empty if it is free.
    epoch
        Highest fencing number that was ever claimed; kept when it is freed,
        so that the next claim takes a higher one.
    version
        Version of the row.

    """

    instance: InstanceName
    replica: ReplicaId = ReplicaId('')
    epoch: Epoch = NO_EPOCH
    version: RowVersion = ABSENT_ROW


class EngineState(StrEnum):
    """Whether an engine has a model, as it reports itself."""

    EMPTY = 'empty'
    LOADING = 'loading'
    READY = 'ready'


@dataclass(frozen=True)
class EngineStatus:
    """Status report of an engine.

    Parameters
    ----------
    instance
        Name of the reporting instance.
    incarnation
        Changes with every restart.
    state
        Whether a model is loaded.
    replica
        Replica of the last order that it accepted; empty for none.
    epoch
        Fencing number of that order.
    rank
        Its rank in the replica.
    running
        Requests in progress.
    completed
        Requests completed since the model was loaded.
    current_capacity
        Concurrent requests that it can take at present; fewer while it is
        cold.
    capacity
        Concurrent requests that it can take when warm.

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
    """Capacity of one replica that one router may use for a limited time.

    Parameters
    ----------
    replica
        Identifier of the replica.
    slots
        Number of concurrent requests.
    life_s
        Seconds for which the grant is valid. The router counts them from
        before it sent its request, so that the grant ends there no later than
        at the controller.
    lease_epoch
        Epoch of the controller's lease; a router ignores grants with a lower
        epoch than it has seen.

    """

    replica: ReplicaId
    slots: int
    life_s: float
    lease_epoch: Epoch


@dataclass(frozen=True)
class ReplicaView:
    """What a controller tells routers about one of its replicas.

    Parameters
    ----------
    replica
        The replica as it is stored.
    serving
        Whether it is in state ``SERVING`` and its leading member reports.
    load_age_s
        Age of the leading member's newest report, in seconds.
    running
        Requests in progress by that report, of all routers.
    current_capacity
        Concurrent requests that it can take at present; fewer while it is
        cold.
    incarnation
        Incarnation of the leading member.
    capacity
        Concurrent requests that it can take when warm; zero if unknown.

    """

    replica: Replica
    serving: bool
    running: int = 0
    current_capacity: int = 0
    load_age_s: float = 0
    incarnation: Incarnation = Incarnation('')
    capacity: int = 0

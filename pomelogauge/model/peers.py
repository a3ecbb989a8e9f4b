"""Records that routers and controllers exchange about themselves."""

from dataclasses import dataclass

from .ids import (
    NO_VERSION,
    Address,
    ConfigVersion,
    DataCentreName,
    DeploymentName,
    Incarnation,
    NodeName,
    ReplicaId,
)
from .phase import NodePhase
from .placement import Grant, ReplicaView
from .topology import InstanceRole


@dataclass(frozen=True)
class NodeReport:
    """Report of a router or controller about itself.

    Parameters
    ----------
    node
        Name in the instance list.
    role
        Router or controller.
    incarnation
        Changes with every restart.
    sequence
        Rises with every report of one incarnation; the sequences of two
        incarnations can't be compared.
    data_centre
        Where it runs.
    address
        ``host:port`` for callers; empty for a controller.
    peer_address
        ``host:port`` of its gRPC interface.
    version
        Version of the configuration that it has in force.
    phase
        Whether it takes new work.

    """

    node: NodeName
    role: InstanceRole
    incarnation: Incarnation
    sequence: int
    data_centre: DataCentreName
    address: Address
    peer_address: Address
    version: ConfigVersion = NO_VERSION
    phase: NodePhase = NodePhase.STARTING


@dataclass(frozen=True)
class PeerView:
    """Newest known report of a peer, as it is gossiped.

    Parameters
    ----------
    report
        The report.
    age_s
        Seconds since the report was made.
    direct
        Whether it came from the peer itself, not through others, while the
        peer counts as live.

    """

    report: NodeReport
    age_s: float
    direct: bool = False


@dataclass(frozen=True)
class Heartbeat:
    """Age of a peer's newest report, in compact form.

    Parameters
    ----------
    peer
        Fingerprint of its name, incarnation and address.
    age_s
        Seconds since the peer made the report.

    """

    peer: int
    age_s: float


@dataclass(frozen=True)
class Heartbeats:
    """Heartbeats of peers that have the same phase and version."""

    version: ConfigVersion
    phase: NodePhase
    heartbeats: tuple[Heartbeat, ...]


@dataclass(frozen=True)
class ReplicaUse:
    """What one router uses of one replica.

    Parameters
    ----------
    replica
        Identifier of the replica.
    running
        Requests in progress.
    held
        Slots of the grant that the router holds; it runs no more requests at
        once. ``None`` if not stated.

    """

    replica: ReplicaId
    running: int
    held: int | None = None


@dataclass(frozen=True)
class Demand:
    """Requests of one router for one deployment.

    Grants are shared among routers in proportion to both numbers together.

    Parameters
    ----------
    deployment
        Name of the deployment.
    waiting
        Requests in the router's queue.
    running
        Requests in progress.

    """

    deployment: DeploymentName
    waiting: int
    running: int


@dataclass(frozen=True)
class ExchangeRequest:
    """Periodic request of a router to a controller.

    Parameters
    ----------
    sender
        Report of the router.
    demands
        Its requests by deployment.
    uses
        Replicas on which it has requests or a grant.
    suspects
        Replicas that it lost and that no controller has reported since.

    """

    sender: NodeReport
    demands: tuple[Demand, ...] = ()
    uses: tuple[ReplicaUse, ...] = ()
    suspects: tuple[ReplicaId, ...] = ()


@dataclass(frozen=True)
class ExchangeAnswer:
    """Answer of a controller to a router.

    Parameters
    ----------
    sender
        Report of the controller.
    views
        All replicas of the shards that the controller owns.
    grants
        Slots that the router may use from now on.

    """

    sender: NodeReport
    views: tuple[ReplicaView, ...] = ()
    grants: tuple[Grant, ...] = ()

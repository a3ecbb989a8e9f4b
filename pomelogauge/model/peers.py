"""Routers and controllers as they see each other."""

from dataclasses import dataclass
from enum import StrEnum

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
from .placement import Grant, ReplicaView
from .topology import InstanceRole


class NodePhase(StrEnum):
    """Phases of a process, as peers see them."""

    STARTING = 'starting'
    READY = 'ready'
    CUT_OFF = 'cut_off'
    LEAVING = 'leaving'


@dataclass(frozen=True)
class NodeReport:
    """What a router or controller says of itself.

    Parameters
    ----------
    node
        Name in the instance list.
    role
        Router or controller.
    incarnation
        Changes with every restart.
    sequence
        Rises with every report of one incarnation.
    data_centre
        Where it stands.
    address
        ``host:port`` for callers; empty for a controller.
    peer_address
        ``host:port`` of its gRPC interface.
    version
        Configuration that it has in force.
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
    """A peer and the age of its last report.

    Parameters
    ----------
    report
        Its newest report.
    age_s
        Seconds since this process received it.
    direct
        It came from the peer itself within its life.

    """

    report: NodeReport
    age_s: float
    direct: bool = False


@dataclass(frozen=True)
class Heartbeat:
    """The age of a peer's newest report.

    Parameters
    ----------
    peer
        Fingerprint of its name and incarnation.
    age_s
        Seconds since it made the report.

    """

    peer: int
    age_s: float


@dataclass(frozen=True)
class Heartbeats:
    """Heartbeats of peers in the same phase with the same version."""

    version: ConfigVersion
    phase: NodePhase
    heartbeats: tuple[Heartbeat, ...]


@dataclass(frozen=True)
class ReplicaUse:
    """What one router has of one replica.

    Parameters
    ----------
    replica
        The replica.
    running
        Requests in progress.
    held
        Slots of its grant, beyond which it starts nothing; ``None`` when
        not told.

    """

    replica: ReplicaId
    running: int
    held: int | None = None


@dataclass(frozen=True)
class Demand:
    """What one router wants for one deployment.

    Parameters
    ----------
    deployment
        The deployment.
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
    """A router's regular message to a controller."""

    sender: NodeReport
    demands: tuple[Demand, ...] = ()
    uses: tuple[ReplicaUse, ...] = ()
    suspects: tuple[ReplicaId, ...] = ()


@dataclass(frozen=True)
class ExchangeAnswer:
    """A controller's answer: its replicas and the router's grants."""

    sender: NodeReport
    views: tuple[ReplicaView, ...] = ()
    grants: tuple[Grant, ...] = ()

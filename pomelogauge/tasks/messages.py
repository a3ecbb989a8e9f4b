"""Messages that cross from one part to another."""

from dataclasses import dataclass

from ..model.ids import (
    Address,
    ConfigVersion,
    Epoch,
    Incarnation,
    NodeName,
    ReplicaId,
    RequestId,
    ShardName,
)
from ..model.manifest import Configuration
from ..model.peers import (
    ExchangeAnswer,
    ExchangeRequest,
    Heartbeats,
    NodePhase,
    NodeReport,
    PeerView,
)
from ..model.placement import ReplicaView
from ..model.request import (
    ModelRequest,
    Refusal,
    ServiceRequest,
    ServiceSlot,
    Slot,
    SlotOutcome,
)
from ..model.topology import Instance
from .mailbox import Outbox


@dataclass(frozen=True)
class ConfigurationInForce:
    """A newer configuration is in force in this process."""

    configuration: Configuration


@dataclass(frozen=True)
class PeersChanged:
    """The live peers, or what they report, have changed."""

    peers: tuple[PeerView, ...]


@dataclass(frozen=True)
class InstancesListed:
    """The platform's instance list was read."""

    instances: tuple[Instance, ...]


@dataclass(frozen=True)
class PhaseChanged:
    """The own process has entered another phase."""

    phase: NodePhase


@dataclass(frozen=True)
class VersionConfirmed:
    """The version in force is confirmed until a time of the own clock."""

    until_s: float


@dataclass(frozen=True)
class GossipReceived:
    """A peer's gossip arrived.

    Parameters
    ----------
    sender
        The peer's own report.
    others
        What it knows of others.
    reply
        Takes this process's own gossip; ``None`` for an answer to ours.
    heartbeats
        When it knows others to have been alive.

    """

    sender: NodeReport
    others: tuple[PeerView, ...]
    reply: 'Outbox[Gossip] | None' = None
    heartbeats: tuple[Heartbeats, ...] = ()


@dataclass(frozen=True)
class Gossip:
    """What one process tells another.

    Parameters
    ----------
    sender
        Its own report.
    others
        Whole reports that the other one lacks.
    heartbeats
        When it knows others to have been alive.

    """

    sender: NodeReport
    others: tuple[PeerView, ...]
    heartbeats: tuple[Heartbeats, ...] = ()


@dataclass(frozen=True)
class ConfigurationDocument:
    """An encoded configuration on its way.

    Parameters
    ----------
    version
        Its version; zero with an empty document when the sender has none.
    document
        The encoded configuration.
    sender
        Node that sent it.

    """

    version: ConfigVersion
    document: bytes
    sender: NodeName


@dataclass(frozen=True)
class ConfigurationRequested:
    """A peer or the interface asks for the configuration in force."""

    reply: Outbox[ConfigurationDocument]


@dataclass(frozen=True)
class ConfigurationPushed:
    """A peer pushes a configuration; the answer is the version in force."""

    document: ConfigurationDocument
    reply: Outbox[ConfigVersion]


@dataclass(frozen=True)
class ExchangeRequested:
    """A router's exchange arrived at this controller."""

    ask: ExchangeRequest
    reply: Outbox[ExchangeAnswer]


@dataclass(frozen=True)
class ExchangeDone:
    """A router's exchange with one controller has ended.

    Parameters
    ----------
    controller
        Node asked.
    requested_at_s
        Own clock before the ask was sent; grants count from here.
    answer
        ``None`` when the controller did not answer.
    sequence
        Sequence of the report in the ask.

    """

    controller: NodeName
    requested_at_s: float
    answer: ExchangeAnswer | None
    sequence: int = 0


@dataclass(frozen=True)
class ExchangeExpedited:
    """Requests wait without room; the exchanges need not wait their period."""


@dataclass(frozen=True)
class ReplicasSuspected:
    """Routers have lost requests on these replicas."""

    replicas: tuple[ReplicaId, ...]


@dataclass(frozen=True)
class ShardViews:
    """What the owner of a shard says of its replicas.

    Parameters
    ----------
    shard
        The shard.
    lease_epoch
        Epoch of its lease.
    held
        The lease is held; ``False`` once it lapsed or was lost.
    views
        All replicas of the shard.
    formed
        Those formed under this lease, so that no other granter knew them.
    held_until_s
        Own clock when the lease lapses unless it is renewed.
    reported_at_s
        Own clock when the views were made; ``None`` when not told.
    owner
        Takes the replicas that routers suspect.

    """

    shard: ShardName
    lease_epoch: Epoch
    held: bool
    views: tuple[ReplicaView, ...]
    formed: frozenset[ReplicaId] = frozenset()
    held_until_s: float = float('inf')
    reported_at_s: float | None = None
    owner: Outbox[ReplicasSuspected] | None = None


@dataclass(frozen=True)
class RequestSlot:
    """A caller's task asks the dispatcher for a place.

    Parameters
    ----------
    request
        The request.
    requested_at_s
        Own clock when the request arrived.
    reply
        Takes one answer.
    avoid
        Replicas already lost for this request.
    admitted
        The request was let in before and is work in progress.

    """

    request: ModelRequest
    requested_at_s: float
    reply: Outbox['Slot | Refusal']
    avoid: tuple[ReplicaId, ...] = ()
    admitted: bool = False


@dataclass(frozen=True)
class RequestServiceSlot:
    """A caller's task asks for an instance of a plain service."""

    request: ServiceRequest
    requested_at_s: float
    reply: Outbox['ServiceSlot | Refusal']
    avoid: tuple[Address, ...] = ()


@dataclass(frozen=True)
class ReleaseSlot:
    """A caller's task gives its place back."""

    request: RequestId
    end: SlotOutcome


@dataclass(frozen=True)
class WithdrawRequest:
    """The caller has left; a waiting request is dropped."""

    request: RequestId


@dataclass(frozen=True)
class RouterAddresses:
    """Answer to callers: which addresses to use, and for how long.

    Parameters
    ----------
    addresses
        ``host:port`` of routers, best first.
    ttl_s
        Seconds for which the caller may keep the answer.

    """

    addresses: tuple[Address, ...]
    ttl_s: float


@dataclass(frozen=True)
class RouterAddressesRequested:
    """A caller asks which addresses to use."""

    reply: Outbox[RouterAddresses]


@dataclass(frozen=True)
class NodeStatus:
    """What operators see of one process."""

    sender: NodeReport
    peers: tuple[PeerView, ...]
    views: tuple[ReplicaView, ...] = ()
    shards: tuple[ShardName, ...] = ()


@dataclass(frozen=True)
class StatusRequested:
    """The operators' command asks for the status."""

    reply: Outbox[NodeStatus]


@dataclass(frozen=True)
class IncarnationObserved:
    """A target answered; its incarnation may be another than reported."""

    replica: ReplicaId
    incarnation: Incarnation


@dataclass(frozen=True)
class DemandRequested:
    """The exchange task asks for what to tell a controller.

    Parameters
    ----------
    reply
        Takes the ask.
    controller
        Who will be told.

    """

    reply: Outbox[ExchangeRequest]
    controller: NodeName = NodeName('')


@dataclass(frozen=True)
class RunningCount:
    """How many requests the router serves at the moment."""

    running: int


@dataclass(frozen=True)
class RunningCountRequested:
    """Asks for the number of requests in progress."""

    reply: Outbox[RunningCount]

"""Messages between the tasks of a process."""

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
    """A newer version of the configuration is in force in this process."""

    configuration: Configuration


@dataclass(frozen=True)
class PeersChanged:
    """The set of live peers, or a report of one of them, has changed."""

    peers: tuple[PeerView, ...]


@dataclass(frozen=True)
class InstancesListed:
    """The platform's list of instances was read."""

    instances: tuple[Instance, ...]


@dataclass(frozen=True)
class VersionConfirmed:
    """The version in force is confirmed until a time on the local clock."""

    until_s: float


@dataclass(frozen=True)
class GossipReceived:
    """A gossip message of a peer has arrived.

    Parameters
    ----------
    sender
        Report of the peer on itself.
    others
        Reports on other processes that the peer passes on.
    reply
        Receives this process's gossip; ``None`` when the message is itself
        the answer to a gossip of this process.
    heartbeats
        When the peer knows other processes to have been alive.

    """

    sender: NodeReport
    others: tuple[PeerView, ...]
    reply: 'Outbox[Gossip] | None' = None
    heartbeats: tuple[Heartbeats, ...] = ()


@dataclass(frozen=True)
class Gossip:
    """Gossip message from one process to another.

    Parameters
    ----------
    sender
        Report of the sender on itself.
    others
        Full reports that the receiver lacks.
    heartbeats
        When the sender knows other processes to have been alive.

    """

    sender: NodeReport
    others: tuple[PeerView, ...]
    heartbeats: tuple[Heartbeats, ...] = ()


@dataclass(frozen=True)
class ConfigurationDocument:
    """An encoded configuration as one process sends it to another.

    Parameters
    ----------
    version
        Version of the configuration; zero, with an empty document, when the
        sender has none.
    document
        The encoded configuration.
    sender
        Node that sent the document.

    """

    version: ConfigVersion
    document: bytes
    sender: NodeName


@dataclass(frozen=True)
class ConfigurationRequested:
    """A peer, or the process's own interface, requests the configuration."""

    reply: Outbox[ConfigurationDocument]


@dataclass(frozen=True)
class ConfigurationPushed:
    """A peer pushes a configuration; the reply is the version in force."""

    document: ConfigurationDocument
    reply: Outbox[ConfigVersion]


@dataclass(frozen=True)
class ExchangeRequested:
    """A router's exchange has arrived at this controller."""

    ask: ExchangeRequest
    reply: Outbox[ExchangeAnswer]


@dataclass(frozen=True)
class ExchangeDone:
    """A router's exchange with one controller has ended.

    Parameters
    ----------
    controller
        Controller with which the router exchanged.
    requested_at_s
        Time on the local clock before the request was sent. The lifetimes of
        the grants count from here, so that they end no later at the router
        than at the controller.
    answer
        ``None`` when the controller did not answer.
    sequence
        Sequence number of the report in the request.

    """

    controller: NodeName
    requested_at_s: float
    answer: ExchangeAnswer | None
    sequence: int = 0


@dataclass(frozen=True)
class ExchangeExpedited:
    """Requests wait for a slot; exchanges need not wait for the interval."""


@dataclass(frozen=True)
class ReplicasSuspected:
    """Routers have lost requests on these replicas and suspect them."""

    replicas: tuple[ReplicaId, ...]


@dataclass(frozen=True)
class ShardViews:
    """Report of a shard's owner on the replicas of the shard.

    Parameters
    ----------
    shard
        Shard to which the replicas belong.
    lease_epoch
        Epoch of the lease on the shard.
    held
        Whether the lease is held; ``False`` once it has expired or was lost.
    views
        All replicas of the shard.
    formed
        Replicas formed under this lease. No other controller can have
        granted slots of them.
    held_until_s
        Time on the local clock at which the lease expires unless it is
        renewed.
    reported_at_s
        Time on the local clock at which the views were made; ``None`` when
        it is not known.
    owner
        Receives the replicas that routers suspect.

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
    """Asks the dispatcher for a slot of a replica; sent by a caller's task.

    Parameters
    ----------
    request
        Request for which the slot is needed.
    requested_at_s
        Time on the local clock at which the request arrived.
    reply
        Receives exactly one answer.
    avoid
        Replicas on which this request was already lost.
    admitted
        Whether the request was admitted before and is work in progress.

    """

    request: ModelRequest
    requested_at_s: float
    reply: Outbox['Slot | Refusal']
    avoid: tuple[ReplicaId, ...] = ()
    admitted: bool = False


@dataclass(frozen=True)
class RequestServiceSlot:
    """Asks the dispatcher for an instance of a service; sent by a call."""

    request: ServiceRequest
    requested_at_s: float
    reply: Outbox['ServiceSlot | Refusal']
    avoid: tuple[Address, ...] = ()


@dataclass(frozen=True)
class ReleaseSlot:
    """Returns a slot to the dispatcher, with how the request ended."""

    request: RequestId
    end: SlotOutcome


@dataclass(frozen=True)
class WithdrawRequest:
    """Withdraws a request whose task no longer waits for a slot."""

    request: RequestId


@dataclass(frozen=True)
class RouterAddresses:
    """Answer to callers with the routers to use.

    Parameters
    ----------
    addresses
        ``host:port`` of routers, best first.
    ttl_s
        Seconds for which the caller may cache the answer.

    """

    addresses: tuple[Address, ...]
    ttl_s: float


@dataclass(frozen=True)
class RouterAddressesRequested:
    """A caller requests the addresses of routers."""

    reply: Outbox[RouterAddresses]


@dataclass(frozen=True)
class NodeStatus:
    """Status of one process as operators see it.

    Parameters
    ----------
    sender
        Report of the process on itself.
    peers
        Reports of the peers that it knows.
    views
        Replicas of the shards that it owns; empty except at controllers.
    shards
        Shards whose leases it holds.

    """

    sender: NodeReport
    peers: tuple[PeerView, ...]
    views: tuple[ReplicaView, ...] = ()
    shards: tuple[ShardName, ...] = ()


@dataclass(frozen=True)
class StatusRequested:
    """The status command requests the status of this process."""

    reply: Outbox[NodeStatus]


@dataclass(frozen=True)
class IncarnationObserved:
    """A target answered with an incarnation, maybe newer than its report."""

    replica: ReplicaId
    incarnation: Incarnation


@dataclass(frozen=True)
class DemandRequested:
    """The exchange task requests the demand to report to a controller.

    Parameters
    ----------
    reply
        Receives the request for the controller.
    controller
        Controller to which the request will be sent.

    """

    reply: Outbox[ExchangeRequest]
    controller: NodeName = NodeName('')

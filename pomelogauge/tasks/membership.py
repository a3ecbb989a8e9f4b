"""The task that tracks live peers and exchanges gossip with them."""

from dataclasses import dataclass, replace
from random import Random

from ..decide.heartbeats import (
    heartbeats_of,
    merge_heartbeats,
    missing_views,
)
from ..decide.membership import (
    GossipSettings,
    KnownPeer,
    drop_expired,
    live_views,
    merge_views,
    pick_targets,
    unreachable_addresses,
)
from ..model.ids import Address, ConfigVersion, Incarnation, NodeName
from ..model.peers import NodeReport, PeerView
from ..model.phase import NodePhase
from ..model.topology import Instance
from .clock import Clock
from .mailbox import Outbox
from .messages import (
    ConfigurationInForce,
    Gossip,
    GossipReceived,
    InstancesListed,
    NodeStatus,
    PeersChanged,
    RouterAddressesRequested,
    StatusRequested,
)
from .peer_messages import GossipEnded, SendGossip
from .router_directory import RouterDirectory
from .shutdown_messages import PhaseChanged

#: Longest time in seconds between two messages to the subscribers.
PUBLISH_INTERVAL_S = 0.5
#: Range of the random start of the rotation of router addresses, so that
#: routers don't all name the same router first.
_FIRST_TURNS = 1000

MembershipMessage = (
    InstancesListed
    | PhaseChanged
    | ConfigurationInForce
    | GossipReceived
    | GossipEnded
    | RouterAddressesRequested
    | StatusRequested
)


@dataclass(frozen=True)
class MembershipSettings:
    """Settings of the membership task.

    Parameters
    ----------
    gossip
        Intervals and fan-out of gossip.
    entries_ttl_s
        Seconds for which callers may keep a list of router addresses.

    """

    gossip: GossipSettings
    entries_ttl_s: float


@dataclass(frozen=True)
class MembershipPorts:
    """Tasks to which the membership task posts.

    Parameters
    ----------
    senders
        Gossip senders, each with at most one exchange at a time.
    subscribers
        Get the live peers.

    """

    senders: tuple[Outbox[SendGossip], ...]
    subscribers: tuple[Outbox[PeersChanged], ...]


@dataclass(frozen=True)
class _Notable:
    """Fields of a peer whose change is published at once."""

    node: NodeName
    incarnation: Incarnation
    version: ConfigVersion
    phase: NodePhase


@dataclass(frozen=True)
class _Published:
    """What was published last, and when."""

    notable: frozenset[_Notable] = frozenset()
    at_s: float = float('-inf')

    def is_due(self, notable: frozenset[_Notable], now_s: float) -> bool:
        """Return whether a change or the interval calls for publication."""
        interval_over = now_s - self.at_s >= PUBLISH_INTERVAL_S
        return interval_over or notable != self.notable


class Membership:
    """Owns this process's report and the views of its peers.

    Parameters
    ----------
    own
        First report of this process.
    ports
        Gossip senders and subscribers.
    settings
        Intervals, fan-out and life of answers.
    clock
        Monotonic clock of this process.
    rng
        Source of gossip targets and of the first router address.

    """

    def __init__(
        self,
        own: NodeReport,
        ports: MembershipPorts,
        settings: MembershipSettings,
        clock: Clock,
        rng: Random,
    ) -> None:
        """Start without peers."""
        self._report = own
        self._ports = ports
        self._settings = settings
        self._clock = clock
        self._rng = rng
        self._known: dict[NodeName, KnownPeer] = {}
        self._instances: tuple[Instance, ...] = ()
        self._idle = set(range(len(ports.senders)))
        self._round_due_s = clock.now_s()
        self._published = _Published()
        self._entries = RouterDirectory(
            settings.entries_ttl_s, rng.randrange(_FIRST_TURNS)
        )
        self._inbox: Outbox[GossipReceived | GossipEnded] | None = None

    def listen_on(self, own: Outbox[GossipReceived | GossipEnded]) -> None:
        """Set the outbox for replies to this task; call before the start."""
        self._inbox = own

    def on_start(self) -> None:
        """Do nothing; the senders own the connections."""

    def on_message(self, message: MembershipMessage) -> None:
        """Update the known peers, or reply from them."""
        if isinstance(message, RouterAddressesRequested):
            self._reply_addresses(message)
        elif isinstance(message, StatusRequested):
            message.reply.post(NodeStatus(self._next_report(), self._live()))
        elif isinstance(message, GossipEnded):
            self._idle.add(message.sender)
        else:
            self._update(message)
            self._entries.invalidate()
            if isinstance(message, (PhaseChanged, ConfigurationInForce)):
                # Send the change to peers at once, not in the next round.
                self._round_due_s = self._clock.now_s()
            self._publish()

    def on_timer(self) -> float | None:
        """Start a gossip round when it is due, and publish the live peers."""
        now_s = self._clock.now_s()
        if now_s >= self._round_due_s:
            round_s = self._settings.gossip.round_s(len(self._known))
            self._round_due_s = now_s + round_s
            self._known = drop_expired(
                self._known, self._live_timeout_s(), now_s
            )
            self._entries.invalidate()
            self._gossip_round()
        self._publish()
        due_s = min(
            self._round_due_s,
            self._published.at_s + PUBLISH_INTERVAL_S,
        )
        return max(0, due_s - self._clock.now_s())

    def on_stop(self) -> None:
        """Do nothing; the senders own the connections."""

    def _update(
        self,
        message: (
            InstancesListed
            | PhaseChanged
            | ConfigurationInForce
            | GossipReceived
        ),
    ) -> None:
        if isinstance(message, InstancesListed):
            self._instances = message.instances
            self._entries.set_instances(message)
        elif isinstance(message, PhaseChanged):
            self._report = _in_phase(self._report, message.phase)
        elif isinstance(message, ConfigurationInForce):
            version = message.configuration.version
            self._report = replace(self._report, version=version)
            self._entries.take_configuration(message)
        else:
            self._merge_gossip(message)

    def _merge_gossip(self, message: GossipReceived) -> None:
        views = (PeerView(message.sender, 0, direct=True), *message.others)
        now_s = self._clock.now_s()
        known = merge_views(self._known, self._report.node, views, now_s)
        self._known = merge_heartbeats(known, message.heartbeats, now_s)
        if message.reply:
            missing = missing_views(
                self._live(), message.heartbeats, message.sender.node
            )
            message.reply.post(replace(self._gossip(), others=missing))

    def _gossip_round(self) -> None:
        live = self._live()
        targets = pick_targets(
            live,
            unreachable_addresses(self._instances, live, self._report.node),
            self._settings.gossip.targets(len(live)),
            self._rng,
        )
        # A sender that still waits for a dead peer gets no further request.
        for address, sender in zip(targets, sorted(self._idle), strict=False):
            self._send(sender, address)

    def _send(self, sender: int, address: Address) -> None:
        if self._inbox is None:
            return
        self._idle.discard(sender)
        request = SendGossip(address, self._gossip(), sender, self._inbox)
        self._ports.senders[sender].post(request)

    def _gossip(self) -> Gossip:
        return Gossip(self._next_report(), (), heartbeats_of(self._live()))

    def _next_report(self) -> NodeReport:
        """Return this process's report with the next sequence number."""
        sequence = self._report.sequence + 1
        self._report = replace(self._report, sequence=sequence)
        return self._report

    def _live(self) -> tuple[PeerView, ...]:
        return live_views(
            self._known, self._live_timeout_s(), self._clock.now_s()
        )

    def _live_timeout_s(self) -> float:
        return self._settings.gossip.live_timeout_s(len(self._known))

    def _publish(self) -> None:
        live = self._live()
        notable = frozenset(_notable(view.report) for view in live)
        now_s = self._clock.now_s()
        if not self._published.is_due(notable, now_s):
            return
        self._published = _Published(notable, now_s)
        for subscriber in self._ports.subscribers:
            subscriber.post(PeersChanged(live))

    def _reply_addresses(self, message: RouterAddressesRequested) -> None:
        if not self._entries.is_chosen:
            self._entries.choose(self._report, self._live())
        message.reply.post(self._entries.next_addresses())


def _notable(report: NodeReport) -> _Notable:
    return _Notable(
        report.node,
        report.incarnation,
        report.version,
        report.phase,
    )


def _in_phase(report: NodeReport, phase: NodePhase) -> NodeReport:
    # ``LEAVING`` is final, even if the configuration is confirmed later.
    if report.phase is NodePhase.LEAVING:
        return report
    return replace(report, phase=phase)

"""Wires what routers and controllers share: peers and configuration."""

from dataclasses import dataclass

from ..charts.reader import load_chart
from ..decide.membership import GossipSettings
from ..decide.spread import SpreadSettings
from ..decide.version_chart import VERSION_WORDS
from ..tables.configuration_store import ConfigurationStore
from ..tables.http_platform import HttpPlatform
from ..tasks.clock import MonotonicClock
from ..tasks.configuration_keeper import (
    ConfigurationKeeper,
    ConfigurationKeeperMessage,
    KeeperPorts,
)
from ..tasks.configuration_reader import ConfigurationReader
from ..tasks.configuration_requests import (
    ConfigurationRequestPorts,
    ConfigurationRequests,
)
from ..tasks.configuration_sender import ConfigurationSender
from ..tasks.gossip_sender import GossipSender
from ..tasks.instance_reader import InstanceReader
from ..tasks.mailbox import Outbox
from ..tasks.membership import (
    Membership,
    MembershipMessage,
    MembershipPorts,
    MembershipSettings,
)
from ..tasks.messages import (
    ConfigurationInForce,
    InstancesListed,
    PeersChanged,
    VersionConfirmed,
)
from ..tasks.shutdown_messages import PhaseChanged
from ..tasks.task import Task
from ..wire.blocked_links import BlockedLinks
from ..wire.configuration_document import decode_configuration
from ..wire.peer_client import GrpcLinks
from .deferred_outbox import DeferredOutbox
from .identity import Identity
from .task_set import TaskSet

#: Tasks that send gossip; an unresponsive peer delays only one of them.
GOSSIP_SENDERS = 2
#: Tasks that push configurations to peers.
PUSHERS = 4


@dataclass(frozen=True)
class PeerSubscribers:
    """Subscribers by kind of message."""

    peers: tuple[Outbox[PeersChanged], ...]
    instances: tuple[Outbox[InstancesListed], ...]
    configurations: tuple[Outbox[ConfigurationInForce], ...]
    phases: tuple[Outbox[PhaseChanged], ...]
    confirmations: tuple[Outbox[VersionConfirmed], ...] = ()


@dataclass(frozen=True)
class PeerParts:
    """Tasks that routers and controllers share."""

    membership: Task[MembershipMessage]
    keeper: Task[ConfigurationKeeperMessage]


class PeerWiring:
    """Makes the shared tasks of one process.

    Parameters
    ----------
    identity
        Name, incarnation and addresses of the process.
    tasks
        Set to which the tasks are added.
    blocked_links
        Links that tests block to simulate partitions.

    """

    def __init__(
        self,
        identity: Identity,
        tasks: TaskSet,
        blocked_links: BlockedLinks,
    ) -> None:
        """Wire nothing yet."""
        self._identity = identity
        self._cfg = identity.cfg
        self._tasks = tasks
        self._blocked_links = blocked_links
        self._clock = MonotonicClock()

    def links(self) -> GrpcLinks:
        """Return new links to peers for one task."""
        return GrpcLinks(
            self._cfg.node, self._cfg.peer_timeout_s, self._blocked_links
        )

    def platform(self) -> HttpPlatform:
        """Return a new connection to the platform for one task."""
        return HttpPlatform(
            self._cfg.platform,
            self._cfg.node,
            self._cfg.platform_timeout_s,
        )

    def wire(self, subscribers: PeerSubscribers) -> PeerParts:
        """Make the shared tasks."""
        keeper_box: DeferredOutbox[ConfigurationKeeperMessage] = (
            DeferredOutbox()
        )
        membership = self._membership((keeper_box, *subscribers.peers))
        keeper = self._keeper(membership, subscribers)
        keeper_box.connect(keeper)
        reader = InstanceReader(
            self.platform(),
            (membership, keeper, *subscribers.instances),
            self._cfg.pull_interval_s,
            self._clock,
            self._identity.rng('instances'),
        )
        self._tasks.add('instances', reader)
        return PeerParts(membership, keeper)

    def _membership(
        self,
        subscribers: tuple[Outbox[PeersChanged], ...],
    ) -> Task[MembershipMessage]:
        senders = tuple(
            self._tasks.add(f'gossip-{number}', GossipSender(self.links()))
            for number in range(GOSSIP_SENDERS)
        )
        actor = Membership(
            self._identity.report(),
            MembershipPorts(senders, subscribers),
            MembershipSettings(
                GossipSettings(interval_s=self._cfg.gossip_interval_s),
                self._entry_ttl_s(),
            ),
            self._clock,
            self._identity.rng('membership'),
        )
        task = self._tasks.add('membership', actor)
        actor.listen_on(task)
        return task

    def _keeper(
        self,
        membership: Task[MembershipMessage],
        subscribers: PeerSubscribers,
    ) -> Task[ConfigurationKeeperMessage]:
        spread = SpreadSettings(
            pull_interval_s=self._cfg.pull_interval_s,
            cut_off_after_s=self._cfg.cut_off_after_s,
        )
        actor = ConfigurationKeeper(
            self._cfg.node,
            load_chart('settings_version', VERSION_WORDS),
            decode_configuration,
            ConfigurationRequests(
                self._request_ports(),
                spread,
                self._clock,
                self._identity.rng('configuration'),
            ),
            KeeperPorts(
                (membership, *subscribers.configurations),
                (membership, *subscribers.phases),
                subscribers.confirmations,
            ),
            self._cfg.cut_off_after_s,
            self._clock,
        )
        task = self._tasks.add('configuration', actor)
        actor.listen_on(task)
        return task

    def _request_ports(self) -> ConfigurationRequestPorts:
        source = ConfigurationStore(self.platform())
        reader = ConfigurationReader(source, self._cfg.node)
        pushers = tuple(
            self._tasks.add(f'push-{number}', self._configuration_sender())
            for number in range(PUSHERS)
        )
        return ConfigurationRequestPorts(
            self._tasks.add('configuration reader', reader),
            self._tasks.add('fetch', self._configuration_sender()),
            pushers,
        )

    def _configuration_sender(self) -> ConfigurationSender:
        return ConfigurationSender(self.links())

    def _entry_ttl_s(self) -> float:
        # Only routers have the setting; callers ask them alone for addresses.
        return getattr(self._cfg, 'entry_ttl_s', 0)

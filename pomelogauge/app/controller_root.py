"""The composition root of a controller."""

from dataclasses import dataclass

from ..charts.reader import load_chart
from ..decide.lease_chart import LEASE_WORDS
from ..decide.replica_chart import REPLICA_WORDS
from ..engines.http_control import HttpEngineControl
from ..engines.protocols import OwnedEngineControl
from ..model.phase import NodePhase
from ..model.times import ControlTimes
from ..model.topology import InstanceRole
from ..tables.protocols import TableService
from ..tasks.clock import MonotonicClock
from ..tasks.controller_tasks import ControllerParts, ShardThreads
from ..tasks.grant_allocator import GrantAllocator
from ..tasks.lease_keeper import LeaseKeeper
from ..tasks.mailbox import Mailbox, Outbox
from ..tasks.messages import ShardViews
from ..tasks.metrics import MetricsActor
from ..tasks.phase_publisher import PhasePublisher
from ..tasks.published import Published
from ..tasks.shutdown import ProcessEnd
from ..wire.blocked_links import BlockedLinks
from ..wire.callers_server import CallersServer, ServerSettings
from ..wire.health_http import HealthApp
from ..wire.peer_outboxes import PeerOutboxes
from .daemon import Daemon, Servers
from .identity import Identity
from .metrics_reader import MetricsReader
from .peer_parts import PeerSubscribers, PeerWiring
from .settings import ControllerSettings
from .task_set import TaskSet

#: Threads that serve health and metrics requests.
HEALTH_THREADS = 2


@dataclass(frozen=True)
class ControllerConnections:
    """Opens connections for the tasks of a controller."""

    wiring: PeerWiring
    cfg: ControllerSettings

    def tables(self) -> TableService:
        """Return a new connection to the platform's tables."""
        return self.wiring.platform()

    def control(self, timeout_s: float) -> OwnedEngineControl:
        """Return new connections to engines with this deadline per call."""
        return HttpEngineControl(self.cfg.node, timeout_s)


def wire_controller(cfg: ControllerSettings) -> Daemon:
    """Bind the ports and return a controller whose tasks are not started.

    Raises
    ------
    UserError
        A port can't be bound, or a chart names something that the code
        does not define.

    """
    http = CallersServer(ServerSettings(threads=HEALTH_THREADS))
    servers = Servers(cfg, InstanceRole.CONTROLLER, http, cfg.http_port)
    identity = servers.bind()
    tasks = TaskSet()
    metrics = tasks.add('metrics', MetricsActor())
    phase = Published(NodePhase.STARTING)
    blocked_links = BlockedLinks()
    wiring = PeerWiring(identity, tasks, blocked_links)
    allocator = tasks.add(
        'grants',
        GrantAllocator(identity.report(), control_times(cfg), MonotonicClock()),
    )
    leases = tasks.add(
        'leases', _lease_keeper(cfg, identity, wiring, allocator)
    )
    shared = wiring.wire(
        PeerSubscribers(
            peers=(allocator,),
            instances=(leases,),
            configurations=(leases, allocator),
            phases=(PhasePublisher(phase), allocator),
        ),
    )
    outboxes = PeerOutboxes(
        shared.membership, shared.keeper, allocator, allocator
    )
    app = HealthApp(phase, MetricsReader(metrics))
    ended: Mailbox[ProcessEnd] = Mailbox()
    return Daemon(
        identity,
        tasks,
        servers,
        lambda: servers.serve(app, outboxes, blocked_links),
        lambda: ended.post(ProcessEnd.FINISHED),
        ended,
    )


def control_times(cfg: ControllerSettings) -> ControlTimes:
    """Return the periods of the controller's tasks."""
    return ControlTimes(
        renewal_s=cfg.renewal_s,
        lease_term_s=cfg.lease_term_s,
        lease_margin_s=cfg.lease_margin_s,
        watch_interval_s=cfg.watch_interval_s,
        watch_timeout_s=cfg.watch_timeout_s,
        lost_after_s=cfg.lost_after_s,
        grant_life_s=cfg.grant_life_s,
        order_timeout_s=cfg.order_timeout_s,
    )


def _lease_keeper(
    cfg: ControllerSettings,
    identity: Identity,
    wiring: PeerWiring,
    allocator: Outbox[ShardViews],
) -> LeaseKeeper:
    times = control_times(cfg)
    parts = ControllerParts(
        cfg.node,
        identity.incarnation,
        ControllerConnections(wiring, cfg),
        allocator,
        load_chart('replica', REPLICA_WORDS),
        times,
        MonotonicClock(),
    )
    return LeaseKeeper(
        cfg.node,
        identity.incarnation,
        wiring.platform(),
        ShardThreads(parts, identity.rng('shards')),
        load_chart('shard_lease', LEASE_WORDS),
        times,
        MonotonicClock(),
    )

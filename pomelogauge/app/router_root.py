"""The composition root of a router."""

import math
from dataclasses import dataclass

from ..charts.reader import load_chart
from ..decide.known_replica import FleetSettings
from ..decide.queue import QueueLimits
from ..decide.request_chart import REQUEST_WORDS
from ..decide.routing import LeastLoaded
from ..decide.shutdown_chart import SHUTDOWN_WORDS
from ..decide.warmth_chart import WARMTH_WORDS
from ..engines.http_streams import HttpEngineStreams, StreamSettings
from ..model.ids import Address, NodeName
from ..model.topology import InstanceRole
from ..services.http_calls import CallSettings, HttpServiceCalls
from ..tasks.caller_task import CallerParts, CallerSettings
from ..tasks.caller_watch import CallerWatch
from ..tasks.canceller import Canceller, CancelRequest
from ..tasks.clock import MonotonicClock
from ..tasks.dispatcher import (
    Dispatcher,
    DispatcherMessage,
    DispatcherSettings,
)
from ..tasks.exchange import Exchange, ExchangeSettings
from ..tasks.exchange_set import ExchangeSet
from ..tasks.mailbox import Mailbox
from ..tasks.membership import MembershipMessage
from ..tasks.messages import ExchangeExpedited
from ..tasks.metrics import MetricsActor, MetricsMessage
from ..tasks.published import Published
from ..tasks.router_state import RouterState
from ..tasks.service_call_task import ServiceCallParts
from ..tasks.shutdown import (
    ProcessEnd,
    ShutdownActor,
    ShutdownPorts,
    ShutdownRequested,
    ShutdownTimes,
)
from ..tasks.shutdown_messages import RunningCount
from ..tasks.task import Task
from ..wire.blocked_links import BlockedLinks
from ..wire.callers_http import AppParts, AppSettings, CallersApp
from ..wire.callers_server import CallersServer, ServerSettings
from ..wire.peer_outboxes import PeerOutboxes
from .at_most_once_parts import AtMostOnceParts, wire_at_most_once
from .daemon import Daemon, Servers
from .deferred_outbox import DeferredOutbox
from .identity import Identity
from .metrics_reader import MetricsReader
from .peer_parts import PeerParts, PeerSubscribers, PeerWiring
from .settings import RouterSettings
from .task_set import TaskSet
from .tls_settings import callers_tls

#: Bodies up to this many times ``max_body_bytes`` are read and refused with
#: a JSON error; on a longer one the connection is closed.
BODY_READ_FACTOR = 4

#: Seconds to flush responses to callers, once nothing runs at targets.
LAST_BYTES_S = 2


@dataclass(frozen=True)
class RouterCore:
    """Tasks that only a router has.

    Parameters
    ----------
    dispatcher
        Assigns slots at replicas.
    published
        State that callers' tasks read.
    metrics
        Collects the metrics of requests.
    canceller
        Cancels requests at targets whose callers disconnected.
    watch
        Detects callers that disconnect.
    expedited_exchanges
        Outbox to the exchanges with controllers.

    """

    dispatcher: Task[DispatcherMessage]
    published: Published[RouterState]
    metrics: Task[MetricsMessage]
    canceller: Task[CancelRequest]
    watch: CallerWatch
    expedited_exchanges: DeferredOutbox[ExchangeExpedited]


@dataclass(frozen=True)
class ExchangeFactory:
    """Makes the exchange with one controller."""

    cfg: ExchangeSettings
    wiring: PeerWiring
    dispatcher: Task[DispatcherMessage]

    def __call__(self, controller: NodeName, address: Address) -> Exchange:
        """Return an actor with its own links."""
        return Exchange(
            self.cfg,
            controller,
            address,
            MonotonicClock(),
            self.wiring.links(),
            self.dispatcher,
        )


def wire_router(cfg: RouterSettings) -> Daemon:
    """Bind the ports and return a router whose tasks are not started.

    Raises
    ------
    UserError
        A port can't be bound, or a chart names something that the code
        does not define.

    """
    servers = Servers(cfg, InstanceRole.ROUTER, _callers(cfg), cfg.port)
    identity = servers.bind()
    tasks = TaskSet()
    blocked_links = BlockedLinks()
    wiring = PeerWiring(identity, tasks, blocked_links)
    core = _core(cfg, identity, tasks)
    exchanges = tasks.add('exchanges', _exchanges(cfg, wiring, core))
    core.expedited_exchanges.connect(exchanges)
    shared = wiring.wire(
        PeerSubscribers(
            peers=(exchanges,),
            instances=(core.dispatcher,),
            configurations=(core.dispatcher,),
            phases=(core.dispatcher,),
            confirmations=(core.dispatcher,),
        ),
    )
    ended: Mailbox[ProcessEnd] = Mailbox()
    shutdown = _shutdown(cfg, tasks, core, shared, ended)
    once = wire_at_most_once(identity, tasks, wiring)
    app = CallersApp(_app_parts(cfg, core, once, shared.membership))
    outboxes = PeerOutboxes(shared.membership, shared.keeper, shared.membership)
    return Daemon(
        identity,
        tasks,
        servers,
        lambda: servers.serve(app, outboxes, blocked_links),
        lambda: shutdown.post(ShutdownRequested('signal')),
        ended,
    )


def _callers(cfg: RouterSettings) -> CallersServer:
    return CallersServer(
        ServerSettings(
            threads=cfg.worker_threads,
            idle_timeout_s=math.ceil(cfg.header_timeout_s),
            header_limit_s=cfg.header_timeout_s,
            max_body_bytes=BODY_READ_FACTOR * cfg.max_body_bytes,
            stop_timeout_s=LAST_BYTES_S,
            tls=callers_tls(cfg),
        ),
    )


def _core(
    cfg: RouterSettings,
    identity: Identity,
    tasks: TaskSet,
) -> RouterCore:
    metrics = tasks.add('metrics', MetricsActor())
    published = Published(RouterState())
    expedited_exchanges: DeferredOutbox[ExchangeExpedited] = DeferredOutbox()
    actor = Dispatcher(
        DispatcherSettings(
            identity.report(),
            FleetSettings(),
            QueueLimits(max_waiting=cfg.queue_limit),
        ),
        MonotonicClock(),
        LeastLoaded(cfg.data_centre),
        load_chart('target_warmth', WARMTH_WORDS),
        published,
        expedited_exchanges,
    )
    dispatcher = tasks.add('dispatcher', actor)
    canceller = Canceller(
        HttpEngineStreams(StreamSettings(cfg.node), MonotonicClock())
    )
    watch = CallerWatch()
    tasks.include(watch)
    return RouterCore(
        dispatcher,
        published,
        metrics,
        tasks.add('canceller', canceller),
        watch,
        expedited_exchanges,
    )


def _exchanges(
    cfg: RouterSettings,
    wiring: PeerWiring,
    core: RouterCore,
) -> ExchangeSet:
    settings = ExchangeSettings(exchange_interval_s=cfg.exchange_interval_s)
    factory = ExchangeFactory(settings, wiring, core.dispatcher)
    return ExchangeSet(settings, factory)


def _app_parts(
    cfg: RouterSettings,
    core: RouterCore,
    once: AtMostOnceParts,
    membership: Task[MembershipMessage],
) -> AppParts:
    clock = MonotonicClock()
    models = CallerParts(
        CallerSettings(),
        clock,
        core.dispatcher,
        HttpEngineStreams(StreamSettings(cfg.node), clock),
        load_chart('caller_request', REQUEST_WORDS),
        core.canceller,
        core.metrics,
    )
    services = ServiceCallParts(
        clock,
        core.dispatcher,
        HttpServiceCalls(CallSettings(cfg.node), clock),
        once.ledger,
        once.minted,
        core.metrics,
    )
    return AppParts(
        AppSettings(max_body_bytes=cfg.max_body_bytes),
        core.published,
        models,
        services,
        membership,
        MetricsReader(core.metrics),
        core.watch,
    )


def _shutdown(
    cfg: RouterSettings,
    tasks: TaskSet,
    core: RouterCore,
    shared: PeerParts,
    ended: Mailbox[ProcessEnd],
) -> Task[ShutdownRequested | RunningCount]:
    actor = ShutdownActor(
        load_chart('router_shutdown', SHUTDOWN_WORDS),
        ShutdownTimes(cfg.entry_ttl_s, cfg.shutdown_limit_s),
        ShutdownPorts(
            shared.membership,
            core.dispatcher,
            core.dispatcher,
            ended,
        ),
        MonotonicClock(),
    )
    task = tasks.add('shutdown', actor)
    actor.listen_on(task)
    return task

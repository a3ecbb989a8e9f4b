"""The composition root of the entry daemon on the users' platform."""

import os
import signal
import threading
from random import Random

from ..charts.reader import load_chart
from ..decide.serving_rules import AdmissionBounds
from ..decide.shutdown_chart import SHUTDOWN_WORDS
from ..decide.startup_grace import StartupGrace
from ..entry.delta_server import DeltaServer
from ..entry.dispatch_messages import DispatchMessage
from ..entry.dispatcher import Dispatcher, DispatchSettings
from ..entry.fleet_publisher import FleetPublisher
from ..entry.group_ledger import GroupLedger
from ..entry.group_orders import GroupOrders
from ..entry.group_planner import GroupPlanner
from ..entry.instance_membership import (
    InstanceMembership,
    InstanceMembershipPorts,
)
from ..entry.messages import PartMessage
from ..entry.order_sender import OrderPermit, OrderSenderPool
from ..entry.owner import Owner, OwnerParts, OwnerSettings
from ..entry.owner_lease_keeper import OwnerLeaseKeeper
from ..entry.ownership import OwnerLease, OwnershipStatus
from ..entry.part_watch import PartWatch
from ..entry.quarantine_record import QuarantineRecord
from ..entry.request_ports import RequestPorts, load_request_chart
from ..entry.requests_in_progress import InProgressMessage, RequestsInProgress
from ..entry.stray_groups import StrayGroups
from ..model.fleet import EntryInstance, Fleet
from ..model.log_parts import Part
from ..platform.orders import OrderClient
from ..platform.settings import EntrySettings, read_settings
from ..platform.translator import RequestTranslator, RowTranslator
from ..tasks.clock import BootClock
from ..tasks.log import part_logger
from ..tasks.mailbox import Mailbox, Outbox
from ..tasks.metrics import MetricsActor, MetricsMessage
from ..tasks.published import Published
from ..tasks.shutdown import (
    ProcessEnd,
    ShutdownActor,
    ShutdownPorts,
    ShutdownRequested,
    ShutdownTimes,
)
from ..wire.entry_link import GrpcOwnerLink
from ..wire.entry_server import EntryServer
from .end_wait import await_end
from .entry_listeners import EntryListeners
from .entry_reads import wire_reads
from .entry_reload import check_settings
from .entry_settings import EntryOptions
from .entry_shared import EntryShared
from .entry_shutdown import ShutdownNotifier
from .incarnation import draw_incarnation
from .logs import set_up_entry_logs
from .task_set import TaskSet

#: Seconds subtracted from the time in which a revoked key must stop working:
#: the longest time from reading a request to its arrival at a target.
KEY_MARGIN_S = 0.7
#: Stack size of a thread; calls in the tasks nest only a few levels deep.
_STACK_BYTES = 512 * 1024

_log = part_logger(Part.ENTRY)


def run_entry(options: EntryOptions) -> None:
    """Run an entry instance until it is asked to end.

    Raises
    ------
    UserError
        It could not start.

    """
    threading.stack_size(_STACK_BYTES)
    cfg = read_settings(options.settings)
    writer = set_up_entry_logs(cfg.node, options.log_level)
    shared = EntryShared(
        cfg=cfg,
        options=options,
        own=EntryInstance(
            cfg.node,
            cfg.callers,
            cfg.data_centre,
            peers=cfg.peers,
            cores=cfg.cores,
        ),
        incarnation=f'{cfg.node} {draw_incarnation()}',
        published_fleet=Published(Fleet()),
        ownership=Published(OwnershipStatus()),
        leaving=Published(False),
        rows=RowTranslator(),
        clock=BootClock(),
        tasks=TaskSet(),
    )
    ended: Mailbox[ProcessEnd] = Mailbox()
    _wire(shared, ended)
    _log.info(
        'start', extra={'life': shared.incarnation, 'first': cfg.is_first_start}
    )
    shared.tasks.start()
    end = await_end(ended)
    _log.info('end: %s', end)
    writer.close()
    # Connection tasks are not stopped; they end with the process.
    os._exit(0)


def _wire(shared: EntryShared, ended: Mailbox[ProcessEnd]) -> None:
    tasks = shared.tasks
    metrics = tasks.add('metrics', MetricsActor())
    quarantine, owner = _owner(shared)
    owner_task = tasks.add('owner', owner)
    owner.listen_on(owner_task)
    fleet_publisher = tasks.add(
        'knowledge',
        FleetPublisher(
            shared.rows, shared.published_fleet, (owner_task,), shared.clock
        ),
    )
    register = InstanceMembership(
        shared.own,
        InstanceMembershipPorts(
            GrpcOwnerLink(),
            shared.ownership,
            owner_task,
            (fleet_publisher, owner_task),
            shared.published_fleet,
        ),
        shared.clock,
    )
    membership = tasks.add('register', register)
    delta_server = tasks.add('feed relay', DeltaServer(shared.clock))
    tasks.include(EntryServer(shared.cfg.peers, membership, delta_server))
    dispatcher = Dispatcher(
        _dispatch_settings(shared.cfg),
        shared.published_fleet,
        membership,
        shared.clock,
        Random(),
    )
    dispatch_task = tasks.add('dispatcher', dispatcher)
    suspect_listeners = delta_server, dispatch_task
    register.share_suspects_with(*suspect_listeners)
    register.share_limits_with(dispatch_task)
    part_watch = tasks.add('part watch', PartWatch(membership, shared.clock))
    register.share_verdicts_with(fleet_publisher, part_watch, owner_task)
    quarantine.restore_to(membership)
    wire_reads(shared, (fleet_publisher, delta_server), suspect_listeners)
    in_progress = tasks.add('requests in progress', RequestsInProgress())
    shutdown = ShutdownActor(
        load_chart('router_shutdown', SHUTDOWN_WORDS),
        ShutdownTimes(
            shared.options.answer_life_s,
            shared.cfg.bounds.grace_s - shared.options.shutdown_margin_s,
        ),
        ShutdownPorts(
            ShutdownNotifier(shared.leaving, membership),
            in_progress,
            in_progress,
            ended,
        ),
        shared.clock,
    )
    shutdown_task = tasks.add('shutdown', shutdown)
    shutdown.listen_on(shutdown_task)
    ports = _request_ports(
        shared, dispatch_task, in_progress, metrics, part_watch
    )
    pages = EntryListeners(
        cfg=shared.cfg,
        own=shared.own,
        metrics_port=shared.options.metrics_port,
        ports=ports,
    )
    for listener in pages.listeners():
        tasks.include(listener)
    signal.signal(
        signal.SIGTERM,
        lambda number, frame: shutdown_task.post(ShutdownRequested('signal')),
    )
    signal.signal(
        signal.SIGHUP,
        lambda number, frame: check_settings(
            shared.options.settings, shared.cfg
        ),
    )


def _owner(shared: EntryShared) -> tuple[QuarantineRecord, Owner]:
    store = shared.store()
    own = OwnerLease(shared.incarnation, address=shared.cfg.peers)
    keeper = OwnerLeaseKeeper(
        own, store, shared.rows, shared.clock, shared.own.cores
    )
    cfg = shared.cfg
    permit = OrderPermit(shared.ownership, shared.clock)
    client = OrderClient(shared.clock)
    orders = GroupOrders(OrderSenderPool(client, permit))
    startup_grace = StartupGrace(cfg.is_first_start, shared.clock.now_s())
    quarantine = QuarantineRecord(store, shared.rows, keeper)
    owner = Owner(
        OwnerSettings(cfg.bounds.stall_s),
        OwnerParts(
            shared.published_fleet,
            shared.ownership,
            keeper,
            GroupLedger(store, shared.rows, keeper),
            quarantine,
            orders,
            GroupPlanner(orders, startup_grace),
            StrayGroups(orders),
            shared.clock,
        ),
    )
    return quarantine, owner


def _request_ports(
    shared: EntryShared,
    dispatcher: Outbox[DispatchMessage],
    in_progress: Outbox[InProgressMessage],
    metrics: Outbox[MetricsMessage],
    parts: Outbox[PartMessage],
) -> RequestPorts:
    key_age_s = shared.cfg.bounds.revoke_s - KEY_MARGIN_S
    return RequestPorts(
        chart=load_request_chart(),
        codec=RequestTranslator(),
        published_fleet=shared.published_fleet,
        leaving=shared.leaving,
        dispatcher=dispatcher,
        in_progress=in_progress,
        metrics=metrics,
        parts=parts,
        bounds=AdmissionBounds(key_age_s),
        clock=shared.clock,
    )


def _dispatch_settings(cfg: EntrySettings) -> DispatchSettings:
    return DispatchSettings(
        own=cfg.node,
        data_centre=cfg.data_centre,
        retry_share=cfg.bounds.retry_share,
        retry_slack=cfg.bounds.retry_slack,
        retry_window_s=cfg.bounds.retry_window_s,
    )

"""The task that forms, watches and repairs the replicas of one shard."""

import logging
from dataclasses import dataclass, replace
from random import Random

from returns.result import Failure

from ..decide.formation import (
    Formation,
    find_deployment,
    plan_formation,
)
from ..decide.replica_chart import ReplicaAction, ReplicaChart, ReplicaEvent
from ..decide.replica_view import view_of
from ..decide.shard_knowledge import ShardKnowledge, build_replica
from ..model.ids import ReplicaId
from ..model.placement import Lease, Member, ReplicaState
from ..model.times import ControlTimes
from ..model.topology import Instance, InstanceRole
from ..tables.protocols import TableService
from .clock import Clock
from .control_messages import (
    EngineObserved,
    EngineWatchStarter,
    LeaseHeld,
    LeasePaused,
    OrderEnded,
    OwnerAddress,
    ShardMessage,
    WatchReport,
)
from .engine_watches import EngineWatches
from .mailbox import Outbox
from .messages import (
    ConfigurationInForce,
    InstancesListed,
    ReplicasSuspected,
    ShardViews,
)
from .replica_machines import ReplicaMachines
from .replica_orders import ReplicaOrders
from .replica_rows import ReplicaRows
from .transactions import TransactionNames

_log = logging.getLogger(__name__)


@dataclass(frozen=True)
class ShardOwnerPorts:
    """Connections and tasks that one owner of a shard uses.

    Parameters
    ----------
    tables
        Connection to the tables; used by this task only.
    watches
        Starts the tasks that watch engines.
    allocator
        Gets the views of the replicas.

    """

    tables: TableService
    watches: EngineWatchStarter
    allocator: Outbox[ShardViews]


@dataclass(frozen=True)
class _Due:
    """Monotonic times of the next plan and scan, and of the lease's end."""

    plan_s: float = float('-inf')
    scan_s: float = float('-inf')
    held_until_s: float = float('-inf')


class ShardOwner:  # noqa: WPS214 (one short method a message and an action)
    """Forms, watches and repairs the replicas of one shard.

    Writes rows and sends orders only while the lease is held.

    Parameters
    ----------
    lease
        The lease as taken.
    names
        Names for its transactions.
    ports
        Connections and other tasks.
    chart
        State chart ``replica``.
    times
        Intervals and time-outs.
    clock
        Monotonic clock of this process.
    rng
        Source of the jitter and of unique identifiers of replicas.

    """

    def __init__(
        self,
        lease: Lease,
        names: TransactionNames,
        ports: ShardOwnerPorts,
        chart: ReplicaChart,
        times: ControlTimes,
        clock: Clock,
        rng: Random,
    ) -> None:
        """Start without replicas, rows and observations."""
        self._lease = lease
        self._ports = ports
        self._times = times
        self._clock = clock
        self._rng = rng
        self._rows = ReplicaRows(ports.tables, names)
        self._watches = EngineWatches(ports.watches, times)
        self._orders = ReplicaOrders(self._watches)
        self._replicas = ReplicaMachines(
            chart, self._watches.observations, times, clock
        )
        self._address: Outbox[WatchReport | ReplicasSuspected] | None = None
        self._known = ShardKnowledge(lease.shard)
        self._due = _Due()
        self._is_current = False

    def on_start(self) -> None:
        """Do nothing; the first scan follows the message ``LeaseHeld``."""

    def on_message(self, message: ShardMessage) -> None:
        """Update the lease, the configuration, the instances or an engine."""
        match message:
            case EngineObserved():
                self._watches.record_poll(message)
            case OrderEnded():
                self._handle_order_ended(message)
            case ReplicasSuspected():
                self._suspect(message)
            case LeaseHeld():
                self._lease = message.lease
                until_s = message.held_until_s
                self._due = replace(self._due, held_until_s=until_s)
            case LeasePaused():
                self._due = replace(self._due, held_until_s=float('-inf'))
            case ConfigurationInForce():
                configuration = message.configuration
                self._known = replace(self._known, configuration=configuration)
            case InstancesListed():
                self._known = self._known.with_instances(message.instances)
            case OwnerAddress():
                self._address = message.outbox

    def on_timer(self) -> float | None:
        """Check the replicas each time, and plan once per watch interval."""
        before = self._replicas.replicas()
        for replica in before:
            self._check(replica.replica)
        now_s = self._clock.now_s()
        if now_s >= self._due.plan_s:
            due_s = now_s + self._times.watch_interval_s
            self._due = replace(self._due, plan_s=due_s)
            self._plan()
            self._publish_views()
        elif self._replicas.replicas() != before:
            self._publish_views()
        return max(self._due.plan_s - self._clock.now_s(), 0)

    def on_stop(self) -> None:
        """Stop the watches and withdraw the views of this shard."""
        self._watches.stop()
        self._replicas.clear()
        lease = self._lease
        withdrawn = ShardViews(lease.shard, lease.epoch, held=False, views=())
        self._ports.allocator.post(withdrawn)

    def _is_held(self) -> bool:
        return self._clock.now_s() < self._due.held_until_s

    def _may_write(self) -> bool:
        return self._is_current and self._is_held()

    def _plan(self) -> None:
        self._scan()
        replicas = self._replicas.replicas()
        self._replicas.unwanted = self._known.unwanted(replicas)
        self._watch()
        self._write_states()
        self._form()

    def _scan(self) -> None:
        now_s = self._clock.now_s()
        if now_s < self._due.scan_s or not self._is_held():
            return
        # Jitter spreads the reads of the owners of many shards.
        wait_s = self._times.scan_interval_s * self._rng.uniform(0.8, 1.2)
        self._due = replace(self._due, scan_s=now_s + wait_s)
        cached = self._known.scan if self._is_current else None
        scan = self._rows.scan(cached)
        if scan is None:
            return
        self._is_current = True
        self._known = self._known.with_scan(scan, now_s)
        self._sync_replicas()

    def _sync_replicas(self) -> None:
        """Synchronise the replicas with the rows of this shard."""
        scan = self._known.scan
        if scan is None:
            return
        adopted = [
            row for row in scan.replicas if row.shard == self._lease.shard
        ]
        # A missing row may come from a release whose answer was lost.
        self._replicas.retain({row.replica for row in adopted})
        own = {replica.replica for replica in self._replicas.replicas()}
        for row in adopted:
            if row.replica in own:
                self._replicas.update_row_version(row)
            else:
                self._replicas.add(row, formed=False)

    def _write_states(self) -> None:
        """Write to the rows which replicas serve, for the other shards."""
        scan = self._known.scan
        if scan is None or not self._may_write():
            return
        written = {row.replica: row.state for row in scan.replicas}
        for replica in self._replicas.replicas():
            is_serving = replica.state is ReplicaState.SERVING
            if is_serving and written.get(replica.replica) != replica.state:
                self._rows.write_state(self._lease, replica)
                # Scan for the new version of the row; the memberships read
                # before are still valid.
                self._due = replace(self._due, scan_s=float('-inf'))

    def _invalidate_rows(self) -> None:
        """Scan all rows again before the next write."""
        self._is_current = False
        self._due = replace(self._due, scan_s=float('-inf'))

    def _watch(self) -> None:
        if self._address is None:
            return
        # The instance list may lag, so that members of replicas are watched
        # even if it doesn't name them.
        members = [
            _instance(member)
            for replica in self._replicas.replicas()
            for member in replica.members
        ]
        self._watches.adjust((*members, *self._known.engines), self._address)

    def _check(self, name: ReplicaId) -> None:
        # A scan during the check of another replica may have dropped this one.
        event = self._replicas.check(name) if self._replicas.has(name) else None
        if event is not None:
            self._step(name, event)

    def _step(self, name: ReplicaId, event: ReplicaEvent) -> None:
        action = self._replicas.step(name, event, held=self._is_held())
        match action:
            case ReplicaAction.ORDER_MEMBERS:
                self._order(name)
            case ReplicaAction.RELEASE:
                self._release(name)

    def _order(self, name: ReplicaId) -> None:
        replica = self._replicas.replica(name)
        configuration = self._known.configuration
        if configuration is None or not self._is_held():
            return
        deployment = find_deployment(replica.deployment, configuration)
        if deployment is None or self._orders.is_loading(name):
            return
        self._orders.load(replica, deployment, self._send_before_s())

    def _send_before_s(self) -> float:
        """Return the time from which an order queued now must not be sent."""
        timeout_at_s = self._clock.now_s() + self._times.order_timeout_s
        return min(timeout_at_s, self._due.held_until_s)

    def _handle_order_ended(self, ended: OrderEnded) -> None:
        self._watches.note_order_ended(ended.instance)
        event = self._orders.record_outcome(ended)
        if event is not None and self._replicas.has(ended.replica):
            self._step(ended.replica, event)

    def _suspect(self, suspected: ReplicasSuspected) -> None:
        now_s = self._clock.now_s()
        for replica in self._replicas.replicas():
            if replica.replica in suspected.replicas:
                for member in replica.members:
                    self._watches.suspect(member.instance, now_s)

    def _release(self, name: ReplicaId) -> None:
        """Delete the rows of a replica; if that fails, a later check retries."""
        self._scan()
        scan = self._known.scan
        if scan is None or not self._replicas.has(name):
            return
        is_possible = self._may_write()
        self._replicas.note_release(name, tried=is_possible)
        if not is_possible:
            return
        replica = self._replicas.replica(name)
        outcome = self._rows.release(self._lease, replica, scan)
        self._orders.discard(name)
        self._invalidate_rows()
        if isinstance(outcome, Failure):
            _log.warning(
                'replicas: release of %s failed: %s', name, outcome.failure()
            )
            return
        remaining = {row.replica for row in self._replicas.replicas()}
        self._replicas.retain(remaining - {name})
        if name in self._replicas.unwanted:
            self._orders.unload(replica, self._send_before_s())
        # The freed engines may form a new replica at once.
        self._due = replace(self._due, plan_s=float('-inf'))

    def _form(self) -> None:
        snapshot = self._known.formation_snapshot(
            self._watches.observations, self._clock.now_s(), self._times
        )
        if snapshot is None or not self._may_write():
            return
        plan = plan_formation(snapshot)
        if plan is not None:
            self._claim(plan)

    def _claim(self, plan: Formation) -> None:
        scan = self._known.scan
        if scan is None:
            return
        nonce = f'{self._rng.getrandbits(_NONCE_BITS):016x}'
        observations = self._watches.observations
        planned = build_replica(plan, self._known, observations, nonce)
        outcome = self._rows.claim(self._lease, planned, scan)
        self._invalidate_rows()
        if isinstance(outcome, Failure):
            # Another shard was first, or the outcome is indeterminate. The
            # next scan shows which; a claim that took effect is adopted.
            _log.info(
                'replicas: claim of %s failed: %s',
                planned.replica,
                outcome.failure(),
            )
            return
        self._replicas.add(outcome.unwrap(), formed=True)
        self._step(planned.replica, ReplicaEvent.ORDERS_DUE)

    def _publish_views(self) -> None:
        now_s = self._clock.now_s()
        observations = self._watches.observations
        views = ShardViews(
            self._lease.shard,
            self._lease.epoch,
            self._is_held(),
            tuple(
                view_of(replica, observations, now_s)
                for replica in self._replicas.replicas()
            ),
            self._replicas.formed(),
            self._due.held_until_s,
            now_s,
            self._address,
        )
        self._ports.allocator.post(views)


#: Random bits in the identifier of a replica, which make it unique.
_NONCE_BITS = 64


def _instance(member: Member) -> Instance:
    return Instance(
        member.instance,
        InstanceRole.ENGINE,
        member.address,
        member.data_centre,
        member.domain,
    )

"""The task that forms, watches and repairs the replicas of one shard."""

import logging
from dataclasses import dataclass, field, replace
from random import Random

from returns.result import Failure

from ..decide.formation import (
    Formation,
    ShardPicture,
    find_deployment,
    is_wanted,
    lacking,
    next_epoch,
    plan_formation,
    replica_id,
)
from ..decide.leases import shard_of
from ..decide.replica_chart import (
    ReplicaAction,
    ReplicaChart,
    ReplicaEvent,
    ReplicaFacts,
)
from ..decide.replica_check import ReplicaCase, assess, is_drained
from ..decide.replica_view import view_of
from ..decide.sightings import usable_status
from ..engines.protocols import EngineControl
from ..model.ids import DataCentreName, DeploymentName, ReplicaId
from ..model.manifest import Configuration
from ..model.placement import Lease, Member, Replica, ReplicaState
from ..model.times import ControlTimes
from ..model.topology import Instance, InstanceRole
from ..platform.protocols import TableService
from .clock import Clock
from .control_messages import (
    EngineSeen,
    LeaseHeld,
    LeasePaused,
    OwnerAddress,
    ShardMessage,
    WatchTasks,
)
from .engine_watches import EngineWatches
from .mailbox import Outbox
from .messages import ConfigurationInForce, InstancesListed, ShardViews
from .replica_orders import ReplicaOrders
from .replica_rows import ReplicaRows, ReplicaScan
from .settle import TransactionNames

_log = logging.getLogger(__name__)


@dataclass(frozen=True)
class OwnerLinks:
    """What one owner of a shard alone touches, and whom it tells.

    Parameters
    ----------
    tables
        Connection to the platform.
    control
        Connections to engines, with the deadline of an order.
    watches
        Starts watches of engines.
    desk
        Takes the views.

    """

    tables: TableService
    control: EngineControl
    watches: WatchTasks
    desk: Outbox[ShardViews]


@dataclass(frozen=True)
class _Known:
    """What messages and scans have told the owner."""

    configuration: Configuration | None = None
    listed: tuple[Instance, ...] = ()
    scan: ReplicaScan | None = None
    lacking_since_s: dict[DeploymentName, float] = field(default_factory=dict)


@dataclass(frozen=True)
class _Machine:
    """One replica's chart machine."""

    replica: Replica
    since_s: float
    release_tried: bool = False


@dataclass(frozen=True)
class _Due:
    """Next times by the own clock."""

    work_s: float = float('-inf')
    scan_s: float = float('-inf')
    held_until_s: float = float('-inf')


class ShardOwner:  # noqa: WPS214 (one short method an action of the chart)
    """Owns the replicas of one shard while its lease is held.

    Parameters
    ----------
    lease
        The lease as taken.
    names
        Names of its transactions.
    links
        Connections and neighbours.
    chart
        The replica chart.
    times
        Periods.
    clock
        Own clock.
    rng
        Makes identifiers of replicas unique.

    """

    def __init__(
        self,
        lease: Lease,
        names: TransactionNames,
        links: OwnerLinks,
        chart: ReplicaChart,
        times: ControlTimes,
        clock: Clock,
        rng: Random,
    ) -> None:
        """Start without knowledge of rows and engines."""
        self._lease = lease
        self._rows = ReplicaRows(links.tables, names)
        self._orders = ReplicaOrders(links.control, self._is_held)
        self._watches = EngineWatches(links.watches)
        self._desk = links.desk
        self._chart = chart
        self._times = times
        self._clock = clock
        self._rng = rng
        self._address: Outbox[EngineSeen] | None = None
        self._known = _Known()
        self._due = _Due()
        self._unwanted: frozenset[ReplicaId] = frozenset()
        self._machines: dict[ReplicaId, _Machine] = {}

    def on_start(self) -> None:
        """Do nothing; the first scan is due once the lease is known."""

    def on_message(self, message: ShardMessage) -> None:
        """Take news of the lease, the configuration and the engines."""
        match message:
            case EngineSeen():
                self._watches.take(message)
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
                self._list(message.instances)
            case OwnerAddress():
                self._address = message.outbox

    def on_timer(self) -> float | None:
        """Check the replicas at once, and plan once an interval."""
        changed = [self._check(replica) for replica in tuple(self._machines)]
        now_s = self._clock.now_s()
        if now_s >= self._due.work_s:
            due_s = now_s + self._times.watch_interval_s
            self._due = replace(self._due, work_s=due_s)
            self._scan()
            self._judge()
            self._watch()
            self._form()
            self._report()
        elif any(changed):
            self._report()
        return max(self._due.work_s - self._clock.now_s(), 0)

    def on_stop(self) -> None:
        """End the watches and withdraw the views."""
        self._watches.stop()
        self._machines.clear()
        gone = ShardViews(self._lease.shard, self._lease.epoch, False, ())
        self._desk.post(gone)

    def _is_held(self) -> bool:
        return self._clock.now_s() < self._due.held_until_s

    def _list(self, instances: tuple[Instance, ...]) -> None:
        listed = tuple(
            instance
            for instance in instances
            if instance.role == InstanceRole.ENGINE
            and shard_of(instance) == self._lease.shard
        )
        self._known = replace(self._known, listed=listed)

    def _scan(self) -> None:
        now_s = self._clock.now_s()
        if now_s < self._due.scan_s or not self._is_held():
            return
        # Jitter keeps the owners of many shards from reading at once.
        wait_s = self._times.scan_interval_s * self._rng.uniform(0.8, 1.2)
        self._due = replace(self._due, scan_s=now_s + wait_s)
        scan = self._rows.scan(self._known.scan)
        if scan is None:
            return
        self._known = replace(self._known, scan=scan)
        self._adopt(scan)
        self._note_lacking(now_s)

    def _adopt(self, scan: ReplicaScan) -> None:
        """Take over the shard's replicas that the rows name."""
        now_s = self._clock.now_s()
        for found in scan.replicas:
            is_new = found.replica not in self._machines
            if is_new and found.shard == self._lease.shard:
                claimed = replace(found, state=ReplicaState.CLAIMED)
                self._machines[found.replica] = _Machine(claimed, now_s)
        # A release whose answer was lost shows up as a missing row.
        named = {row.replica for row in scan.replicas}
        for gone in self._machines.keys() - named:
            self._step(gone, ReplicaEvent.RELEASED)
            self._machines.pop(gone)

    def _forget_rows(self) -> None:
        """Read all rows again before the next decision."""
        self._known = replace(self._known, scan=None)
        self._due = replace(self._due, scan_s=float('-inf'))

    def _watch(self) -> None:
        if self._address is None:
            return
        # The list lags; members of replicas are watched in any case.
        members = [
            _member_instance(member)
            for machine in self._machines.values()
            for member in machine.replica.members
        ]
        self._watches.adjust((*members, *self._known.listed), self._address)

    def _check(self, name: ReplicaId) -> bool:
        """Step one replica; return whether its state has changed."""
        machine = self._machines[name]
        case = self._case(machine)
        event = assess(case, self._times)
        if event is None:
            return False
        self._step(name, event)
        after = self._machines.get(name)
        return after is None or after.replica.state != machine.replica.state

    def _case(self, machine: _Machine) -> ReplicaCase:
        return ReplicaCase(
            machine.replica,
            machine.since_s,
            machine.replica.replica not in self._unwanted,
            self._watches.sightings,
            self._clock.now_s(),
        )

    def _judge(self) -> None:
        """Find the replicas that nobody asks for any more."""
        leaving = {
            instance.name for instance in self._known.listed if instance.leaving
        }
        picture = self._picture()
        if picture is None:
            return
        self._unwanted = frozenset(
            name
            for name, machine in self._machines.items()
            if not is_wanted(machine.replica, picture)
            or any(at.instance in leaving for at in machine.replica.members)
        )

    def _step(self, name: ReplicaId, event: ReplicaEvent) -> None:
        machine = self._machines[name]
        facts = ReplicaFacts(
            is_drained(self._case(machine), self._times),
            self._is_held(),
            machine.release_tried,
        )
        before = machine.replica.state
        move = self._chart.step(before, event, facts)
        if move.state != before:
            _log.info('replicas: %s is %s: %s', name, move.state, event)
            self._machines[name] = replace(
                machine,
                replica=replace(machine.replica, state=move.state),
                since_s=self._clock.now_s(),
            )
        match move.action:
            case ReplicaAction.ORDER_MEMBERS:
                self._order(name)
            case ReplicaAction.RELEASE:
                self._release(name)

    def _order(self, name: ReplicaId) -> None:
        replica = self._machines[name].replica
        configuration = self._known.configuration
        if configuration is None or not self._is_held():
            return
        deployment = find_deployment(replica.deployment, configuration)
        if deployment is None:
            return
        event = ReplicaEvent.ORDER_REFUSED
        if self._orders.load(replica, deployment):
            event = ReplicaEvent.ORDERS_ACCEPTED
        self._step(name, event)

    def _release(self, name: ReplicaId) -> None:
        """Free the rows; while the lease is not held, try again later."""
        machine = self._machines[name]
        self._machines[name] = replace(machine, since_s=self._clock.now_s())
        scan = self._known.scan
        if scan is None or not self._is_held():
            return
        self._machines[name] = replace(self._machines[name], release_tried=True)
        outcome = self._rows.release(self._lease, machine.replica, scan)
        self._forget_rows()
        if isinstance(outcome, Failure):
            _log.warning(
                'replicas: %s is not released: %s', name, outcome.failure()
            )
            return
        self._step(name, ReplicaEvent.RELEASED)
        self._machines.pop(name)
        if name in self._unwanted:
            self._orders.unload(machine.replica)

    def _picture(self) -> ShardPicture | None:
        known = self._known
        if known.configuration is None or known.scan is None:
            return None
        waited_from_s = self._clock.now_s() - self._times.spread_wait_s
        return ShardPicture(
            DataCentreName(self._lease.shard.partition('/')[0]),
            known.configuration,
            known.scan.replicas,
            self._free(known.scan),
            frozenset(
                name
                for name, since_s in known.lacking_since_s.items()
                if since_s <= waited_from_s
            ),
        )

    def _free(self, scan: ReplicaScan) -> tuple[Instance, ...]:
        sightings = self._watches.sightings
        return tuple(
            instance
            for instance in self._known.listed
            if not instance.leaving
            and scan.is_free(instance.name)
            and usable_status(instance.name, sightings.get(instance.name))
        )

    def _note_lacking(self, now_s: float) -> None:
        picture = self._picture()
        if picture is None:
            return
        since_s = {
            name: self._known.lacking_since_s.get(name, now_s)
            for name in lacking(picture)
        }
        self._known = replace(self._known, lacking_since_s=since_s)

    def _form(self) -> None:
        picture = self._picture()
        if picture is None or not self._is_held():
            return
        plan = plan_formation(picture)
        if plan is not None:
            self._claim(plan)

    def _claim(self, plan: Formation) -> None:
        scan = self._known.scan or ReplicaScan()
        wanted = self._replica(plan, scan)
        outcome = self._rows.claim(self._lease, wanted, scan)
        self._forget_rows()
        if isinstance(outcome, Failure):
            # Another shard was first, or the answer is unsettled; the next
            # scan tells, and a claim that took effect is adopted.
            _log.info('replicas: no claim of %s', wanted.replica)
            return
        now_s = self._clock.now_s()
        self._machines[wanted.replica] = _Machine(outcome.unwrap(), now_s)
        self._step(wanted.replica, ReplicaEvent.ORDERS_DUE)

    def _replica(self, plan: Formation, scan: ReplicaScan) -> Replica:
        nonce = f'{self._rng.getrandbits(_NONCE_BITS):016x}'
        members = tuple(
            Member(
                instance.name,
                instance.address,
                instance.data_centre,
                instance.domain,
                rank,
            )
            for rank, instance in enumerate(plan.instances)
        )
        sightings = self._watches.sightings
        reports = [sightings[member.instance].status for member in members]
        return Replica(
            replica_id(plan.slot, nonce),
            plan.deployment.name,
            next_epoch(
                *(scan.membership(at.instance).epoch for at in members),
                *(report.epoch for report in reports if report),
            ),
            self._lease.shard,
            members,
        )

    def _report(self) -> None:
        now_s = self._clock.now_s()
        views = tuple(
            view_of(machine.replica, self._watches.sightings, now_s)
            for machine in self._machines.values()
        )
        lease = self._lease
        self._desk.post(
            ShardViews(lease.shard, lease.epoch, self._is_held(), views)
        )


#: Bits that make an identifier unique.
_NONCE_BITS = 64


def _member_instance(member: Member) -> Instance:
    return Instance(
        member.instance,
        InstanceRole.ENGINE,
        member.address,
        member.data_centre,
        member.domain,
    )

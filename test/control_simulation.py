"""Simulation of controllers, engines and the platform with random faults.

Time is simulated, and the faults are drawn from a seeded generator.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace
from random import Random
from typing import Any

from returns.result import Failure, Result, Success

from pomelogauge.charts.reader import load_chart
from pomelogauge.decide.lease_chart import LEASE_WORDS
from pomelogauge.decide.replica_chart import REPLICA_WORDS
from pomelogauge.decide.shard_candidacy import CANDIDATES_PER_SHARD
from pomelogauge.engines.protocols import (
    EngineError,
    EngineFault,
    LoadOrder,
    UnloadOrder,
)
from pomelogauge.lab.checkers_control import (
    Event,
    GroupServed,
    LeaseBelieved,
    LeaseDropped,
    LeaseTaken,
    OrderTaken,
    RowsWritten,
)
from pomelogauge.model.ids import (
    Address,
    ConfigVersion,
    DataCentreName,
    DeploymentName,
    DomainName,
    Epoch,
    Incarnation,
    InstanceName,
    ModelName,
    NodeName,
    ReplicaId,
    ShardName,
)
from pomelogauge.model.manifest import Configuration, Deployment, Manifest
from pomelogauge.model.placement import EngineState, EngineStatus, Lease
from pomelogauge.model.times import ControlTimes
from pomelogauge.model.topology import Instance, InstanceRole
from pomelogauge.standins.memory_platform import MemoryPlatform
from pomelogauge.tables.protocols import (
    Committed,
    PlatformError,
    PlatformFault,
    Row,
    RowKey,
    Transaction,
)
from pomelogauge.tasks.control_messages import (
    LeaseHeld,
    LeasePaused,
    OwnerAddress,
)
from pomelogauge.tasks.engine_watch import EngineLinks, EngineWatch
from pomelogauge.tasks.lease_keeper import LeaseKeeper
from pomelogauge.tasks.messages import (
    ConfigurationInForce,
    InstancesListed,
    ShardViews,
)
from pomelogauge.tasks.shard_owner import ShardOwner, ShardOwnerPorts
from pomelogauge.tasks.transactions import TransactionNames
from pomelogauge.wire.rows import (
    LEASES,
    MEMBERS,
    REPLICAS,
    decode_lease,
    decode_membership,
    decode_replica,
)

LEASE_CHART = load_chart('shard_lease', LEASE_WORDS)
REPLICA_CHART = load_chart('replica', REPLICA_WORDS)
#: One more than the candidates for a shard, so that one is no candidate.
CONTROLLERS = CANDIDATES_PER_SHARD + 1
STEP_S = 0.125
#: Time in which an engine loads a model.
LOAD_S = 1.0
#: Seconds within which the owner must notice that a member has changed.
NOTICE_S = 2.5
#: Longest delay in seconds of an order to an engine that checks fencing
#: numbers, which protect it from orders of any age.
LATE_ORDER_S = 20.0
#: Largest deviation of the rate of a controller's clock.
CLOCK_DRIFT = 0.01
DOWN = PlatformError(PlatformFault.UNAVAILABLE, 'down')
LOST = PlatformError(PlatformFault.INDETERMINATE, 'lost')
DATA_CENTRE = DataCentreName('a')


@dataclass(frozen=True)
class SimulationSettings:
    """What is simulated, and which safety mechanisms are turned off."""

    seed: int
    checks_fence: bool = True
    lease_condition: bool = True
    #: Longest delay in seconds of an order to an engine that ignores fencing
    #: numbers.
    order_life_s: float = 1.0
    #: Share of the writes that may take effect after their call has failed.
    late_writes: float = 0.03
    times: ControlTimes = field(default_factory=ControlTimes)


@dataclass
class DriftingClock:
    """Clock of one process; its rate differs slightly from simulated time."""

    simulation: 'ControlSimulation'
    rate: float

    def now_s(self) -> float:
        return self.simulation.now_s * self.rate


class SimEngine:
    """Engine that can pause, keeping its state, or crash, losing it."""

    def __init__(self, instance: Instance, checks_fence: bool) -> None:
        self.instance = instance
        self.checks_fence = checks_fence
        self.paused_until_s = 0.0
        self.down_until_s = 0.0
        self.changed_s = 0.0
        self.ready_s = 0.0
        self.crashes = 0
        self.status = EngineStatus(
            instance.name, Incarnation('0'), EngineState.EMPTY
        )

    def crash(self, now_s: float, down_s: float) -> None:
        self.crashes += 1
        incarnation = Incarnation(f'{self.crashes}')
        self.status = EngineStatus(
            self.instance.name, incarnation, EngineState.EMPTY
        )
        self.down_until_s = now_s + down_s
        self.changed_s = now_s

    def answers(self, now_s: float) -> bool:
        return now_s >= max(self.paused_until_s, self.down_until_s)

    def tick(self, now_s: float) -> None:
        loading = self.status.state is EngineState.LOADING
        if loading and now_s >= self.ready_s and self.answers(now_s):
            self.status = replace(self.status, state=EngineState.READY)

    def take(
        self, order: LoadOrder | UnloadOrder, now_s: float
    ) -> EngineError | None:
        epoch = _epoch(order)
        if self.checks_fence and epoch < self.status.epoch:
            return EngineError(EngineFault.STALE_EPOCH, 'old')
        if isinstance(order, UnloadOrder):
            self._unload(order)
        elif (self.status.replica, self.status.epoch) != _name(order):
            self.changed_s = now_s
            self.ready_s = now_s + LOAD_S
            self.status = replace(
                self.status,
                state=EngineState.LOADING,
                replica=order.replica.replica,
                epoch=epoch,
                rank=order.rank,
            )
        return None

    def _unload(self, order: UnloadOrder) -> None:
        if self.status.replica == order.replica:
            self.status = replace(
                self.status, state=EngineState.EMPTY, replica=ReplicaId('')
            )


class SimTables:
    """One controller's connection to the tables.

    Under faults a write may take effect late, and an answer may be lost.
    """

    def __init__(
        self, process: 'SimProcess', lease: Lease | None = None
    ) -> None:
        self.process = process
        self.simulation = process.simulation
        self.lease = lease

    def read(self, key: RowKey) -> Result[Row | None, PlatformError]:
        return self.simulation.platform.read(key)

    def scan(
        self, table: str, prefix: str = ''
    ) -> Result[tuple[Row, ...], PlatformError]:
        return self.simulation.platform.scan(table, prefix)

    def commit(
        self, transaction: Transaction
    ) -> Result[Committed, PlatformError]:
        simulation = self.simulation
        if not simulation.settings.lease_condition:
            kept = tuple(
                condition
                for condition in transaction.conditions
                if condition.key.table != LEASES
            )
            if self.lease:
                transaction = replace(transaction, conditions=kept)
        if simulation.platform.fault:
            return Failure(simulation.platform.fault)
        chance = simulation.rng.random() if simulation.faulty else 1.0
        if chance < simulation.settings.late_writes:
            delay_s = simulation.rng.uniform(0, 8)
            simulation.schedule(delay_s, lambda: self._apply(transaction))
            self.process.pause_in_call()
            return Failure(LOST)
        outcome = self._apply(transaction)
        lost = chance < simulation.settings.late_writes + 0.05
        return Failure(LOST) if lost else outcome

    def _apply(
        self, transaction: Transaction
    ) -> Result[Committed, PlatformError]:
        simulation = self.simulation
        fault, simulation.platform.fault = simulation.platform.fault, None
        outcome = simulation.platform.commit(transaction)
        if isinstance(outcome, Success):
            simulation.note_writes(transaction, self.lease)
        simulation.platform.fault = fault
        return outcome


class SimControl:
    """Connections to engines of one task.

    Under faults an order may arrive late, after its call has failed.
    """

    def __init__(
        self, process: 'SimProcess', lease: Lease | None = None
    ) -> None:
        self.process = process
        self.simulation = process.simulation
        self.lease = lease
        self.in_transit: list[Callable[[], None]] = []

    def status(self, address: Address) -> Result[EngineStatus, EngineError]:
        engine = self.simulation.engines[address]
        now_s = self.simulation.now_s
        if now_s < engine.down_until_s:
            return Failure(EngineError(EngineFault.UNREACHABLE, 'refused'))
        if not engine.answers(now_s):
            return Failure(EngineError(EngineFault.INTERRUPTED, 'no answer'))
        return Success(engine.status)

    def load(
        self, address: Address, order: LoadOrder
    ) -> Result[EngineStatus, EngineError]:
        return self._order(address, order)

    def unload(
        self, address: Address, order: UnloadOrder
    ) -> Result[EngineStatus, EngineError]:
        return self._order(address, order)

    def settle(self) -> None:
        """Deliver the orders in transit, for which a hand-over waits."""
        for arrive in self.in_transit:
            arrive()
        self.in_transit.clear()

    def close(self) -> None:
        """Do nothing; there are no sockets."""

    def _order(
        self, address: Address, order: LoadOrder | UnloadOrder
    ) -> Result[EngineStatus, EngineError]:
        simulation = self.simulation
        engine = simulation.engines[address]
        if simulation.now_s < engine.down_until_s:
            return Failure(EngineError(EngineFault.UNREACHABLE, 'refused'))
        unanswered = not engine.answers(simulation.now_s)
        if unanswered or (simulation.faulty and simulation.rng.random() < 0.1):
            self._send_late(engine, order)
            return Failure(EngineError(EngineFault.INTERRUPTED, 'no answer'))
        return self._arrive(engine, order)

    def _send_late(
        self, engine: SimEngine, order: LoadOrder | UnloadOrder
    ) -> None:
        max_delay_s = self.simulation.settings.order_life_s
        if engine.checks_fence:
            max_delay_s = LATE_ORDER_S
        arrived: list[bool] = []

        def arrive() -> None:
            if not arrived and engine.answers(self.simulation.now_s):
                self._arrive(engine, order)
            arrived.append(True)

        self.in_transit.append(arrive)
        self.simulation.schedule(
            self.simulation.rng.uniform(0, max_delay_s), arrive
        )
        self.process.pause_in_call()

    def _arrive(
        self, engine: SimEngine, order: LoadOrder | UnloadOrder
    ) -> Result[EngineStatus, EngineError]:
        before = engine.status
        error = engine.take(order, self.simulation.now_s)
        if error:
            return Failure(error)
        assert self.lease is not None
        self.simulation.history.append(
            OrderTaken(
                self.simulation.now_s,
                self.lease.shard,
                self.lease.epoch,
                before,
                _epoch(order),
                engine.checks_fence,
            )
        )
        return Success(engine.status)


class SimTask:
    """Actor whose messages are queued until its process runs."""

    def __init__(self, process: 'SimProcess', actor: Any) -> None:
        self.process = process
        self.actor = actor
        self.waiting: list[Any] = []
        process.tasks.append(self)
        actor.on_start()

    def post(self, message: Any) -> None:
        self.waiting.append(message)

    has_ended = True

    def stop(self, timeout_s: float | None = None) -> None:
        if self in self.process.tasks:
            self.process.tasks.remove(self)
            self.actor.on_stop()

    def run(self) -> None:
        waiting, self.waiting = self.waiting, []
        for message in waiting:
            self.actor.on_message(message)
        self.actor.on_timer()


class SimShardTask(SimTask):
    """Owner of a shard; records from when to when it relies on its lease."""

    def __init__(
        self, process: 'SimProcess', actor: ShardOwner, lease: Lease
    ) -> None:
        super().__init__(process, actor)
        self.lease = lease
        self.controls: list[SimControl] = []

    def post(self, message: Any) -> None:
        super().post(message)
        match message:
            case LeaseHeld():
                self.process.record_held(message)
            case LeasePaused():
                self.process.record_dropped(self.lease)

    def stop(self, timeout_s: float | None = None) -> None:
        if timeout_s:
            for control in self.controls:
                control.settle()
        self.process.record_dropped(self.lease)
        super().stop(timeout_s)


class SimProcess:
    """One incarnation of one controller."""

    def __init__(
        self, simulation: 'ControlSimulation', node: str, incarnation: int
    ) -> None:
        self.simulation = simulation
        self.node = NodeName(node)
        self.incarnation = incarnation
        self.paused_until_s = 0.0
        self.tasks: list[SimTask] = []
        self.views: dict[ShardName, ShardViews] = {}
        drift = simulation.rng.uniform(-CLOCK_DRIFT, CLOCK_DRIFT)
        self.clock = DriftingClock(simulation, 1 + drift)
        self.times = simulation.settings.times
        keeper = LeaseKeeper(
            self.node,
            Incarnation(f'{node}.{incarnation}'),
            SimTables(self),
            self,
            LEASE_CHART,
            self.times,
            self.clock,
        )
        self.keeper = SimTask(self, keeper)
        self.keeper.post(ConfigurationInForce(simulation.configuration))
        self.keeper.post(InstancesListed(simulation.listed))

    def start(self, lease: Any, owner: Any = None) -> SimTask:
        """Start the owner of a lease, or a watch of an engine for an owner."""
        if isinstance(lease, Lease):
            return self._start_owner(lease)
        control = SimControl(self, owner.lease)
        owner.controls.append(control)
        links = EngineLinks(control, control)
        watch = EngineWatch(lease, links, owner, self.times, self.clock)
        return SimTask(self, watch)

    def post(self, message: ShardViews) -> None:
        """Record views in place of the grant allocator."""
        self.views[message.shard] = message

    def run(self) -> None:
        tasks = self.simulation.rng.sample(self.tasks, len(self.tasks))
        for task in tasks:
            if task in self.tasks and self.runs():
                task.run()

    def runs(self) -> bool:
        return self.simulation.now_s >= self.paused_until_s

    def pause_in_call(self) -> None:
        """Maybe pause for up to 8 s while a request is in transit."""
        if self.simulation.faulty and self.simulation.rng.random() < 0.5:
            pause_s = self.simulation.rng.uniform(0, 8)
            self.paused_until_s = self.simulation.now_s + pause_s

    def record_held(self, held: LeaseHeld) -> None:
        self.simulation.history.append(
            LeaseBelieved(
                self.simulation.now_s,
                held.lease.shard,
                self.node,
                held.lease.epoch,
                held.held_until_s / self.clock.rate,
            )
        )

    def record_dropped(self, lease: Lease) -> None:
        dropped = LeaseDropped(self.simulation.now_s, lease.shard, lease.epoch)
        self.simulation.history.append(dropped)

    def _start_owner(self, lease: Lease) -> SimTask:
        owner = ShardOwner(
            lease,
            TransactionNames(
                f'{lease.shard} {lease.epoch}', f'{self.incarnation}'
            ),
            ShardOwnerPorts(SimTables(self, lease), self, self),
            REPLICA_CHART,
            self.times,
            self.clock,
            Random(self.simulation.rng.getrandbits(32)),
        )
        task = SimShardTask(self, owner, lease)
        task.post(OwnerAddress(task))
        return task


@dataclass(frozen=True)
class _Scheduled:
    """A call at a time of the simulation."""

    due_s: float
    act: Callable[[], object]


class ControlSimulation:
    """All processes, engines and the platform.

    A step runs each process that is not paused once.
    """

    def __init__(self, settings: SimulationSettings) -> None:
        self.settings = settings
        self.rng = Random(settings.seed)
        self.now_s = 100.0
        self.faulty = False
        self.platform = MemoryPlatform()
        self.history: list[Event] = []
        self.configuration = _configuration(settings)
        self.listed = tuple(_instances())
        self.engines = {
            instance.address: SimEngine(instance, settings.checks_fence)
            for instance in self.listed
            if instance.role is InstanceRole.ENGINE
        }
        self._scheduled: list[_Scheduled] = []
        self._outage_until_s = 0.0
        self._incarnations = 0
        self.processes = [
            self._process(f'n{number}') for number in range(CONTROLLERS)
        ]

    def schedule(self, delay_s: float, act: Callable[[], object]) -> None:
        self._scheduled.append(_Scheduled(self.now_s + delay_s, act))

    def run(self, seconds: float, *, faulty: bool) -> None:
        self.faulty = faulty
        if not faulty:
            self._clear_faults()
        for _ in range(int(seconds / STEP_S)):
            self.now_s += STEP_S
            if faulty:
                self._inject_fault()
            self._step()

    def publish_model_version(self, model_version: str) -> None:
        manifest = self.configuration.manifest
        newer = replace(manifest.deployments[0], model_version=model_version)
        self.configuration = replace(
            self.configuration,
            manifest=replace(manifest, deployments=(newer,)),
        )
        for process in self.processes:
            process.keeper.post(ConfigurationInForce(self.configuration))

    def serving(self) -> list[GroupServed]:
        """Return the serving replicas of owners whose lease is held."""
        offered = []
        for process in self.processes:
            now_s = process.clock.now_s()
            for views in process.views.values():
                if now_s >= views.held_until_s:
                    continue
                offered.extend(
                    self._served(view.replica)
                    for view in views.views
                    if view.serving
                )
        return offered

    def note_writes(
        self, transaction: Transaction, lease: Lease | None
    ) -> None:
        for write in transaction.writes:
            if write.key.table == LEASES:
                self._note_lease(write.key)
        if lease is not None:
            self.history.append(self._rows(lease))

    def _note_lease(self, key: RowKey) -> None:
        row = self.platform.read(key).unwrap()
        assert row is not None
        lease = decode_lease(row).unwrap()
        if lease.holder:
            taken = LeaseTaken(self.now_s, lease.shard, lease.epoch)
            self.history.append(taken)

    def _rows(self, lease: Lease) -> RowsWritten:
        replicas = self.platform.scan(REPLICAS).unwrap()
        members = self.platform.scan(MEMBERS).unwrap()
        return RowsWritten(
            self.now_s,
            lease.shard,
            lease.epoch,
            tuple(decode_replica(row).unwrap() for row in replicas),
            tuple(decode_membership(row).unwrap() for row in members),
        )

    def _step(self) -> None:
        due = [call for call in self._scheduled if call.due_s <= self.now_s]
        self._scheduled = [
            call for call in self._scheduled if call.due_s > self.now_s
        ]
        for call in due:
            call.act()
        down = self.now_s < self._outage_until_s
        self.platform.fault = DOWN if down else None
        for engine in self.engines.values():
            engine.tick(self.now_s)
        running = [process for process in self.processes if process.runs()]
        self.rng.shuffle(running)
        for process in running:
            process.run()
        self.history.extend(filter(self._was_noticed, self.serving()))

    def _served(self, replica: Any) -> GroupServed:
        reports = [
            self.engines[member.address].status
            for member in replica.members
            if self.now_s >= self.engines[member.address].down_until_s
        ]
        return GroupServed(self.now_s, replica, tuple(reports))

    def _was_noticed(self, served: GroupServed) -> bool:
        """Return false while the owner may not have noticed a change yet.

        A change of a member, or the end of a pause of a controller, must be
        older than ``NOTICE_S``.
        """
        changed_s = [
            self.engines[member.address].changed_s
            for member in served.replica.members
        ]
        woke_s = [process.paused_until_s for process in self.processes]
        return self.now_s - max(*changed_s, *woke_s) > NOTICE_S

    def _inject_fault(self) -> None:
        if self.rng.random() < 0.12:
            faults = (
                self._crash_engine,
                self._pause_engine,
                self._pause_process,
                self._restart_process,
                self._start_platform_outage,
            )
            self.rng.choice(faults)()

    def _crash_engine(self) -> None:
        engine = self.rng.choice(list(self.engines.values()))
        engine.crash(self.now_s, self.rng.uniform(0, 6))

    def _pause_engine(self) -> None:
        engine = self.rng.choice(list(self.engines.values()))
        engine.paused_until_s = self.now_s + self.rng.uniform(0, 6)

    def _pause_process(self) -> None:
        process = self.rng.choice(self.processes)
        process.paused_until_s = self.now_s + self.rng.uniform(0, 8)

    def _restart_process(self) -> None:
        index = self.rng.randrange(len(self.processes))
        killed = self.processes[index]
        for lease in _leases(killed):
            killed.record_dropped(lease)
        self.processes[index] = self._process(killed.node)

    def _start_platform_outage(self) -> None:
        self._outage_until_s = self.now_s + self.rng.uniform(0, 6)

    def _clear_faults(self) -> None:
        self._outage_until_s = 0
        for process in self.processes:
            process.paused_until_s = 0
        for engine in self.engines.values():
            engine.paused_until_s = 0
            engine.down_until_s = 0

    def _process(self, node: str) -> SimProcess:
        self._incarnations += 1
        return SimProcess(self, node, self._incarnations)


def _leases(process: SimProcess) -> Iterator[Lease]:
    """Yield the leases of the owners that run in a process."""
    for task in process.tasks:
        if isinstance(task, SimShardTask):
            yield task.lease


def _instances() -> Iterator[Instance]:
    for number in range(CONTROLLERS):
        yield Instance(
            InstanceName(f'n{number}'),
            InstanceRole.CONTROLLER,
            Address(''),
            DATA_CENTRE,
        )
    for number in range(10):
        yield Instance(
            InstanceName(f'e{number}'),
            InstanceRole.ENGINE,
            Address(f'127.0.0.1:{number}'),
            DATA_CENTRE,
            DomainName(f'd{number // 5}'),
            8,
        )


def _configuration(settings: SimulationSettings) -> Configuration:
    deployment = Deployment(
        DeploymentName('quotes'),
        ModelName('m'),
        '1',
        4,
        2,
        (DATA_CENTRE,),
        checks_fence=settings.checks_fence,
    )
    return Configuration(ConfigVersion(1), Manifest(deployments=(deployment,)))


def _epoch(order: LoadOrder | UnloadOrder) -> Epoch:
    if isinstance(order, LoadOrder):
        return order.replica.epoch
    return order.epoch


def _name(order: LoadOrder) -> tuple[ReplicaId, Epoch]:
    return order.replica.replica, order.replica.epoch

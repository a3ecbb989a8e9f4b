"""The task that owns all groups while this instance holds the tenure."""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, replace

from returns.result import Failure

from ..decide.group_chart import GroupAction, GroupEvent, GroupState
from ..decide.group_plan import (
    GroupWanted,
    Plan,
    StageWanted,
    Standing,
    Stock,
    plan_groups,
)
from ..decide.load_budget import LoadBudget
from ..decide.ownership_chart import OwnershipAction
from ..decide.rendezvous import ranked
from ..model.fleet import Fleet, GroupRecord, Member
from ..model.ids import (
    DomainName,
    Epoch,
    GroupName,
    ModelName,
    NodeName,
    TargetName,
)
from ..model.log_parts import Part
from ..model.serving import EngineSpec, ServiceSpec
from ..tasks.clock import Clock
from ..tasks.log import part_logger
from ..tasks.mailbox import Outbox
from ..tasks.published import Published
from .codecs import OwnRows
from .courier import CourierPool
from .held_group import GroupTimes, HeldGroup, load_group_chart
from .messages import (
    EntriesSeen,
    FleetChanged,
    Order,
    OrderKind,
    OrderOutcome,
    OrderSettled,
    OwnerMessage,
)
from .store import RowWritten, StoreFault, StoreWrites, Table
from .tenure_keeper import TenureKeeper

#: Seconds between two looks at the groups without news.
TICK_S = 0.25
#: Seconds for which a target is left out that did not take an order. A lost
#: order may be carried out up to twelve seconds later.
SUSPECT_S = 4.0
#: Seconds for a member's report to come, beyond what its join takes.
REPORT_S = 3.0
CLOSING_S = 3.0
LEAVING_S = 1.5
#: Seconds after the first start in which loads count for nothing: traffic
#: comes later than this.
PRELUDE_S = 9.0
#: Seconds without a new target after which all that start with the system
#: are taken to be listed.
SETTLING_S = 0.7
#: Epochs of one term; a later term has higher epochs than all before it.
EPOCHS_A_TERM = 100_000
#: Key of the line of successors.
_LINE = 'owner'

_LIVE = frozenset((GroupState.JOINING, GroupState.OPENING, GroupState.SERVING))
_log = part_logger(Part.GROUPS)


@dataclass(frozen=True)
class OwnerSettings:
    """Times of the owner.

    Parameters
    ----------
    node
        Name of this instance.
    stall_s
        Seconds after which a group without one of its members breaks.
    is_first_start
        The whole system starts for the first time.

    """

    node: NodeName
    stall_s: float
    is_first_start: bool


@dataclass(frozen=True)
class OwnerPorts:
    """Whom the owner talks to.

    Parameters
    ----------
    board
        Picture of the fleet.
    store
        Connection of this task to the store.
    rows
        Encodes rows.
    couriers
        Carry orders.
    clock
        Own clock, suspensions included.

    """

    board: Published[Fleet]
    store: StoreWrites
    rows: OwnRows
    couriers: CourierPool
    clock: Clock


class Owner:
    """Forms, opens, repairs and releases groups.

    Parameters
    ----------
    settings
        Times.
    ports
        Whom to talk to.
    keeper
        View of the tenure; owned by this task.

    """

    def __init__(
        self,
        settings: OwnerSettings,
        ports: OwnerPorts,
        keeper: TenureKeeper,
    ) -> None:
        """Start without groups."""
        self._settings = settings
        self._ports = ports
        self._keeper = keeper
        self._chart = load_group_chart()
        self._groups: dict[GroupName, HeldGroup] = {}
        self._released: deque[GroupName] = deque()
        self._suspects: dict[TargetName, float] = {}
        self._staging: dict[TargetName, ModelName] = {}
        self._loads = LoadBudget()
        self._formed = 0
        self._listed = 0
        self._listed_s = 0.0
        self._is_adopted = False
        self._started_s = ports.clock.now_s()
        self.mailbox: Outbox[OwnerMessage] | None = None

    def on_start(self) -> None:
        """Connect with the first look."""

    def on_message(self, message: OwnerMessage) -> None:
        """Learn what became of an order; changes are seen by the timer."""
        match message:
            case OrderSettled():
                self._settle(message)
            case EntriesSeen():
                self._rank(message)
            case FleetChanged():
                return

    def on_timer(self) -> float | None:
        """Keep the tenure and look after the groups.

        Returns
        -------
        float
            Seconds until the next look.

        """
        action = self._keeper.tick()
        if action is OwnershipAction.DROP:
            self._drop()
        if action is OwnershipAction.ADOPT:
            self._is_adopted = False
        if not self._keeper.is_held:
            return self._keeper.due_s()
        if not self._is_adopted:
            self._adopt()
        if self._is_adopted:
            self._look_after()
        return min(TICK_S, self._keeper.due_s())

    def on_stop(self) -> None:
        """Leave the groups to the next owner."""

    def _rank(self, seen: EntriesSeen) -> None:
        """Find the place of this instance in the line of successors."""
        holder = self._keeper.tenure.holder.partition(' ')[0]
        nodes = [
            entry.node
            for entry in seen.entries
            if not entry.is_leaving and entry.node != holder
        ]
        line = ranked(_LINE, nodes)
        if self._settings.node in line:
            self._keeper.set_rank(line.index(self._settings.node))

    def _drop(self) -> None:
        self._groups = {}
        self._released = deque()
        self._staging = {}
        self._is_adopted = False

    def _adopt(self) -> None:
        """Take over the groups that are recorded."""
        fleet = self._ports.board.latest()
        if fleet.config is None or not fleet.can_serve:
            return
        answer = self._ports.store.read_all(Table.GROUPS)
        if isinstance(answer, Failure):
            _log.warning('groups can not be read: %s', answer.failure())
            return
        self._groups = {}
        for row in answer.unwrap().rows:
            if row.body is None:
                continue
            decoded = self._ports.rows.group(row.key, row.body, row.version)
            if isinstance(decoded, Failure):
                _log.error('group is malformed: %s', decoded.failure())
                continue
            self._hold(decoded.unwrap())
        self._is_adopted = True
        self._formed = 0
        _log.info(
            'groups are adopted',
            extra={
                'term': self._keeper.tenure.term,
                'groups': sorted(self._groups),
            },
        )

    def _hold(self, record: GroupRecord) -> None:
        now_s = self._ports.clock.now_s()
        held = HeldGroup(
            record, self._times(record), GroupState.JOINING, now_s, now_s
        )
        self._groups[record.group] = held

    def _times(self, record: GroupRecord) -> GroupTimes:
        join_s = 0.0
        form_s = 0.0
        engine = self._engine(record)
        if engine is not None:
            form_s = engine.form_s
            spec = engine.model(record.model)
            join_s = spec.load_s if spec is not None else 0
        return GroupTimes(
            joining=join_s + REPORT_S,
            opening=form_s + REPORT_S,
            closing=CLOSING_S,
            leaving=LEAVING_S,
            stalling=self._settings.stall_s + 1,
        )

    def _engine(self, record: GroupRecord) -> EngineSpec | None:
        config = self._ports.board.latest().config
        service = config.services.get(record.service) if config else None
        return service.engine if service else None

    def _look_after(self) -> None:
        fleet = self._ports.board.latest()
        for name in tuple(self._groups):
            self._watch(name, fleet)
        self._forget_released()
        if fleet.config is None or not self._keeper.is_held:
            return
        for service in fleet.config.services.values():
            if service.engine is not None:
                self._extend(service, service.engine, fleet)

    def _watch(self, name: GroupName, fleet: Fleet) -> None:
        held = self._groups[name].watch(fleet)
        self._groups[name] = held
        engine = self._engine(held.record)
        wanted = bool(engine and engine.model(held.record.model))
        now_s = self._ports.clock.now_s()
        for event in held.events(fleet, wanted, now_s):
            self._step(name, event)

    def _step(self, name: GroupName, event: GroupEvent) -> None:
        now_s = self._ports.clock.now_s()
        step = self._groups[name].take(self._chart, event, now_s)
        self._groups[name] = step.group
        if step.action is not None and self._keeper.is_held:
            self._act(step.group, step.action)

    def _act(self, held: HeldGroup, action: GroupAction) -> None:
        head = held.record.head
        match action:
            case GroupAction.OPEN:
                self._order(held.record, head, OrderKind.OPEN)
            case GroupAction.CLOSE:
                self._order(held.record, head, OrderKind.CLOSE)
            case GroupAction.LEAVE_HEAD:
                self._order(held.record, head, OrderKind.LEAVE)
            case GroupAction.LEAVE_MEMBERS:
                for member in held.record.members:
                    self._order(held.record, member, OrderKind.LEAVE)
            case GroupAction.RELEASE:
                self._released.append(held.record.group)

    def _order(
        self,
        record: GroupRecord,
        member: Member,
        kind: OrderKind,
    ) -> None:
        order = Order(
            kind,
            record.service,
            member.target,
            record.group,
            record.epoch,
            record.model,
            tuple(one.target for one in record.members),
        )
        self._send(member, order)

    def _send(self, member: Member, order: Order) -> None:
        if self.mailbox is not None:
            self._ports.couriers.send(member.address, order, self.mailbox)

    def _settle(self, settled: OrderSettled) -> None:
        order = settled.order
        if settled.outcome is OrderOutcome.TAKEN:
            self._on_taken(order)
            return
        if order.kind is OrderKind.STAGE:
            self._staging.pop(order.target, None)
            self._suspect(order.target)
        held = self._groups.get(order.group)
        if held is None or held.record.epoch != order.epoch:
            return
        if order.kind is OrderKind.JOIN:
            self._suspect(order.target)
            lost = held.lost | {order.target}
            self._groups[order.group] = replace(held, lost=lost)
        elif order.kind is OrderKind.LEAVE:
            self._on_leave_failed(held, settled)

    def _on_taken(self, order: Order) -> None:
        held = self._groups.get(order.group)
        if held is None or order.kind is not OrderKind.LEAVE:
            return
        if order.target == held.record.head.target:
            self._step(order.group, GroupEvent.HEAD_LEFT)

    def _on_leave_failed(
        self,
        held: HeldGroup,
        settled: OrderSettled,
    ) -> None:
        if settled.order.target != held.record.head.target:
            return
        if settled.outcome is OrderOutcome.SILENT:
            self._step(held.record.group, GroupEvent.HEAD_SILENT)
        else:
            self._step(held.record.group, GroupEvent.HEAD_LEFT)

    def _suspect(self, name: TargetName) -> None:
        self._suspects[name] = self._ports.clock.now_s() + SUSPECT_S

    def _forget_released(self) -> None:
        """Remove the records of released groups."""
        names = tuple(self._released)
        if not names:
            return
        written = tuple(RowWritten(Table.GROUPS, name, None) for name in names)
        if self._commit(written):
            self._released.clear()
            for name in names:
                self._groups.pop(name, None)

    def _extend(
        self,
        service: ServiceSpec,
        engine: EngineSpec,
        fleet: Fleet,
    ) -> None:
        """Form the groups and stage the models that are missing."""
        now_s = self._ports.clock.now_s()
        if self._is_prelude(now_s) and not self._has_settled(fleet, now_s):
            return
        plan = plan_groups(service, self._stock(engine, fleet, now_s))
        if plan.groups and not self._form(plan):
            return
        for stage in plan.stages:
            self._stage(stage, service)
        if plan.groups or plan.stages:
            self._loads.count(_loads_of(plan), now_s)

    def _stock(
        self,
        engine: EngineSpec,
        fleet: Fleet,
        now_s: float,
    ) -> Stock:
        self._suspects = {
            name: until_s
            for name, until_s in self._suspects.items()
            if until_s > now_s
        }
        self._staging = {
            name: model
            for name, model in self._staging.items()
            if name in fleet.targets and model not in fleet.targets[name].staged
        }
        taken = frozenset(
            member.target
            for held in self._groups.values()
            for member in held.record.members
        )
        return Stock(
            fleet=fleet,
            standing=tuple(self._standing(fleet)),
            taken=taken,
            suspects=frozenset(self._suspects),
            staging=frozenset(self._staging),
            loads_left=self._loads_left(engine, now_s),
        )

    def _loads_left(self, engine: EngineSpec, now_s: float) -> float:
        if self._is_prelude(now_s):
            return float('inf')
        return self._loads.left(engine.loads_per_s, now_s)

    def _is_prelude(self, now_s: float) -> bool:
        passed_s = now_s - self._started_s
        return self._settings.is_first_start and passed_s < PRELUDE_S

    def _has_settled(self, fleet: Fleet, now_s: float) -> bool:
        """Return whether the first targets have all been listed."""
        if len(fleet.targets) != self._listed:
            self._listed = len(fleet.targets)
            self._listed_s = now_s
        return now_s - self._listed_s > SETTLING_S

    def _standing(self, fleet: Fleet) -> Iterable[Standing]:
        for held in self._groups.values():
            if held.state not in _LIVE:
                continue
            domains = {
                fleet.targets[member.target].domain
                for member in held.record.members
                if member.target in fleet.targets
            }
            for domain in domains or {DomainName('')}:
                yield Standing(held.record.service, held.record.model, domain)

    def _form(self, plan: Plan) -> bool:
        """Record groups and order their members to join."""
        records = [self._record(wanted) for wanted in plan.groups]
        written = tuple(
            RowWritten(
                Table.GROUPS,
                record.group,
                self._ports.rows.encode_group(record),
            )
            for record in records
        )
        if not self._commit(written):
            return False
        for record in records:
            self._hold(record)
            for member in record.members:
                self._staging.pop(member.target, None)
                self._order(record, member, OrderKind.JOIN)
        return True

    def _record(self, wanted: GroupWanted) -> GroupRecord:
        self._formed += 1
        epoch = self._keeper.tenure.term * EPOCHS_A_TERM + self._formed
        return GroupRecord(
            GroupName(f'g{epoch}'),
            Epoch(epoch),
            wanted.service,
            wanted.model,
            tuple(
                Member(target.name, target.address, target.born_ms)
                for target in wanted.members
            ),
        )

    def _stage(self, stage: StageWanted, service: ServiceSpec) -> None:
        target = stage.target
        self._staging[target.name] = stage.model
        order = Order(
            OrderKind.STAGE, service.name, target.name, model=stage.model
        )
        member = Member(target.name, target.address, target.born_ms)
        self._send(member, order)

    def _commit(self, written: tuple[RowWritten, ...]) -> bool:
        answer = self._ports.store.commit((self._keeper.condition(),), written)
        if not isinstance(answer, Failure):
            return True
        error = answer.failure()
        _log.warning('groups are not recorded: %s', error.message)
        if error.fault is StoreFault.CONFLICT:
            self._keeper.lose()
            self._drop()
        elif error.fault is StoreFault.UNSETTLED:
            # What was written shows when the records are read again.
            self._is_adopted = False
        return False


def _loads_of(plan: Plan) -> int:
    joins = sum(
        wanted.model not in member.staged
        for wanted in plan.groups
        for member in wanted.members
    )
    return joins + len(plan.stages)

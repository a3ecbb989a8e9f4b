"""The task that owns all groups while this instance holds the tenure."""

from dataclasses import dataclass

from ..decide.group_chart import GroupAction, GroupEvent, GroupState
from ..model.fleet import Fleet, GroupRecord
from ..model.ids import GroupName
from ..model.log_parts import Part
from ..model.serving import ServiceSpec
from ..tasks.clock import Clock
from ..tasks.log import part_logger
from ..tasks.mailbox import Outbox
from ..tasks.published import Published
from .group_ledger import GroupLedger
from .group_orders import GroupOrders
from .group_planner import GroupPlanner
from .messages import (
    FleetChanged,
    InstancesObserved,
    OrderKind,
    OrderSettled,
    OwnerAnswerMissed,
    OwnerAnswerReceived,
    OwnerMessage,
    TargetsSuspected,
)
from .owned_group import (
    OwnedGroup,
    engine_of,
    load_group_chart,
    state_timeouts,
)
from .owner_lease_keeper import OwnerLeaseKeeper
from .ownership import OwnershipStatus

#: Seconds between two looks at the groups without news.
TICK_S = 0.25

_log = part_logger(Part.GROUPS)


@dataclass(frozen=True)
class OwnerSettings:
    """How long the owner waits.

    Parameters
    ----------
    stall_s
        Seconds after which a group without one of its members breaks.

    """

    stall_s: float


@dataclass(frozen=True)
class OwnerParts:
    """What the owner's task owns and reads.

    Parameters
    ----------
    published_fleet
        Picture of the fleet.
    ownership
        Where it is published who the owner is.
    keeper
        View of the tenure.
    ledger
        Records of groups.
    orders
        Orders to targets.
    planner
        Plans groups.
    clock
        Own clock, suspensions included.

    """

    published_fleet: Published[Fleet]
    ownership: Published[OwnershipStatus]
    keeper: OwnerLeaseKeeper
    ledger: GroupLedger
    orders: GroupOrders
    planner: GroupPlanner
    clock: Clock


class Owner:
    """Forms, opens, repairs and releases groups.

    Parameters
    ----------
    settings
        Times.
    parts
        What it owns and reads.

    """

    def __init__(self, settings: OwnerSettings, parts: OwnerParts) -> None:
        """Start without groups."""
        self._settings = settings
        self._parts = parts
        self._chart = load_group_chart()
        self._groups: dict[GroupName, OwnedGroup] = {}
        self._is_adopted = False

    def listen_on(self, own: Outbox[OwnerMessage]) -> None:
        """Set where outcomes of orders are left; before the start."""
        self._parts.orders.listen_on(own)

    def on_start(self) -> None:
        """Connect with the first look."""

    def on_message(self, message: OwnerMessage) -> None:
        """Learn what became of an order; changes are seen by the timer."""
        match message:
            case OrderSettled():
                self._settle(message)
            case InstancesObserved():
                self._parts.keeper.update_rank(message.instances)
            case OwnerAnswerReceived():
                self._parts.keeper.record_answer(message)
            case OwnerAnswerMissed():
                self._parts.keeper.record_missed_answer(message)
            case TargetsSuspected():
                self._parts.orders.question(
                    tuple(self._groups.values()),
                    message.targets,
                    self._parts.clock.now_s(),
                )
            case FleetChanged():
                return

    def on_timer(self) -> float | None:
        """Keep the tenure and look after the groups.

        Returns
        -------
        float
            Seconds until the next look.

        """
        keeper = self._parts.keeper
        has_changed = keeper.tick() is not None
        self._parts.ownership.publish(keeper.ownership())
        if has_changed or self._parts.ledger.is_unsettled:
            self._drop()
        if not keeper.is_held:
            return keeper.due_s()
        if not self._is_adopted:
            self._adopt()
        if self._is_adopted:
            self._look_after()
        return min(TICK_S, keeper.due_s())

    def on_stop(self) -> None:
        """Leave the groups to the next owner."""

    def _drop(self) -> None:
        """Forget the groups; they are read again before the next act."""
        self._groups = {}
        self._parts.orders.drop()
        self._is_adopted = False

    def _adopt(self) -> None:
        """Take over the groups that are recorded."""
        fleet = self._parts.published_fleet.latest()
        if fleet.config is None or not fleet.can_serve:
            return
        records = self._parts.ledger.read()
        if records is None:
            return
        for record in records:
            self._hold(record)
        self._is_adopted = True
        _log.info(
            'groups are adopted',
            extra={
                'term': self._parts.keeper.owner_lease.term,
                'groups': sorted(self._groups),
            },
        )

    def _hold(self, record: GroupRecord) -> None:
        now_s = self._parts.clock.now_s()
        engine = engine_of(record, self._parts.published_fleet.latest())
        times = state_timeouts(record, engine, self._settings.stall_s)
        self._groups[record.group] = OwnedGroup(
            record, times, GroupState.JOINING, now_s, now_s
        )

    def _look_after(self) -> None:
        fleet = self._parts.published_fleet.latest()
        for name in tuple(self._groups):
            self._watch(name, fleet)
        self._remove_released()
        self._parts.orders.keep(fleet)
        if fleet.config is None or not self._parts.keeper.is_held:
            return
        for service in fleet.config.services.values():
            self._extend(service, fleet)

    def _watch(self, name: GroupName, fleet: Fleet) -> None:
        held = self._groups[name].watch(fleet)
        self._groups[name] = held
        now_s = self._parts.clock.now_s()
        for member in held.unlisted(fleet):
            self._parts.orders.ask(held.record, member, now_s)
        engine = engine_of(held.record, fleet)
        wanted = bool(engine and engine.model(held.record.model))
        for event in held.events(fleet, wanted, now_s):
            self._step(name, event)

    def _step(self, name: GroupName, event: GroupEvent) -> None:
        now_s = self._parts.clock.now_s()
        step = self._groups[name].take(self._chart, event, now_s)
        self._groups[name] = step.group
        if step.action is not None and self._parts.keeper.is_held:
            self._act(step.group.record, step.action)

    def _act(self, record: GroupRecord, action: GroupAction) -> None:
        orders = self._parts.orders
        match action:
            case GroupAction.OPEN:
                orders.send(OrderKind.OPEN, record, record.head)
            case GroupAction.CLOSE:
                orders.send(OrderKind.CLOSE, record, record.head)
            case GroupAction.LEAVE_HEAD:
                orders.send(OrderKind.LEAVE, record, record.head)
            case GroupAction.LEAVE_MEMBERS:
                orders.leave(record)

    def _settle(self, settled: OrderSettled) -> None:
        now_s = self._parts.clock.now_s()
        self._parts.orders.note(settled, now_s)
        held = self._groups.get(settled.order.group)
        if held is None:
            return
        news = held.hear(settled, self._parts.published_fleet.latest(), now_s)
        self._groups[held.record.group] = news.group
        if news.event is not None:
            self._step(held.record.group, news.event)

    def _remove_released(self) -> None:
        names = tuple(
            name
            for name, held in self._groups.items()
            if held.state is GroupState.RELEASED
        )
        if names and self._parts.ledger.remove(names):
            for name in names:
                self._groups.pop(name)

    def _extend(self, service: ServiceSpec, fleet: Fleet) -> None:
        """Form the groups and stage the models that are missing."""
        now_s = self._parts.clock.now_s()
        groups = tuple(self._groups.values())
        plan = self._parts.planner.plan(service, fleet, groups, now_s)
        if plan.groups:
            records = self._parts.ledger.form(plan.groups)
            if not records:
                return
            for record in records:
                self._hold(record)
                self._parts.orders.join(record)
        for stage in plan.stages:
            self._parts.orders.stage(stage, service.name)
        self._parts.planner.count(plan, now_s)

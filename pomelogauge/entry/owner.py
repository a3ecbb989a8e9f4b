"""The task that owns all groups while this instance holds the lease."""

from collections.abc import Mapping
from dataclasses import dataclass

from ..decide.group_chart import GroupAction, GroupEvent, GroupState
from ..decide.group_timeouts import engine_of, state_timeouts
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
    PartsJudged,
    TargetsSuspected,
)
from .owned_group import (
    LATE_ORDER_S,
    OwnedGroup,
    load_group_chart,
)
from .owner_lease_keeper import OwnerLeaseKeeper
from .ownership import OwnershipStatus
from .quarantine_record import QuarantineRecord
from .stray_groups import StrayGroups

#: Seconds between two checks of all groups while the lease is held.
POLL_INTERVAL_S = 0.25

_log = part_logger(Part.GROUPS)


@dataclass(frozen=True)
class OwnerSettings:
    """Settings of the owner task.

    Parameters
    ----------
    stall_s
        Seconds after which the head of a group that has lost a member gives
        the group up by itself.

    """

    stall_s: float


@dataclass(frozen=True)
class OwnerParts:
    """What the owner task owns and reads.

    Parameters
    ----------
    published_fleet
        Newest state of the fleet; read only.
    ownership
        Published by the owner task: who the owner is.
    keeper
        Holds the lease, or waits to take it over.
    ledger
        Records of groups in the store.
    quarantine
        Quarantined parts of prompts in the store.
    orders
        Sends orders to targets.
    planner
        Decides which groups to form.
    strays
        Groups without a record.
    clock
        Local clock; it goes on during a suspension of the machine.

    """

    published_fleet: Published[Fleet]
    ownership: Published[OwnershipStatus]
    keeper: OwnerLeaseKeeper
    ledger: GroupLedger
    quarantine: QuarantineRecord
    orders: GroupOrders
    planner: GroupPlanner
    strays: StrayGroups
    clock: Clock


class Owner:
    """Forms, opens, repairs and releases groups while it holds the lease.

    In standby it polls the lease, after it has restored the quarantined parts
    once. Its groups are those recorded in the store; after a takeover they
    are read from there.

    Parameters
    ----------
    settings
        Settings.
    parts
        What the task owns and reads.

    """

    def __init__(self, settings: OwnerSettings, parts: OwnerParts) -> None:
        """Start without groups."""
        self._settings = settings
        self._parts = parts
        self._chart = load_group_chart()
        self._groups: dict[GroupName, OwnedGroup] = {}
        self._has_adopted = False

    def listen_on(self, own: Outbox[OwnerMessage]) -> None:
        """Set where outcomes of orders are posted; call before the start."""
        self._parts.orders.listen_on(own)

    def on_start(self) -> None:
        """Do nothing; the first timer connects to the store."""

    def on_message(self, message: OwnerMessage) -> None:
        """Apply an outcome or a notice.

        Changes of the fleet need no code here: the timer runs after each
        message and reads the published fleet.
        """
        match message:
            case OrderSettled():
                self._apply_outcome(message)
            case InstancesObserved():
                self._parts.keeper.update_rank(message.instances)
            case OwnerAnswerReceived():
                self._parts.keeper.record_answer(message)
            case OwnerAnswerMissed():
                self._parts.keeper.record_missed_answer(message)
            case PartsJudged():
                self._parts.quarantine.record(message.verdicts.quarantined)
            case TargetsSuspected():
                self._parts.orders.probe_groups_of(
                    tuple(self._groups.values()),
                    message.targets,
                    self._parts.clock.now_s(),
                )
            case FleetChanged():
                return

    def on_timer(self) -> float | None:
        """Renew or poll the lease, and act on the groups if it is held.

        Returns
        -------
        float
            Seconds until the next call is due.

        """
        keeper = self._parts.keeper
        has_changed = keeper.tick() is not None
        self._parts.ownership.publish(keeper.ownership())
        if has_changed:
            self._groups = {}
        if has_changed or self._parts.ledger.must_reread:
            self._forget_groups()
        if not keeper.is_held:
            self._parts.quarantine.restore()
            return keeper.due_s()
        if not self._has_adopted:
            self._adopt()
        if self._has_adopted:
            self._maintain_groups()
            self._parts.quarantine.sync()
        return min(POLL_INTERVAL_S, keeper.due_s())

    def on_stop(self) -> None:
        """Do nothing; the next owner takes the groups over."""

    def _forget_groups(self) -> None:
        """Forget the groups; they are read again before the next order.

        Released ones are kept: the removal of their records may have been
        ordered, and may be carried out at any time.
        """
        self._groups = _released(self._groups)
        self._parts.orders.forget_staging()
        self._parts.quarantine.forget()
        self._has_adopted = False

    def _adopt(self) -> None:
        """Read the recorded groups and start tracking them.

        Tried again with the next timer if the store does not answer.
        """
        fleet = self._parts.published_fleet.latest()
        if fleet.config is None or not fleet.can_serve:
            return
        records = self._parts.ledger.read()
        if records is None:
            return
        now_s = self._parts.clock.now_s()
        self._parts.planner.begin_term(
            self._parts.keeper.owner_lease.term, now_s
        )
        until_s = now_s + LATE_ORDER_S
        if self._parts.ledger.has_unreadable:
            self._parts.planner.expect_openings(until_s)
        recorded = {record.group for record in records}
        self._groups = {
            name: group
            for name, group in self._groups.items()
            if name in recorded
        }
        for record in records:
            if record.group in self._groups:
                continue
            group = _tracked(record, self._parts, self._settings.stall_s)
            self._groups[record.group] = group.with_late_orders(until_s)
        self._has_adopted = True
        _log.info(
            'recorded groups are taken over',
            extra={
                'term': self._parts.keeper.owner_lease.term,
                'groups': sorted(self._groups),
            },
        )

    def _maintain_groups(self) -> None:
        fleet = self._parts.published_fleet.latest()
        for name in tuple(self._groups):
            self._observe(name, fleet)
        self._remove_released()
        self._parts.orders.stop_unlisted_senders(fleet)
        if fleet.config is None or not self._parts.keeper.is_held:
            return
        self._record_strays(fleet)
        for service in fleet.config.services.values():
            self._form_missing(service, fleet)

    def _record_strays(self, fleet: Fleet) -> None:
        """Own the groups that serve without a record."""
        now_s = self._parts.clock.now_s()
        records = self._parts.strays.update(fleet, self._groups, now_s)
        if not records or not self._parts.ledger.write(records):
            return
        for record in records:
            group = _tracked(record, self._parts, self._settings.stall_s)
            until_s = now_s + LATE_ORDER_S
            self._groups[record.group] = group.with_late_orders(until_s)
            _log.info(
                'group %s served without a record and is taken over',
                record.group,
                extra={'group': record.group, 'epoch': record.epoch},
            )

    def _observe(self, name: GroupName, fleet: Fleet) -> None:
        now_s = self._parts.clock.now_s()
        group = self._groups[name].with_reports(fleet, now_s)
        self._groups[name] = group
        for member in group.unlisted_members(fleet):
            self._parts.orders.probe(group.record, member, now_s)
        engine = engine_of(group.record, fleet)
        is_wanted = bool(engine and engine.model(group.record.model))
        for event in group.events(fleet, is_wanted, now_s):
            self._step(name, event)

    def _step(self, name: GroupName, event: GroupEvent) -> None:
        now_s = self._parts.clock.now_s()
        step = self._groups[name].after_event(self._chart, event, now_s)
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

    def _apply_outcome(self, settled: OrderSettled) -> None:
        now_s = self._parts.clock.now_s()
        self._parts.orders.record_outcome(settled, now_s)
        group = self._groups.get(settled.order.group)
        if group is None:
            return
        effect = group.after_outcome(settled, now_s)
        self._groups[group.record.group] = effect.group
        if effect.event is not None:
            self._step(group.record.group, effect.event)

    def _remove_released(self) -> None:
        names = tuple(_released(self._groups))
        if names and self._parts.ledger.remove(names):
            self._parts.strays.record_end(names)
            for name in names:
                self._groups.pop(name)

    def _form_missing(self, service: ServiceSpec, fleet: Fleet) -> None:
        """Form the groups and stage the models that the plan asks for."""
        now_s = self._parts.clock.now_s()
        groups = tuple(self._groups.values())
        plan = self._parts.planner.plan(
            service, fleet, groups, self._parts.strays.members(), now_s
        )
        if plan.groups:
            records = self._parts.ledger.form(plan.groups)
            if not records:
                return
            for record in records:
                self._groups[record.group] = _tracked(
                    record, self._parts, self._settings.stall_s
                )
                self._parts.orders.join(record)
        for staging in plan.stages:
            self._parts.orders.stage(staging, service.name)
        self._parts.planner.record_loads(plan, now_s)


def _tracked(
    record: GroupRecord, parts: OwnerParts, stall_s: float
) -> OwnedGroup:
    """Return a group as this owner begins to track it."""
    now_s = parts.clock.now_s()
    engine = engine_of(record, parts.published_fleet.latest())
    timeouts = state_timeouts(record, engine, stall_s)
    return OwnedGroup(record, timeouts, GroupState.JOINING, now_s, now_s)


def _released(
    groups: Mapping[GroupName, OwnedGroup],
) -> dict[GroupName, OwnedGroup]:
    return {
        name: group
        for name, group in groups.items()
        if group.state is GroupState.RELEASED
    }

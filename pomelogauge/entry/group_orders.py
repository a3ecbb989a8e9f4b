"""Sends the owner's orders and remembers which targets did not take them."""

from collections.abc import Sequence

from ..decide.group_chart import GroupState
from ..decide.group_plan import PlannedStaging
from ..model.fleet import Fleet, GroupRecord, Member
from ..model.ids import ModelName, ServiceName, TargetName
from ..tasks.mailbox import Outbox
from .messages import Order, OrderKind, OrderOutcome, OrderSettled, OwnerMessage
from .order_sender import OrderSenderPool
from .owned_group import OwnedGroup

#: Seconds for which a target is left out that did not take an order. A lost
#: order may be carried out up to twelve seconds later.
SUSPECT_S = 4.0
#: Seconds between two questions to a member that is not listed.
ASK_S = 1.0


class GroupOrders:
    """Used by the owner's task.

    Parameters
    ----------
    couriers
        Carry orders.

    """

    def __init__(self, couriers: OrderSenderPool) -> None:
        """Start without orders."""
        self._couriers = couriers
        self._own: Outbox[OwnerMessage] | None = None
        self._suspects: dict[TargetName, float] = {}
        self._staging: dict[TargetName, ModelName] = {}
        self._asked: dict[TargetName, float] = {}

    def listen_on(self, own: Outbox[OwnerMessage]) -> None:
        """Set where outcomes are left; before the start."""
        self._own = own

    def drop(self) -> None:
        """Forget what was ordered by an earlier term."""
        self._staging = {}

    def send(
        self,
        kind: OrderKind,
        record: GroupRecord,
        member: Member,
    ) -> None:
        """Order a member of a group."""
        order = Order(
            kind,
            record.service,
            member.target,
            record.group,
            record.epoch,
            record.model,
            tuple(one.target for one in record.members),
        )
        self._post(member, order)

    def join(self, record: GroupRecord) -> None:
        """Order all members to join."""
        for member in record.members:
            self._staging.pop(member.target, None)
            self.send(OrderKind.JOIN, record, member)

    def leave(self, record: GroupRecord) -> None:
        """Order all members to leave."""
        for member in record.members:
            self.send(OrderKind.LEAVE, record, member)

    def ask(self, record: GroupRecord, member: Member, now_s: float) -> None:
        """Ask an unlisted member whether it still holds its seat."""
        if now_s < self._asked.get(member.target, float('-inf')) + ASK_S:
            return
        self._asked[member.target] = now_s
        self.send(OrderKind.PROBE, record, member)

    def question(
        self,
        groups: Sequence[OwnedGroup],
        suspects: frozenset[TargetName],
        now_s: float,
    ) -> None:
        """Ask all members of the serving groups that suspects lead."""
        for held in groups:
            record = held.record
            is_serving = held.state is GroupState.SERVING
            if is_serving and record.head.target in suspects:
                for member in record.members:
                    self.ask(record, member, now_s)

    def stage(self, wanted: PlannedStaging, service: ServiceName) -> None:
        """Order a spare target to put a model on its host."""
        target = wanted.target
        self._staging[target.name] = wanted.model
        order = Order(OrderKind.STAGE, service, target.name, model=wanted.model)
        self._post(
            Member(target.name, target.address, target.started_at_ms), order
        )

    def note(self, settled: OrderSettled, now_s: float) -> None:
        """Avoid a target that did not join or stage."""
        order = settled.order
        if settled.outcome is OrderOutcome.TAKEN:
            return
        if order.kind is OrderKind.STAGE:
            self._staging.pop(order.target, None)
        if order.kind in {OrderKind.STAGE, OrderKind.JOIN}:
            self._suspects[order.target] = now_s + SUSPECT_S

    def suspects(self, now_s: float) -> frozenset[TargetName]:
        """Return the targets that are left out."""
        self._suspects = {
            name: until_s
            for name, until_s in self._suspects.items()
            if until_s > now_s
        }
        return frozenset(self._suspects)

    def staging(self, fleet: Fleet) -> frozenset[TargetName]:
        """Return the targets whose host is being given a model."""
        self._staging = {
            name: model
            for name, model in self._staging.items()
            if name in fleet.targets and model not in fleet.targets[name].staged
        }
        return frozenset(self._staging)

    def keep(self, fleet: Fleet) -> None:
        """End the couriers of targets that are gone."""
        self._couriers.keep(frozenset(fleet.targets))

    def _post(self, member: Member, order: Order) -> None:
        if self._own is not None:
            self._couriers.send(member.address, order, self._own)

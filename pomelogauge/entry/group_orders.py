"""Sends the owner's orders and quarantines targets that fail them."""

from collections.abc import Sequence

from ..decide.group_chart import GroupState
from ..decide.group_plan import PlannedStaging
from ..model.fleet import Fleet, GroupRecord, Member
from ..model.ids import ModelName, ServiceName, TargetName
from ..tasks.mailbox import Outbox
from .messages import Order, OrderKind, OrderOutcome, OrderSettled, OwnerMessage
from .order_sender import OrderSenderPool
from .owned_group import OwnedGroup

#: Seconds for which no groups are planned with a target that has failed an
#: order or missed a probe. An order without an answer may still be carried out
#: up to twelve seconds later.
QUARANTINE_S = 4.0
#: Least seconds between two probes of the same target.
PROBE_INTERVAL_S = 1.0


class GroupOrders:
    """Builds orders, sends them and tracks their failures.

    Used by the owner task.

    Parameters
    ----------
    senders
        Send the orders, each target's in a task of its own.

    """

    def __init__(self, senders: OrderSenderPool) -> None:
        """Start without orders."""
        self._senders = senders
        self._own: Outbox[OwnerMessage] | None = None
        self._quarantined_until_s: dict[TargetName, float] = {}
        self._staging: dict[TargetName, ModelName] = {}
        self._probed_at_s: dict[TargetName, float] = {}

    def listen_on(self, own: Outbox[OwnerMessage]) -> None:
        """Set where outcomes are posted; call before the start."""
        self._own = own

    def forget_staging(self) -> None:
        """Forget the models that were ordered to be staged in an earlier term."""
        self._staging = {}

    def send(
        self,
        kind: OrderKind,
        record: GroupRecord,
        member: Member,
    ) -> None:
        """Send a member of a group an order about this group."""
        order = Order(
            kind,
            record.service,
            member.target,
            record.group,
            record.epoch,
            record.model,
            tuple(other.target for other in record.members),
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

    def probe(self, record: GroupRecord, member: Member, now_s: float) -> None:
        """Ask a member whether it is still part of the group.

        Does nothing if the target was probed within ``PROBE_INTERVAL_S``.
        """
        if (
            now_s
            < self._probed_at_s.get(member.target, float('-inf'))
            + PROBE_INTERVAL_S
        ):
            return
        self._probed_at_s[member.target] = now_s
        self.send(OrderKind.PROBE, record, member)

    def probe_groups_of(
        self,
        groups: Sequence[OwnedGroup],
        suspects: frozenset[TargetName],
        now_s: float,
    ) -> None:
        """Probe all members of serving groups whose head is suspected.

        Requests reach only the head, but any lost member stalls the group.
        """
        for group in groups:
            record = group.record
            is_serving = group.state is GroupState.SERVING
            if is_serving and record.head.target in suspects:
                for member in record.members:
                    self.probe(record, member, now_s)

    def stage(self, wanted: PlannedStaging, service: ServiceName) -> None:
        """Order a spare target to copy a model to its host."""
        target = wanted.target
        self._staging[target.name] = wanted.model
        order = Order(OrderKind.STAGE, service, target.name, model=wanted.model)
        self._post(
            Member(target.name, target.address, target.started_at_ms), order
        )

    def record_outcome(self, settled: OrderSettled, now_s: float) -> None:
        """Quarantine a target that can't be used for a group for now.

        It did not accept to join or to stage, or did not answer a probe: a
        target that has crashed is listed until its row lapses.
        """
        order = settled.order
        if settled.outcome is OrderOutcome.TAKEN:
            return
        if order.kind is OrderKind.STAGE:
            self._staging.pop(order.target, None)
        if settled.outcome is OrderOutcome.WITHHELD:
            return
        if _is_unusable(settled):
            self._quarantined_until_s[order.target] = now_s + QUARANTINE_S

    def quarantined(self, now_s: float) -> frozenset[TargetName]:
        """Return the targets that are not used for new groups for now."""
        self._quarantined_until_s = {
            name: until_s
            for name, until_s in self._quarantined_until_s.items()
            if until_s > now_s
        }
        return frozenset(self._quarantined_until_s)

    def staging(self, fleet: Fleet) -> frozenset[TargetName]:
        """Return the targets that are still staging a model.

        A target is done once it lists the model as staged.
        """
        self._staging = {
            name: model
            for name, model in self._staging.items()
            if name in fleet.targets and model not in fleet.targets[name].staged
        }
        return frozenset(self._staging)

    def stop_unlisted_senders(self, fleet: Fleet) -> None:
        """Stop the senders of targets that are no longer listed."""
        self._senders.keep_only(frozenset(fleet.targets))

    def _post(self, member: Member, order: Order) -> None:
        if self._own is not None:
            self._senders.send(member.address, order, self._own)


def _is_unusable(settled: OrderSettled) -> bool:
    """Return whether an order that was not taken shows that of its target.

    A target that refuses a probe has answered: it is no member any more.
    """
    if settled.order.kind is OrderKind.PROBE:
        return settled.outcome is not OrderOutcome.REFUSED
    return settled.order.kind in {OrderKind.STAGE, OrderKind.JOIN}

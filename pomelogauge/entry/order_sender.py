"""Tasks that carry orders to targets, one for each target."""

from typing import Protocol

from ..model.ids import Address, TargetName
from ..model.log_parts import Part
from ..tasks.log import part_logger
from ..tasks.mailbox import Outbox
from ..tasks.task import Task
from .messages import Order, OrderOutcome, OrderSettled, OwnerMessage

_log = part_logger(Part.GROUPS)


class OrderLink(Protocol):
    """Sends orders to targets."""

    def send(self, address: Address, order: Order) -> OrderOutcome:
        """Send one order once and return what became of it."""


class OrderSender:
    """Carries the orders of one target; a hung one holds up no other.

    Parameters
    ----------
    address
        Where the target listens.
    link
        Sends orders; owned by this task.
    owner
        Learns what became of them.

    """

    def __init__(
        self,
        address: Address,
        link: OrderLink,
        owner: Outbox[OwnerMessage],
    ) -> None:
        """Start without a connection."""
        self._address = address
        self._link = link
        self._owner = owner

    def on_start(self) -> None:
        """Connect with the first order."""

    def on_message(self, message: Order) -> None:
        """Carry one order."""
        outcome = self._link.send(self._address, message)
        _log.info(
            'order %s to %s: %s',
            message.kind,
            message.target,
            outcome,
            extra={
                'target': message.target,
                'group': message.group,
                'epoch': message.epoch,
                'model': message.model,
            },
        )
        self._owner.post(OrderSettled(message, outcome))

    def on_timer(self) -> float | None:
        """Wait for orders only."""
        return None

    def on_stop(self) -> None:
        """Leave the connection to the process's end."""


class OrderSenderPool:
    """Couriers of all targets that have been sent orders.

    Used by the owner's task.
    """

    def __init__(self, link: OrderLink) -> None:
        """Start with none."""
        self._link = link
        self._couriers: dict[tuple[TargetName, Address], Task[Order]] = {}

    def send(
        self,
        address: Address,
        order: Order,
        owner: Outbox[OwnerMessage],
    ) -> None:
        """Leave an order with the target's courier."""
        key = order.target, address
        if key not in self._couriers:
            courier = OrderSender(address, self._link, owner)
            task: Task[Order] = Task(f'courier {order.target}', courier)
            task.start()
            self._couriers[key] = task
        self._couriers[key].post(order)

    def keep(self, names: frozenset[TargetName]) -> None:
        """End the couriers of all other targets."""
        for key in tuple(self._couriers):
            if key[0] not in names:
                self._couriers.pop(key).stop(0)

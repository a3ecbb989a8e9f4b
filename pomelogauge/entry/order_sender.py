"""Tasks that send orders to targets, one task for each target."""

from dataclasses import dataclass, replace
from typing import Protocol

from ..model.ids import Address, TargetName
from ..model.log_parts import Part
from ..tasks.clock import Clock
from ..tasks.log import part_logger
from ..tasks.mailbox import Outbox
from ..tasks.published import Published
from ..tasks.task import Task
from .messages import (
    Order,
    OrderKind,
    OrderOutcome,
    OrderSettled,
    OwnerMessage,
)
from .ownership import OwnershipStatus

_log = part_logger(Part.GROUPS)


class OrderLink(Protocol):
    """Sends orders to targets and blocks until they are answered."""

    def send(self, address: Address, order: Order) -> OrderOutcome:
        """Send an order once, without retries, and return its outcome."""


@dataclass(frozen=True)
class OrderPermit:
    """Whether this instance may send orders as the owner.

    An order may have waited behind others, and the process may have been
    paused, so each order is checked right before it is sent.

    Parameters
    ----------
    ownership
        Published by the owner's task.
    clock
        Local clock; it goes on during a suspension of the machine.

    """

    ownership: Published[OwnershipStatus]
    clock: Clock

    def term(self) -> int:
        """Return the term under which orders are issued now."""
        return self.ownership.latest().term

    def may_send(self, order: Order) -> bool:
        """Return whether an order may be sent now.

        A ``PROBE`` changes nothing and is always allowed.
        """
        if order.kind is OrderKind.PROBE:
            return True
        return self.ownership.latest().may_act(order.term, self.clock.now_s())


class OrderSender:
    """Sends the orders to one target, one after the other.

    Each target has a task of its own, so that a target that hangs delays no
    orders to others.

    Parameters
    ----------
    address
        ``host:port`` of the target.
    link
        Sends orders; owned by this task.
    permit
        Whether this instance may act as the owner.
    owner
        Where the outcomes are posted.
    former
        Stopped task that may still send earlier orders to the target.

    """

    def __init__(
        self,
        address: Address,
        link: OrderLink,
        permit: OrderPermit,
        owner: Outbox[OwnerMessage],
        former: Task[Order] | None = None,
    ) -> None:
        """Start without a connection."""
        self._address = address
        self._link = link
        self._permit = permit
        self._owner = owner
        self._former = former

    def on_start(self) -> None:
        """Wait until the former task has sent its orders.

        An order to leave must not overtake the order to join.
        """
        if self._former is not None:
            self._former.stop()
            self._former = None

    def on_message(self, message: Order) -> None:
        """Send an order, if that is still allowed, and post its outcome."""
        outcome = OrderOutcome.WITHHELD
        sent_s = self._permit.clock.now_s()
        if self._permit.may_send(message):
            outcome = self._link.send(self._address, message)
        _log.info(
            'order %s to target %s: %s',
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
        self._owner.post(OrderSettled(message, outcome, sent_s))

    def on_timer(self) -> float | None:
        """Return ``None``: the task only waits for orders."""
        return None

    def on_stop(self) -> None:
        """Do nothing; the connection ends with the process."""


class OrderSenderPool:
    """The senders of all targets that have been sent orders.

    Used by the owner's task.

    Parameters
    ----------
    link
        Shared by all senders.
    permit
        Whether this instance may act as the owner.

    """

    def __init__(self, link: OrderLink, permit: OrderPermit) -> None:
        """Start without senders; each starts with the first order."""
        self._link = link
        self._permit = permit
        self._senders: dict[tuple[TargetName, Address], Task[Order]] = {}
        self._stopped: dict[tuple[TargetName, Address], Task[Order]] = {}

    def send(
        self,
        address: Address,
        order: Order,
        owner: Outbox[OwnerMessage],
    ) -> None:
        """Queue an order; its outcome is posted to the owner's task."""
        key = order.target, address
        if key not in self._senders:
            sender = OrderSender(
                address,
                self._link,
                self._permit,
                owner,
                self._stopped.pop(key, None),
            )
            task: Task[Order] = Task(f'courier {order.target}', sender)
            task.start()
            self._senders[key] = task
        self._senders[key].post(replace(order, term=self._permit.term()))

    def keep_only(self, names: frozenset[TargetName]) -> None:
        """Stop the senders of all targets but the named ones.

        They send the orders that wait.
        """
        self._stopped = {
            key: task
            for key, task in self._stopped.items()
            if not task.has_ended
        }
        for key in tuple(self._senders):
            if key[0] not in names:
                task = self._senders.pop(key)
                task.stop(0)
                self._stopped[key] = task

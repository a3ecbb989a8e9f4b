"""State of a stand-in engine: loading, warmth and overfeeding."""

import uuid
from dataclasses import dataclass, replace
from enum import StrEnum

from ..charts.reader import load_chart
from ..model.ids import Address, Epoch, Incarnation, InstanceName, ReplicaId
from ..model.placement import EngineState, EngineStatus
from .engine_chart import ENGINE_WORDS, EngineAction, EngineEvent, EngineFacts

#: Orders whose outcome is remembered for repeats.
_ORDERS_KEPT = 256


class OrderKind(StrEnum):
    """What an order asks for."""

    LOAD = 'load'
    UNLOAD = 'unload'


@dataclass(frozen=True)
class OrderMember:
    """A member of the replica as named by an order."""

    instance: InstanceName
    address: Address
    rank: int


@dataclass(frozen=True)
class EngineOrder:
    """An order as it arrives at an engine."""

    order: str
    kind: OrderKind
    replica: ReplicaId
    epoch: Epoch
    rank: int = 0
    members: tuple[OrderMember, ...] = ()


@dataclass(frozen=True)
class OrderAccepted:
    """The order was carried out."""


@dataclass(frozen=True)
class StaleFencingToken:
    """The order's fencing number is lower than that of an earlier one."""

    epoch: Epoch


OrderOutcome = OrderAccepted | StaleFencingToken


class Admission(StrEnum):
    """Whether an engine takes a request."""

    ACCEPTED = 'accepted'
    WRONG_REPLICA = 'wrong_replica'
    OVERLOADED = 'overloaded'
    FELL_OVER = 'fell_over'


@dataclass(frozen=True)
class EngineLimits:
    """What an engine bears.

    Parameters
    ----------
    cold_slots
        Requests at once right after a load.
    slots
        Requests at once when warm.
    warm_after
        Completed requests that raise what it bears by one.
    ignore_fence
        Orders with an old fencing number are carried out.

    """

    cold_slots: int = 2
    slots: int = 16
    warm_after: int = 1
    ignore_fence: bool = False


class EngineModel:
    """What one engine holds; has no clock and no sockets.

    Parameters
    ----------
    name
        Name of the instance.
    limits
        What it bears.

    """

    def __init__(self, name: InstanceName, limits: EngineLimits) -> None:
        """Start empty."""
        self.members: tuple[OrderMember, ...] = ()
        self.load_due_s: float | None = None
        #: Raised whenever all running requests are lost.
        self.generation = 0
        self._limits = limits
        self._chart = load_chart('standin_engine', ENGINE_WORDS)
        self._outcomes: dict[str, OrderOutcome] = {}
        self._status = EngineStatus(
            instance=name,
            incarnation=_new_incarnation(),
            state=self._chart.initial,
        )

    @property
    def status(self) -> EngineStatus:
        """Return the present status, load included."""
        return replace(
            self._status,
            current_capacity=self._current_capacity(),
            capacity=self._limits.slots,
        )

    def order(self, order: EngineOrder, due_s: float) -> OrderOutcome:
        """Carry out an order, or answer a repeated one as before.

        Parameters
        ----------
        order
            The order.
        due_s
            When a load that starts now will be done.

        """
        if order.order not in self._outcomes:
            self._outcomes[order.order] = self._carry_out(order, due_s)
        if len(self._outcomes) > _ORDERS_KEPT:
            self._outcomes.pop(next(iter(self._outcomes)))
        return self._outcomes[order.order]

    def tick(self, now_s: float) -> None:
        """Finish a load that is due."""
        if self.load_due_s is not None and self.load_due_s <= now_s:
            self.load_due_s = None
            self._step(EngineEvent.LOADED, EngineFacts())

    def admit(self, replica: ReplicaId, epoch: Epoch) -> Admission:
        """Take a request, refuse it or fall over under it."""
        status = self._status
        named = (replica, epoch, 0)
        if named != (status.replica, status.epoch, status.rank):
            return Admission.WRONG_REPLICA
        if status.state is not EngineState.READY:
            return Admission.OVERLOADED
        if status.running >= self._limits.slots:
            return Admission.OVERLOADED
        if status.running >= self._current_capacity():
            self.crash()
            return Admission.FELL_OVER
        self._status = replace(status, running=status.running + 1)
        return Admission.ACCEPTED

    def end(self, *, completed: bool) -> None:
        """Take note that a request of this generation has ended."""
        self._status = replace(
            self._status,
            running=self._status.running - 1,
            completed=self._status.completed + int(completed),
        )

    def crash(self) -> None:
        """Lose everything and start again."""
        self._step(EngineEvent.FELL_OVER, EngineFacts())

    def reset_warm_up(self) -> None:
        """Turn cold without a new incarnation."""
        self._status = replace(self._status, completed=0)

    def _carry_out(self, order: EngineOrder, due_s: float) -> OrderOutcome:
        old = order.epoch < self._status.epoch
        if old and not self._limits.ignore_fence:
            return StaleFencingToken(self._status.epoch)
        if order.kind is OrderKind.LOAD:
            self._start_load(order, due_s)
        else:
            named = order.replica == self._status.replica
            self._step(
                EngineEvent.UNLOAD_ORDERED, EngineFacts(names_own_replica=named)
            )
            self._status = replace(self._status, epoch=order.epoch)
        return OrderAccepted()

    def _start_load(self, order: EngineOrder, due_s: float) -> None:
        self._step(EngineEvent.LOAD_ORDERED, EngineFacts())
        self.members = order.members
        self.load_due_s = due_s
        self._status = replace(
            self._status,
            replica=order.replica,
            epoch=order.epoch,
            rank=order.rank,
        )

    def _step(self, event: EngineEvent, facts: EngineFacts) -> None:
        move = self._chart.step(self._status.state, event, facts)
        self._status = replace(self._status, state=move.state)
        if move.action is EngineAction.RESTART:
            self._restart()
        elif move.action is not None:
            self._forget_replica()

    def _restart(self) -> None:
        self._forget_replica()
        self._outcomes = {}
        # Nothing is kept on a disk, so the fencing number is lost as well.
        self._status = replace(
            self._status,
            incarnation=_new_incarnation(),
            epoch=Epoch(0),
        )

    def _forget_replica(self) -> None:
        self.generation += 1
        self.members = ()
        self.load_due_s = None
        self._status = replace(
            self._status,
            replica=ReplicaId(''),
            rank=0,
            running=0,
            completed=0,
        )

    def _current_capacity(self) -> int:
        gained = self._status.completed // self._limits.warm_after
        return min(self._limits.slots, self._limits.cold_slots + gained)


def _new_incarnation() -> Incarnation:
    return Incarnation(uuid.uuid4().hex)

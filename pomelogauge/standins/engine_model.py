"""State of a stand-in engine: loading, warm-up and overload."""

import uuid
from dataclasses import dataclass, replace
from enum import StrEnum

from ..charts.reader import load_chart
from ..model.ids import Address, Epoch, Incarnation, InstanceName, ReplicaId
from ..model.placement import EngineState, EngineStatus
from .engine_chart import ENGINE_WORDS, EngineAction, EngineEvent, EngineFacts

#: Order outcomes kept for retries; the oldest is dropped first.
_ORDERS_KEPT = 256


class OrderKind(StrEnum):
    """Kind of an order."""

    LOAD = 'load'
    UNLOAD = 'unload'


@dataclass(frozen=True)
class OrderMember:
    """A member of the replica as listed in an order."""

    instance: InstanceName
    address: Address
    rank: int


@dataclass(frozen=True)
class EngineOrder:
    """An order to load or unload a replica."""

    order: str
    kind: OrderKind
    replica: ReplicaId
    epoch: Epoch
    rank: int = 0
    members: tuple[OrderMember, ...] = ()


@dataclass(frozen=True)
class OrderAccepted:
    """The order took effect."""


@dataclass(frozen=True)
class StaleFencingToken:
    """The order was refused: an earlier one had a higher fencing number."""

    epoch: Epoch


OrderOutcome = OrderAccepted | StaleFencingToken


class Admission(StrEnum):
    """Outcome of admission control for a request."""

    ACCEPTED = 'accepted'
    WRONG_REPLICA = 'wrong_replica'
    OVERLOADED = 'overloaded'
    FELL_OVER = 'fell_over'


@dataclass(frozen=True)
class EngineLimits:
    """Capacity of an engine.

    Parameters
    ----------
    cold_slots
        Concurrent requests that a cold engine serves without a crash.
    slots
        Concurrent requests that a warm engine serves.
    warm_after
        Completed requests that raise the capacity by one.
    ignore_fence
        Whether orders with a stale fencing number take effect, for tests
        of the checkers.

    """

    cold_slots: int = 2
    slots: int = 16
    warm_after: int = 1
    ignore_fence: bool = False


class EngineModel:
    """State of one engine without clock and sockets.

    Parameters
    ----------
    name
        Name of the instance.
    limits
        Capacity of the engine.

    """

    def __init__(self, name: InstanceName, limits: EngineLimits) -> None:
        """Start without a replica, with a new incarnation."""
        self.members: tuple[OrderMember, ...] = ()
        self.load_due_s: float | None = None
        #: Incremented whenever all running requests are lost.
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
        """Return the current status with the load."""
        return replace(
            self._status,
            current_capacity=self._current_capacity(),
            capacity=self._limits.slots,
        )

    def order(self, order: EngineOrder, due_s: float) -> OrderOutcome:
        """Carry out an order; a retry of a known order returns its outcome.

        Parameters
        ----------
        order
            The order.
        due_s
            Clock time at which a load that starts now completes.

        """
        if order.order not in self._outcomes:
            self._outcomes[order.order] = self._carry_out(order, due_s)
        if len(self._outcomes) > _ORDERS_KEPT:
            self._outcomes.pop(next(iter(self._outcomes)))
        return self._outcomes[order.order]

    def tick(self, now_s: float) -> None:
        """Complete the load if it is due."""
        if self.load_due_s is not None and self.load_due_s <= now_s:
            self.load_due_s = None
            self._step(EngineEvent.LOADED, EngineFacts())

    def admit(self, replica: ReplicaId, epoch: Epoch) -> Admission:
        """Admit a request, refuse it, or crash if cold and overloaded."""
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
        """Release the slot of a request of the current generation."""
        self._status = replace(
            self._status,
            running=self._status.running - 1,
            completed=self._status.completed + int(completed),
        )

    def crash(self) -> None:
        """Lose all state and restart with a new incarnation."""
        self._step(EngineEvent.FELL_OVER, EngineFacts())

    def reset_warm_up(self) -> None:
        """Return to cold capacity in the same incarnation."""
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
        # Nothing is persisted, so the fencing number is lost as well.
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

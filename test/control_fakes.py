"""Fakes shared by the tests of the controller."""

from dataclasses import dataclass, field
from typing import Generic, TypeVar

from returns.result import Failure, Result, Success

from pomelogauge.engines.protocols import (
    EngineError,
    EngineFault,
    LoadOrder,
    UnloadOrder,
)
from pomelogauge.model.ids import (
    Address,
    DataCentreName,
    DomainName,
    Incarnation,
    InstanceName,
)
from pomelogauge.model.placement import EngineState, EngineStatus
from pomelogauge.model.topology import Instance, InstanceRole

PostedT = TypeVar('PostedT')


@dataclass
class FakeClock:
    """Clock that the test sets, in seconds."""

    now: float = 100.0

    def now_s(self) -> float:
        return self.now


@dataclass
class RecordingTask(Generic[PostedT]):
    """Stands in for a task: records its messages and counts its stops."""

    posted: list[PostedT] = field(default_factory=list)
    stopped: int = 0
    has_ended: bool = True

    def post(self, message: PostedT) -> None:
        self.posted.append(message)

    def stop(self, timeout_s: float | None = None) -> None:
        self.stopped += 1


class FakeEngines:
    """Engines that load at once and check fencing numbers.

    Those in ``down`` refuse connections; those in ``hung`` don't answer.
    """

    def __init__(self, *instances: Instance) -> None:
        self.orders: list[LoadOrder | UnloadOrder] = []
        self.down: set[Address] = set()
        self.hung: set[Address] = set()
        #: Whether hung engines leave polls unanswered too, not only orders.
        self.hung_polls = True
        self.reports = {
            instance.address: EngineStatus(
                instance.name, Incarnation('i1'), EngineState.EMPTY
            )
            for instance in instances
        }

    def status(self, address: Address) -> Result[EngineStatus, EngineError]:
        if address in self.down:
            return Failure(EngineError(EngineFault.UNREACHABLE, 'down'))
        if self.hung_polls and address in self.hung:
            return Failure(EngineError(EngineFault.INTERRUPTED, 'hung'))
        return Success(self.reports[address])

    def load(
        self, address: Address, order: LoadOrder
    ) -> Result[EngineStatus, EngineError]:
        self.orders.append(order)
        report = self.reports[address]
        if order.replica.epoch < report.epoch:
            return Failure(EngineError(EngineFault.STALE_EPOCH, 'old'))
        self.reports[address] = EngineStatus(
            report.instance,
            report.incarnation,
            EngineState.READY,
            order.replica.replica,
            order.replica.epoch,
            order.rank,
            current_capacity=1,
            capacity=4,
        )
        return self.status(address)

    def close(self) -> None:
        self.closed = True

    def unload(
        self, address: Address, order: UnloadOrder
    ) -> Result[EngineStatus, EngineError]:
        self.orders.append(order)
        return self.status(address)


def engine(number: int) -> Instance:
    """Return a listed engine of data centre ``a`` and domain ``d``."""
    return Instance(
        InstanceName(f'e{number}'),
        InstanceRole.ENGINE,
        Address(f'127.0.0.1:{number}'),
        DataCentreName('a'),
        DomainName('d'),
        8,
    )

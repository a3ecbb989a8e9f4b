"""The task that polls one engine and sends it orders."""

import logging
from dataclasses import dataclass

from returns.result import Failure, Result

from ..engines.protocols import (
    EngineError,
    EngineFault,
    LoadOrder,
    OwnedEngineControl,
)
from ..model.placement import EngineStatus
from ..model.times import ControlTimes
from ..model.topology import Instance
from .clock import Clock
from .control_messages import (
    EngineObserved,
    OrderEnded,
    PollNow,
    SendOrder,
    WatchMessage,
    WatchReport,
)
from .mailbox import Outbox

_log = logging.getLogger(__name__)


@dataclass(frozen=True)
class EngineLinks:
    """Connections to one engine, touched by its task only.

    Parameters
    ----------
    polls
        With the deadline of a poll.
    orders
        With the deadline of an order.

    """

    polls: OwnedEngineControl
    orders: OwnedEngineControl


class EngineWatch:
    """Owns the connections to one engine, so that it holds up no other.

    Parameters
    ----------
    instance
        The engine.
    links
        Connections to it.
    owner
        Takes every outcome.
    times
        Periods.
    clock
        Own clock.

    """

    def __init__(
        self,
        instance: Instance,
        links: EngineLinks,
        owner: Outbox[WatchReport],
        times: ControlTimes,
        clock: Clock,
    ) -> None:
        """Poll at once."""
        self._instance = instance
        self._links = links
        self._owner = owner
        self._times = times
        self._clock = clock
        self._due_s = float('-inf')

    def on_start(self) -> None:
        """Do nothing; the first poll is due at once."""

    def on_message(self, message: WatchMessage) -> None:
        """Send an order, or poll sooner."""
        match message:
            case SendOrder():
                self._send(message)
            case PollNow():
                self._due_s = float('-inf')

    def on_timer(self) -> float | None:
        """Poll once an interval."""
        asked_at_s = self._clock.now_s()
        if asked_at_s < self._due_s:
            return self._due_s - asked_at_s
        self._due_s = asked_at_s + self._times.watch_interval_s
        outcome = self._links.polls.status(self._instance.address)
        seen = EngineObserved(
            self._instance.name,
            outcome.value_or(None),
            asked_at_s,
            _is_refused(outcome),
        )
        self._owner.post(seen)
        return max(self._due_s - self._clock.now_s(), 0)

    def on_stop(self) -> None:
        """Close the connections."""
        self._links.polls.close()
        self._links.orders.close()

    def _send(self, message: SendOrder) -> None:
        outcome = self._order(message)
        if isinstance(outcome, Failure):
            _log.warning(
                'replicas: %s refused an order of %s: %s',
                self._instance.name,
                message.replica,
                outcome.failure(),
            )
        accepted = not isinstance(outcome, Failure)
        ended = OrderEnded(message.replica, self._instance.name, accepted)
        self._owner.post(ended)
        # The order changes what the engine reports.
        self._due_s = float('-inf')

    def _order(self, message: SendOrder) -> Result[EngineStatus, EngineError]:
        control = self._links.orders
        address = self._instance.address
        # The order is built; nothing but the call follows the check.
        if self._clock.now_s() >= message.send_before_s:
            late = EngineError(EngineFault.INTERRUPTED, 'too late to be sent')
            return Failure(late)
        if isinstance(message.order, LoadOrder):
            return control.load(address, message.order)
        return control.unload(address, message.order)


def _is_refused(outcome: Result[EngineStatus, EngineError]) -> bool:
    if not isinstance(outcome, Failure):
        return False
    return outcome.failure().fault is EngineFault.UNREACHABLE

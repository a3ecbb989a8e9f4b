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
    """Connections to one engine, used by its task only.

    Parameters
    ----------
    polls
        Connection with the time-out of a poll.
    orders
        Connection with the time-out of an order.

    """

    polls: OwnedEngineControl
    orders: OwnedEngineControl


class EngineWatch:
    """Polls one engine; an engine that hangs delays this task only.

    Parameters
    ----------
    instance
        Engine to watch.
    links
        Connections to the engine; closed when the task stops.
    owner
        Gets the result of every poll and order.
    times
        Intervals and time-outs.
    clock
        Monotonic clock of this process.

    """

    def __init__(
        self,
        instance: Instance,
        links: EngineLinks,
        owner: Outbox[WatchReport],
        times: ControlTimes,
        clock: Clock,
    ) -> None:
        """Make the first poll due at once."""
        self._instance = instance
        self._links = links
        self._owner = owner
        self._times = times
        self._clock = clock
        self._due_s = float('-inf')

    def on_start(self) -> None:
        """Do nothing; the first poll is due at once."""

    def on_message(self, message: WatchMessage) -> None:
        """Send an order, or make the next poll due at once."""
        match message:
            case SendOrder():
                self._send(message)
            case PollNow():
                self._due_s = float('-inf')

    def on_timer(self) -> float | None:
        """Poll the engine once per watch interval."""
        polled_at_s = self._clock.now_s()
        if polled_at_s < self._due_s:
            return self._due_s - polled_at_s
        self._due_s = polled_at_s + self._times.watch_interval_s
        outcome = self._links.polls.status(self._instance.address)
        poll = EngineObserved(
            self._instance.name,
            outcome.value_or(None),
            polled_at_s,
            _is_refused(outcome),
        )
        self._owner.post(poll)
        return max(self._due_s - self._clock.now_s(), 0)

    def on_stop(self) -> None:
        """Close the connections."""
        self._links.polls.close()
        self._links.orders.close()

    def _send(self, message: SendOrder) -> None:
        outcome = self._order(message)
        if isinstance(outcome, Failure):
            _log.warning(
                'replicas: order to engine %s for %s failed: %s',
                self._instance.name,
                message.replica,
                outcome.failure(),
            )
        accepted = not isinstance(outcome, Failure)
        ended = OrderEnded(message.replica, self._instance.name, accepted)
        self._owner.post(ended)
        # Poll at once, since the order changes the state of the engine.
        self._due_s = float('-inf')

    def _order(self, message: SendOrder) -> Result[EngineStatus, EngineError]:
        control = self._links.orders
        address = self._instance.address
        # The check comes directly before the call, so that the order is not
        # sent after the lease may have expired.
        if self._clock.now_s() >= message.send_before_s:
            expired = EngineError(
                EngineFault.INTERRUPTED, 'order expired before it was sent'
            )
            return Failure(expired)
        if isinstance(message.order, LoadOrder):
            return control.load(address, message.order)
        return control.unload(address, message.order)


def _is_refused(outcome: Result[EngineStatus, EngineError]) -> bool:
    if not isinstance(outcome, Failure):
        return False
    return outcome.failure().fault is EngineFault.UNREACHABLE

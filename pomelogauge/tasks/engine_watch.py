"""The task that polls one engine."""

from ..engines.protocols import OwnedEngineControl
from ..model.times import ControlTimes
from ..model.topology import Instance
from .clock import Clock
from .control_messages import EngineSeen
from .mailbox import Outbox


class EngineWatch:
    """Owns one connection to one engine.

    Parameters
    ----------
    instance
        The engine.
    control
        Touched by this task only, with the deadline of a poll.
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
        control: OwnedEngineControl,
        owner: Outbox[EngineSeen],
        times: ControlTimes,
        clock: Clock,
    ) -> None:
        """Poll at once."""
        self._instance = instance
        self._control = control
        self._owner = owner
        self._times = times
        self._clock = clock
        self._due_s = float('-inf')

    def on_start(self) -> None:
        """Do nothing; the first poll is due at once."""

    def on_message(self, message: EngineSeen) -> None:
        """Take no messages."""

    def on_timer(self) -> float | None:
        """Poll once an interval."""
        asked_at_s = self._clock.now_s()
        if asked_at_s < self._due_s:
            return self._due_s - asked_at_s
        self._due_s = asked_at_s + self._times.watch_interval_s
        status = self._control.status(self._instance.address).value_or(None)
        seen = EngineSeen(self._instance.name, status, asked_at_s)
        self._owner.post(seen)
        return max(self._due_s - self._clock.now_s(), 0)

    def on_stop(self) -> None:
        """Close the connection."""
        self._control.close()

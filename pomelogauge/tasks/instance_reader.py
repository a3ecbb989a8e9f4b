"""The task that reads the platform's instance list."""

import logging
from random import Random

from returns.result import Success

from ..decide.spread import jittered_s
from ..tables.protocols import InstanceList
from .clock import Clock
from .mailbox import Outbox
from .messages import InstancesListed

_log = logging.getLogger(__name__)


class InstanceReader:
    """Reads the list at intervals; keeps silent while it can't be read.

    Parameters
    ----------
    instances
        Connection to the platform, owned by this task.
    subscribers
        Take each list that was read.
    pull_interval_s
        Seconds between two reads.
    clock
        Own clock.
    rng
        Source of the jitter.

    """

    def __init__(
        self,
        instances: InstanceList,
        subscribers: tuple[Outbox[InstancesListed], ...],
        pull_interval_s: float,
        clock: Clock,
        rng: Random,
    ) -> None:
        """Read at once when the task starts."""
        self._instances = instances
        self._subscribers = subscribers
        self._interval_s = pull_interval_s
        self._clock = clock
        self._rng = rng
        self._due_s = clock.now_s()

    def on_start(self) -> None:
        """Open nothing; the connection opens on use."""

    def on_message(self, message: None) -> None:
        """Take no messages."""

    def on_timer(self) -> float | None:
        """Read the list when it is due."""
        if self._clock.now_s() >= self._due_s:
            # A slow platform is asked again a full interval after it answered.
            self._read()
            wait_s = jittered_s(self._interval_s, self._rng)
            self._due_s = self._clock.now_s() + wait_s
        return max(0, self._due_s - self._clock.now_s())

    def on_stop(self) -> None:
        """Leave the connection to the process's end."""

    def _read(self) -> None:
        answer = self._instances.instances()
        if isinstance(answer, Success):
            listed = InstancesListed(answer.unwrap())
            for subscriber in self._subscribers:
                subscriber.post(listed)
            return
        _log.warning('instances: list not read: %s', answer.failure())

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
    """Reads the list at intervals; publishes nothing while reads fail.

    Parameters
    ----------
    instances
        Connection to the platform; used by this task only.
    subscribers
        Get each list that has been read.
    pull_interval_s
        Seconds between two reads, before jitter.
    clock
        Monotonic clock of this process.
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
        """Make the first read due at once."""
        self._instances = instances
        self._subscribers = subscribers
        self._interval_s = pull_interval_s
        self._clock = clock
        self._rng = rng
        self._due_s = clock.now_s()

    def on_start(self) -> None:
        """Do nothing; the connection opens on first use."""

    def on_message(self, message: None) -> None:
        """Ignore messages; none are sent to this task."""

    def on_timer(self) -> float | None:
        """Read the list when it is due."""
        if self._clock.now_s() >= self._due_s:
            # The interval counts from the answer, so that a slow platform is
            # not queried more often.
            self._read()
            wait_s = jittered_s(self._interval_s, self._rng)
            self._due_s = self._clock.now_s() + wait_s
        return max(0, self._due_s - self._clock.now_s())

    def on_stop(self) -> None:
        """Leave the connection open until the process ends."""

    def _read(self) -> None:
        answer = self._instances.instances()
        if isinstance(answer, Success):
            listed = InstancesListed(answer.unwrap())
            for subscriber in self._subscribers:
                subscriber.post(listed)
            return
        _log.warning(
            'instances: read of the instance list failed: %s', answer.failure()
        )

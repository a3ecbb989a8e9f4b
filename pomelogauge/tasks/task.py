"""A thread that alone touches its actor's sockets and state."""

import logging
import threading
from dataclasses import dataclass
from typing import Generic, Protocol, TypeVar

from .mailbox import Mailbox

MessageT = TypeVar('MessageT')
HandledT = TypeVar('HandledT', contravariant=True)

_log = logging.getLogger(__name__)


class Actor(Protocol[HandledT]):
    """State and sockets that one task owns."""

    def on_start(self) -> None:
        """Run once in the task before any message."""

    def on_message(self, message: HandledT) -> None:
        """Take one message."""

    def on_timer(self) -> float | None:
        """Do what is due.

        Returns
        -------
        float or None
            Seconds until something is due; ``None`` for never.

        """

    def on_stop(self) -> None:
        """Close what the actor owns."""


@dataclass(frozen=True)
class _Stop:
    """Asks the task to end after the messages before it."""


class Task(Generic[MessageT]):
    """Runs an actor in a thread of its own.

    Parameters
    ----------
    name
        Name of the thread.
    actor
        Touched by this thread only, once the task has started.

    """

    def __init__(self, name: str, actor: Actor[MessageT]) -> None:
        """Prepare the thread."""
        self.name = name
        self._actor = actor
        self._mailbox: Mailbox[MessageT | _Stop] = Mailbox()
        self._thread = threading.Thread(
            target=self._run,
            name=name,
            daemon=True,
        )

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def post(self, message: MessageT) -> None:
        """Leave a message for the actor."""
        self._mailbox.post(message)

    @property
    def has_ended(self) -> bool:
        """Whether the actor was stopped and touches nothing any more."""
        return not self._thread.is_alive()

    def stop(self, timeout_s: float | None = None) -> None:
        """Ask the task to end and wait for it."""
        self._mailbox.post(_Stop())
        if self._thread is not threading.current_thread():
            self._thread.join(timeout_s)

    def _run(self) -> None:
        self._guard(self._actor.on_start)
        timeout_s = self._due()
        while True:
            message = self._mailbox.take(timeout_s)
            if isinstance(message, _Stop):
                break
            if message is not None:
                self._deliver(message)
            timeout_s = self._due()
        self._guard(self._actor.on_stop)

    def _deliver(self, message: MessageT) -> None:
        # One bad message must not end the task and all that it owns.
        try:
            self._actor.on_message(message)
        except Exception:
            _log.exception('task %s failed on a message', self.name)

    def _due(self) -> float | None:
        try:
            return self._actor.on_timer()
        except Exception:
            _log.exception('task %s failed on its timer', self.name)
            return _RETRY_S

    def _guard(self, step: 'Step') -> None:
        try:
            step()
        except Exception:
            _log.exception('task %s failed', self.name)


class Step(Protocol):
    """A call without arguments."""

    def __call__(self) -> None:
        """Run the step."""


#: Seconds before a failed timer runs again.
_RETRY_S = 1.0

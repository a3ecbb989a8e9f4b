"""Tasks: threads that each own the sockets and the state of one actor."""

import logging
import threading
from dataclasses import dataclass
from typing import Generic, Protocol, TypeVar

from .mailbox import Mailbox

MessageT = TypeVar('MessageT')
HandledT = TypeVar('HandledT', contravariant=True)

_log = logging.getLogger(__name__)


class Actor(Protocol[HandledT]):
    """State and sockets that one task owns; called on its thread only."""

    def on_start(self) -> None:
        """Prepare the actor, before it receives any message."""

    def on_message(self, message: HandledT) -> None:
        """Handle one message."""

    def on_timer(self) -> float | None:
        """Do the work that is due; called after each message and time-out.

        Returns
        -------
        float or None
            Seconds until the next work is due; ``None`` when only a message
            can bring work.

        """

    def on_stop(self) -> None:
        """Close the sockets and connections that the actor owns."""


@dataclass(frozen=True)
class _Stop:
    """Asks the task to end once it has handled all earlier messages."""


class Task(Generic[MessageT]):
    """Runs an actor in a thread of its own.

    Parameters
    ----------
    name
        Name of the thread, also in log messages.
    actor
        Used by this thread only once the task has started.

    """

    def __init__(self, name: str, actor: Actor[MessageT]) -> None:
        """Create the thread without starting it."""
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
        """Queue a message for the actor and return at once."""
        self._mailbox.post(message)

    @property
    def has_ended(self) -> bool:
        """Whether the thread has ended, so that its state is at rest."""
        return not self._thread.is_alive()

    def stop(self, timeout_s: float | None = None) -> None:
        """Ask the task to end and wait for its thread.

        Parameters
        ----------
        timeout_s
            Longest wait in seconds, after which the thread may still run;
            ``None`` waits without limit. A task that stops itself does not
            wait.

        """
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
        # An error in one message must not end the task and lose its state.
        try:
            self._actor.on_message(message)
        except Exception:
            _log.exception('task %s: error in a message handler', self.name)

    def _due(self) -> float | None:
        try:
            return self._actor.on_timer()
        except Exception:
            _log.exception('task %s: error in the timer handler', self.name)
            return _RETRY_S

    def _guard(self, step: 'Step') -> None:
        try:
            step()
        except Exception:
            _log.exception('task %s: error at start or stop', self.name)


class Step(Protocol):
    """Function without arguments that starts or stops an actor."""

    def __call__(self) -> None:
        """Start or stop the actor."""


#: Seconds until a timer handler that raised an error is called again.
_RETRY_S = 1.0

"""The task that counts the requests that have not been answered wholly."""

from dataclasses import dataclass

from ..tasks.mailbox import Outbox
from ..tasks.shutdown_messages import RunningCount, RunningCountRequested


@dataclass(frozen=True)
class RequestRead:
    """A caller's request has been read."""


@dataclass(frozen=True)
class RequestFinished:
    """The answer to a request has been written, or its connection ended."""


InProgressMessage = RequestRead | RequestFinished | RunningCountRequested


class RequestsInProgress:
    """Counts requests from their read to the end of their answers.

    A shutdown waits until there are none. Slots at targets don't tell: a
    request has none before it is dispatched, and a buffered answer is written
    after its slot has been released.
    """

    def __init__(self) -> None:
        """Start without requests."""
        self._count = 0

    def on_start(self) -> None:
        """Do nothing; this task owns no connection."""

    def on_message(self, message: InProgressMessage) -> None:
        """Count a request, or reply with the count."""
        match message:
            case RequestRead():
                self._count += 1
            case RequestFinished():
                self._count -= 1
            case RunningCountRequested():
                self._reply(message.reply)

    def on_timer(self) -> float | None:
        """Return ``None``: the task only waits for messages."""
        return None

    def on_stop(self) -> None:
        """Do nothing; this task owns no connection."""

    def _reply(self, reply: Outbox[RunningCount]) -> None:
        reply.post(RunningCount(self._count))

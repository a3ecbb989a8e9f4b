"""The mailbox of a task."""

from queue import Empty, SimpleQueue
from typing import Generic, Protocol, TypeVar

MessageT = TypeVar('MessageT')
SentT = TypeVar('SentT', contravariant=True)


class Outbox(Protocol[SentT]):
    """Where a sender leaves messages; all that it sees of a mailbox."""

    def post(self, message: SentT) -> None:
        """Leave a message and return at once."""


class Mailbox(Generic[MessageT]):
    """Messages for one reader, in the order of their arrival."""

    def __init__(self) -> None:
        """Start empty."""
        self._queue: SimpleQueue[MessageT] = SimpleQueue()

    def post(self, message: MessageT) -> None:
        """Leave a message and return at once."""
        self._queue.put(message)

    def take(self, timeout_s: float | None = None) -> MessageT | None:
        """Block until a message comes or the time is over.

        Parameters
        ----------
        timeout_s
            Seconds; ``None`` waits without end.

        Returns
        -------
        MessageT or None
            ``None`` when no message came in time.

        """
        try:
            return self._queue.get(timeout=timeout_s)
        except Empty:
            return None

    def depth(self) -> int:
        """Return about how many messages wait."""
        return self._queue.qsize()

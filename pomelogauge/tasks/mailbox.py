"""Mailbox through which a task receives its messages."""

from queue import Empty, SimpleQueue
from typing import Generic, Protocol, TypeVar

MessageT = TypeVar('MessageT')
SentT = TypeVar('SentT', contravariant=True)


class Outbox(Protocol[SentT]):
    """The sending side of a mailbox, as other tasks have it."""

    def post(self, message: SentT) -> None:
        """Queue a message and return at once."""


class Mailbox(Generic[MessageT]):
    """Unbounded queue of messages for one reader, in order of arrival."""

    def __init__(self) -> None:
        """Create an empty mailbox."""
        self._queue: SimpleQueue[MessageT] = SimpleQueue()

    def post(self, message: MessageT) -> None:
        """Queue a message and return at once; any thread may call this."""
        self._queue.put(message)

    def take(self, timeout_s: float | None = None) -> MessageT | None:
        """Block until a message arrives or the time-out has passed.

        Parameters
        ----------
        timeout_s
            Longest wait in seconds; ``None`` waits without limit.

        Returns
        -------
        MessageT or None
            ``None`` when no message arrived in time.

        """
        try:
            return self._queue.get(timeout=timeout_s)
        except Empty:
            return None

    def depth(self) -> int:
        """Return the number of waiting messages.

        It is approximate while other threads post or take messages.
        """
        return self._queue.qsize()

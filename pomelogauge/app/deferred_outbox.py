"""An outbox whose reader is wired after it has been handed out."""

from typing import Generic, TypeVar

from ..tasks.mailbox import Outbox

MessageT = TypeVar('MessageT')


class DeferredOutbox(Generic[MessageT]):
    """Lets the composition root wire tasks that post to each other."""

    def __init__(self) -> None:
        """Start without a reader."""
        self._outbox: Outbox[MessageT] | None = None

    def connect(self, outbox: Outbox[MessageT]) -> None:
        """Set the reader; once, before any task starts."""
        self._outbox = outbox

    def post(self, message: MessageT) -> None:
        """Leave a message for the reader."""
        if self._outbox is not None:
            self._outbox.post(message)

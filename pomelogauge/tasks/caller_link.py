"""Detection of a caller that closes its connection, as a protocol type."""

from dataclasses import dataclass
from typing import Protocol

from .mailbox import Outbox


@dataclass(frozen=True)
class CallerLeft:
    """The caller has closed its connection."""


class CallerLink(Protocol):
    """Notifies a listener when the caller closes its connection."""

    def watch(self, listener: Outbox[CallerLeft]) -> None:
        """Notify this listener, once, when the caller leaves.

        It replaces the listener of an earlier call.
        """

    def unwatch(self) -> None:
        """Stop notifying; to be called before the connection is closed."""

    def has_left(self) -> bool:
        """Return whether the caller has closed its connection."""


class PermanentLink:
    """Link to a caller whose connection is not watched, as in tests."""

    def watch(self, listener: Outbox[CallerLeft]) -> None:
        """Ignore the listener, as the caller never leaves."""

    def unwatch(self) -> None:
        """Do nothing, as there is no listener."""

    def has_left(self) -> bool:
        """Return ``False``."""
        return False

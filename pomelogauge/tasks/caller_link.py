"""A caller's connection as its task sees it."""

from dataclasses import dataclass
from typing import Protocol

from .mailbox import Outbox


@dataclass(frozen=True)
class CallerLeft:
    """The caller has closed its connection."""


class CallerLink(Protocol):
    """Tells whether the caller is still there."""

    def watch(self, listener: Outbox[CallerLeft]) -> None:
        """Have this reader told, once, when the caller leaves."""

    def unwatch(self) -> None:
        """Tell nobody any more."""

    def has_left(self) -> bool:
        """Return whether the caller has left."""


class PermanentLink:
    """A link to a caller that never leaves."""

    def watch(self, listener: Outbox[CallerLeft]) -> None:
        """Have nothing to tell."""

    def unwatch(self) -> None:
        """Have told nobody."""

    def has_left(self) -> bool:
        """Return that the caller is there."""
        return False

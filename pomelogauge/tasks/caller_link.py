"""A caller's connection as its task sees it."""

from dataclasses import dataclass
from typing import Protocol

from .mailbox import Outbox


@dataclass(frozen=True)
class CallerLeft:
    """The caller has closed its connection."""


class CallerLink(Protocol):
    """Tells whether the caller is still there."""

    def watch(self, gone: Outbox[CallerLeft]) -> None:
        """Have this reader told, once, when the caller leaves."""

    def unwatch(self) -> None:
        """Tell nobody any more."""

    def is_gone(self) -> bool:
        """Return whether the caller has left."""


class LastingLink:
    """A link to a caller that never leaves."""

    def watch(self, gone: Outbox[CallerLeft]) -> None:
        """Have nothing to tell."""

    def unwatch(self) -> None:
        """Have told nobody."""

    def is_gone(self) -> bool:
        """Return that the caller is there."""
        return False

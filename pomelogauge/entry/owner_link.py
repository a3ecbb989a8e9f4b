"""What entry instances tell the owner, and what it tells them."""

from dataclasses import dataclass
from typing import Protocol

from returns.result import Result

from ..model.fleet import EntryInstance
from ..model.ids import Address, RowVersion, TargetName


@dataclass(frozen=True)
class EntryReport:
    """One report of one instance.

    Parameters
    ----------
    instance
        The instance.
    suspects
        Targets that were silent or lost a request since the last report.

    """

    instance: EntryInstance
    suspects: frozenset[TargetName] = frozenset()


@dataclass(frozen=True)
class MembershipSnapshot:
    """The owner's answer.

    Parameters
    ----------
    term
        Its term.
    renewal_version
        Row version of its last renewal.
    instances
        Living instances.

    """

    term: int
    renewal_version: RowVersion
    instances: tuple[EntryInstance, ...]


@dataclass(frozen=True)
class OwnerLinkError:
    """A report that was not answered.

    Parameters
    ----------
    message
        What was seen.
    is_refused
        Nothing listens there, or the process there is not the owner.

    """

    message: str
    is_refused: bool


class OwnerLink(Protocol):
    """Reports to the owner; used by one task."""

    def report(
        self,
        address: Address,
        report: EntryReport,
    ) -> Result[MembershipSnapshot, OwnerLinkError]:
        """Report once."""

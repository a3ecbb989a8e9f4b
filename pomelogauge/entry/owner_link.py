"""Reports of entry instances to the owner, and the owner's answer."""

from dataclasses import dataclass
from typing import Protocol

from returns.result import Result

from ..model.fleet import EntryInstance
from ..model.ids import Address, TargetName
from ..model.prompt_parts import PartEvidence, PartVerdicts
from ..model.store_version import StoreVersion
from ..model.target_limits import TargetLimit


@dataclass(frozen=True)
class SnapshotVersion:
    """Version of what the owner tells all: the list of instances, or limits.

    Parameters
    ----------
    term
        Term of the owner; zero where nothing has been told.
    count
        Number of the version within the term.

    """

    term: int = 0
    count: int = 0


#: Version of an instance that has been told nothing, and of what has none.
NO_SNAPSHOT = SnapshotVersion()


@dataclass(frozen=True)
class EntryReport:
    """Periodic report of one entry instance; it is its heartbeat too.

    Parameters
    ----------
    instance
        The reporting instance.
    suspects
        Targets that stalled or failed a request since the last report.
    known
        Version of the list of instances that it has.
    parts
        What it has seen of parts of prompts since the last report.
    limits
        Limits of targets that the owner does not know.
    known_limits
        Version of the owner's limits that it has.

    """

    instance: EntryInstance
    suspects: frozenset[TargetName] = frozenset()
    known: SnapshotVersion = NO_SNAPSHOT
    parts: PartEvidence = PartEvidence()
    limits: tuple[TargetLimit, ...] = ()
    known_limits: SnapshotVersion = NO_SNAPSHOT


@dataclass(frozen=True)
class MembershipSnapshot:
    """The owner's answer to a report: the entry instances that are alive.

    Parameters
    ----------
    term
        Term of the owner that answers.
    renewal_version
        Row version that the owner's last lease renewal gave. It shows the
        reporting instance that renewals still reach the store.
    instances
        Instances whose heartbeat has not timed out; empty if the reporting
        instance has this version of the list.
    version
        Version of the list; ``NO_SNAPSHOT`` from an owner without versions.
    parts
        Parts of prompts that are suspected or quarantined.
    limits
        Limits of targets; empty if the reporting instance has this version.
    limits_version
        Version of the limits; ``NO_SNAPSHOT`` from an owner without limits.

    """

    term: int
    renewal_version: StoreVersion
    instances: tuple[EntryInstance, ...]
    version: SnapshotVersion = NO_SNAPSHOT
    parts: PartVerdicts = PartVerdicts()
    limits: tuple[TargetLimit, ...] = ()
    limits_version: SnapshotVersion = NO_SNAPSHOT


@dataclass(frozen=True)
class OwnerLinkError:
    """A call to the owner that failed.

    Parameters
    ----------
    message
        Description of the failure, for the log.

    """

    message: str


class OwnerLink(Protocol):
    """Sends reports to the owner; used by one task."""

    def report(
        self,
        address: Address,
        report: EntryReport,
    ) -> Result[MembershipSnapshot, OwnerLinkError]:
        """Send a report once and wait for the answer."""

"""Decides whether a quorum of peers confirms the version in force."""

from collections.abc import Iterable
from dataclasses import dataclass

from ..model.ids import ConfigVersion, NodeName
from ..model.peers import PeerView
from ..model.phase import NodePhase
from ..model.topology import Instance
from .membership import PEER_ROLES


@dataclass(frozen=True)
class Voters:
    """Peers whose reports count towards the quorum.

    Half of the other peers together with this process are more than half of
    all, so that at most one side of a partition confirms its version.

    Parameters
    ----------
    names
        Routers and controllers of the last instance list that are not
        leaving, without this process.

    """

    names: frozenset[NodeName] = frozenset()

    def quorum(self) -> int:
        """Return how many of the peers must confirm; at least one."""
        return max(1, -(-len(self.names) // 2))


def voters_of(instances: Iterable[Instance], own: NodeName) -> Voters:
    """Return the voters of an instance list for the process named ``own``."""
    names = (
        NodeName(instance.name)
        for instance in instances
        if instance.role in PEER_ROLES and not instance.leaving
    )
    return Voters(frozenset(names) - {own})


def confirmation_age_s(
    peers: Iterable[PeerView],
    version: ConfigVersion,
    voters: Voters,
) -> float | None:
    """Return the seconds since a quorum last confirmed a version.

    A report confirms the version as of the time at which its sender made it,
    also when another peer passed it on. Reports that have crossed no link for
    some time are therefore as old as that.

    Parameters
    ----------
    peers
        Live peers.
    version
        Version in force here.
    voters
        Peers that count; if there are none, all live peers count.

    Returns
    -------
    float or None
        Age of the oldest report among the newest ones that form a quorum;
        ``None`` without a quorum. A peer that is starting or leaving confirms
        nothing, as it may never have had a version in force.

    """
    live = tuple(peers)
    if not voters.names:
        voters = Voters(frozenset(view.report.node for view in live))
    ages = sorted(
        view.age_s
        for view in live
        if view.report.node in voters.names and _confirms(view, version)
    )
    quorum = voters.quorum()
    return ages[quorum - 1] if len(ages) >= quorum else None


def _confirms(view: PeerView, version: ConfigVersion) -> bool:
    report = view.report
    return report.phase in _CONFIRMING and report.version <= version


#: Phases of processes that have certainly had a version in force.
_CONFIRMING = frozenset((NodePhase.READY, NodePhase.CUT_OFF))

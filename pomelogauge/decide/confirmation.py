"""Whose reports confirm the version in force."""

from collections.abc import Iterable
from dataclasses import dataclass

from ..model.ids import ConfigVersion, NodeName
from ..model.peers import NodePhase, PeerView
from ..model.topology import Instance
from .membership import PEER_ROLES


@dataclass(frozen=True)
class Voters:
    """Peers of the last instance list, without this process.

    Half of the others and this process are more than half of all, so that
    of two sides of a partition one at most confirms itself.

    Parameters
    ----------
    names
        Routers and controllers that stay.

    """

    names: frozenset[NodeName] = frozenset()

    def needed(self) -> int:
        """Return how many of them must confirm; at least one."""
        return max(1, -(-len(self.names) // 2))


def voters_of(instances: Iterable[Instance], own: NodeName) -> Voters:
    """Return the voters that an instance list names."""
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
    """Return for how long a version has been without confirmation.

    A report confirms the version at the time at which its maker made it,
    whoever passed it on: what crossed no link for some time is that old.

    Parameters
    ----------
    peers
        Live peers.
    version
        Version in force.
    voters
        Peers of the last list; without any, all live peers vote.

    Returns
    -------
    float or None
        Age of the oldest of the newest reports that together are enough;
        ``None`` when too few confirm it. A peer that starts, or that may
        have left before it had a version, confirms none.

    """
    heard = tuple(peers)
    if not voters.names:
        voters = Voters(frozenset(view.report.node for view in heard))
    ages = sorted(
        view.age_s
        for view in heard
        if view.report.node in voters.names and _confirms(view, version)
    )
    needed = voters.needed()
    return ages[needed - 1] if len(ages) >= needed else None


def _confirms(view: PeerView, version: ConfigVersion) -> bool:
    report = view.report
    return report.phase in _CONFIRMING and report.version <= version


#: Phases of processes that have had a version in force.
_CONFIRMING = frozenset((NodePhase.READY, NodePhase.CUT_OFF))

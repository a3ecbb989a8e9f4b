"""Which routers to name to a caller."""

from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass

from ..model.ids import NO_VERSION, Address, DataCentreName, NodeName
from ..model.peers import NodePhase, NodeReport, PeerView
from ..model.topology import Instance, InstanceRole


@dataclass(frozen=True)
class RouterFacts:
    """What the choice of routers depends on.

    Parameters
    ----------
    own
        Report of this process.
    peers
        Live peers.
    leaving
        Nodes that the instance list announces as leaving.
    drained
        Data centres that receive no new work.
    listed
        Routers of the instance list.

    """

    own: NodeReport
    peers: tuple[PeerView, ...]
    leaving: frozenset[NodeName] = frozenset()
    drained: frozenset[DataCentreName] = frozenset()
    listed: tuple[Instance, ...] = ()


@dataclass(frozen=True)
class RouterChoice:
    """Routers that may be named.

    Parameters
    ----------
    near
        In the own data centre.
    far
        In other data centres.

    """

    near: tuple[Address, ...]
    far: tuple[Address, ...]


def choose_routers(facts: RouterFacts) -> RouterChoice:
    """Return the routers that take new work.

    Those behind the own version come second: they may not know yet what was
    taken out, but either learn it or are cut off. Where nobody known takes
    work, a partition may hide some: the listed ones that are silent here are
    named, else this one, if it stays and has a configuration.
    """
    reports = (facts.own, *(view.report for view in facts.peers))
    open_now = [report for report in reports if _takes_work(report, facts)]
    newest = [at for at in open_now if at.version >= facts.own.version]
    fit: Sequence[NodeReport | Instance] = newest or open_now
    fit = fit or tuple(_silent(facts))
    has_version = facts.own.version != NO_VERSION
    if not fit and has_version and _stays(facts.own, facts):
        fit = (facts.own,)
    own_centre = facts.own.data_centre
    return RouterChoice(
        _addresses(at for at in fit if at.data_centre == own_centre),
        _addresses(at for at in fit if at.data_centre != own_centre),
    )


def order_routers(
    choice: RouterChoice,
    turn: int,
    limit: int,
) -> tuple[Address, ...]:
    """Return addresses for one caller, best first.

    Parameters
    ----------
    choice
        Routers that may be named.
    turn
        Rises with each answer, so that callers spread over the routers.
    limit
        Most addresses in one answer.

    """
    near = _rotated(choice.near, turn)
    far = _rotated(choice.far, turn)
    return (near + far)[:limit]


def _takes_work(report: NodeReport, facts: RouterFacts) -> bool:
    return (
        _stays(report, facts)
        and report.phase is NodePhase.READY
        and report.data_centre not in facts.drained
    )


def _stays(report: NodeReport, facts: RouterFacts) -> bool:
    return (
        report.role is InstanceRole.ROUTER
        and report.phase is not NodePhase.LEAVING
        and report.node not in facts.leaving
    )


def _silent(facts: RouterFacts) -> Iterator[Instance]:
    heard = {facts.own.node, *(view.report.node for view in facts.peers)}
    for instance in facts.listed:
        is_silent = NodeName(instance.name) not in heard
        is_in_service = instance.data_centre not in facts.drained
        if is_silent and is_in_service and not instance.leaving:
            yield instance


def _addresses(
    routers: Iterable[NodeReport | Instance],
) -> tuple[Address, ...]:
    return tuple(sorted(router.address for router in routers))


def _rotated(
    addresses: Sequence[Address],
    turn: int,
) -> tuple[Address, ...]:
    if not addresses:
        return ()
    start = turn % len(addresses)
    return (*addresses[start:], *addresses[:start])

"""Chooses the routers whose addresses callers are given."""

from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass

from ..model.ids import NO_VERSION, Address, DataCentreName, NodeName
from ..model.peers import NodeReport, PeerView
from ..model.phase import NodePhase
from ..model.topology import Instance, InstanceRole


@dataclass(frozen=True)
class RouterFacts:
    """Input of the choice of routers.

    Parameters
    ----------
    own
        Report of this process.
    peers
        Views of the live peers.
    leaving
        Nodes that the instance list announces as leaving.
    drained
        Data centres that receive no new requests.
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
    """Addresses of the chosen routers.

    Parameters
    ----------
    near
        Routers in the own data centre.
    far
        Routers in other data centres.

    """

    near: tuple[Address, ...]
    far: tuple[Address, ...]


def choose_routers(facts: RouterFacts) -> RouterChoice:
    """Return the routers that take new requests.

    Routers with at least the own version are preferred; the others are chosen
    only without any of these. They may not know yet what the newer version
    has drained, but soon either learn of it or are cut off. If no known router
    takes requests, a partition may hide some: the listed routers without a
    live report are chosen, and without any of these this process, unless it
    is leaving or has no configuration.
    """
    reports = (facts.own, *(view.report for view in facts.peers))
    serving = [report for report in reports if _takes_requests(report, facts)]
    newest = [
        report for report in serving if report.version >= facts.own.version
    ]
    chosen: Sequence[NodeReport | Instance] = newest or serving
    chosen = chosen or tuple(_listed_only(facts))
    has_version = facts.own.version != NO_VERSION
    if not chosen and has_version and _is_staying(facts.own, facts):
        chosen = (facts.own,)
    own_centre = facts.own.data_centre
    return RouterChoice(
        _addresses(
            router for router in chosen if router.data_centre == own_centre
        ),
        _addresses(
            router for router in chosen if router.data_centre != own_centre
        ),
    )


def order_routers(
    choice: RouterChoice,
    turn: int,
    limit: int,
) -> tuple[Address, ...]:
    """Return the addresses for one caller, the preferred one first.

    Parameters
    ----------
    choice
        Chosen routers.
    turn
        Number of the answer, by which the lists are rotated so that callers
        spread over the routers.
    limit
        Most addresses in one answer.

    """
    near = _rotated(choice.near, turn)
    far = _rotated(choice.far, turn)
    return (near + far)[:limit]


def _takes_requests(report: NodeReport, facts: RouterFacts) -> bool:
    return (
        _is_staying(report, facts)
        and report.phase is NodePhase.READY
        and report.data_centre not in facts.drained
    )


def _is_staying(report: NodeReport, facts: RouterFacts) -> bool:
    return (
        report.role is InstanceRole.ROUTER
        and report.phase is not NodePhase.LEAVING
        and report.node not in facts.leaving
    )


def _listed_only(facts: RouterFacts) -> Iterator[Instance]:
    reported = {facts.own.node, *(view.report.node for view in facts.peers)}
    for instance in facts.listed:
        is_unreported = NodeName(instance.name) not in reported
        is_in_service = instance.data_centre not in facts.drained
        if is_unreported and is_in_service and not instance.leaving:
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

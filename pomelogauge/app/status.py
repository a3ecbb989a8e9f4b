"""Renders the status of peers for operators."""

from collections.abc import Iterator
from dataclasses import dataclass

from returns.result import Success

from ..model.peers import NodeReport
from ..model.placement import ReplicaView
from ..tasks.links import PeerLinks
from ..tasks.messages import NodeStatus
from .peer_finder import QueriedPeer


@dataclass(frozen=True)
class PeerStatus:
    """What one peer answered.

    Parameters
    ----------
    lines
        Lines for the operator.
    is_silent
        It did not answer.

    """

    lines: tuple[str, ...]
    is_silent: bool = False


def query_status(
    links: PeerLinks,
    peers: tuple[QueriedPeer, ...],
) -> Iterator[PeerStatus]:
    """Yield the status of each peer.

    Parameters
    ----------
    links
        Links to peers.
    peers
        Peers to ask.

    """
    for peer in peers:
        status = links.status(peer.address)
        if isinstance(status, Success):
            yield PeerStatus(tuple(_peer_lines(status.unwrap())))
        else:
            message = status.failure().message
            line = f'{peer}: no answer: {message}'
            yield PeerStatus((line,), is_silent=True)


def _peer_lines(status: NodeStatus) -> Iterator[str]:
    yield _report_line(status.sender)
    for peer in status.peers:
        yield f'  peer {_report_line(peer.report)}, {peer.age_s:.1f} s old'
    for shard in status.shards:
        yield f'  shard {shard}'
    for view in status.views:
        yield f'  replica {_view_line(view)}'


def _view_line(view: ReplicaView) -> str:
    replica = view.replica
    state = 'serving' if view.serving else replica.state
    warmth = 'warm' if 0 < view.capacity <= view.current_capacity else 'cold'
    centres = sorted({member.data_centre for member in replica.members})
    return (
        f'{replica.replica} of {replica.deployment} '
        f'in {", ".join(centres)}: {state}, {warmth}, '
        f'{view.running} running, bears {view.current_capacity} of {view.capacity}'
    )


def _report_line(report: NodeReport) -> str:
    return (
        f'{report.node}: {report.role} in {report.data_centre}, '
        f'{report.phase}, version {report.version}'
    )

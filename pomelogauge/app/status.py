"""Renders the status of peers for operators."""

from collections.abc import Iterator

from returns.pipeline import is_successful

from ..model.ids import Address
from ..model.peers import NodeReport
from ..tasks.links import PeerLinks
from ..tasks.messages import NodeStatus


def status_lines(
    links: PeerLinks,
    peers: tuple[Address, ...],
) -> Iterator[str]:
    """Yield the lines that tell of each peer.

    Parameters
    ----------
    links
        Links to peers.
    peers
        Peers to ask.

    """
    for address in peers:
        status = links.status(address)
        if is_successful(status):
            yield from _peer_lines(status.unwrap())
        else:
            yield f'{address}: no answer: {status.failure().message}'


def _peer_lines(status: NodeStatus) -> Iterator[str]:
    yield _report_line(status.sender)
    for peer in status.peers:
        yield f'  peer {_report_line(peer.report)}, {peer.age_s:.1f} s old'
    for shard in status.shards:
        yield f'  shard {shard}'
    for view in status.views:
        replica = view.replica
        state = 'serving' if view.serving else replica.state
        yield (
            f'  replica {replica.replica} of {replica.deployment}: {state}, '
            f'{view.running} running, bears {view.bearable}'
        )


def _report_line(report: NodeReport) -> str:
    return (
        f'{report.node}: {report.role} in {report.data_centre}, '
        f'{report.phase}, version {report.version}'
    )

"""Waits until a version is in force in every live process."""

from collections.abc import Iterator
from dataclasses import dataclass

from returns.result import Success

from ..decide.publication import lagging
from ..model.errors import UserError
from ..model.ids import ConfigVersion, NodeName
from ..model.peers import NodeReport
from ..tasks.clock import Clock
from ..tasks.links import PeerLinks
from ..tasks.mailbox import Mailbox
from .peer_finder import QueriedPeer

#: Seconds between status requests to all peers.
_POLL_INTERVAL_S = 0.1


@dataclass(frozen=True)
class VersionWait:
    """Whom to poll for a version and for how long.

    Parameters
    ----------
    links
        Links to peers.
    peers
        Peers to ask; they name the other live processes.
    clock
        Monotonic clock of the limit.
    limit_s
        Seconds after which waiting fails.

    """

    links: PeerLinks
    peers: tuple[QueriedPeer, ...]
    clock: Clock
    limit_s: float


def wait_in_force(waiting: VersionWait, version: ConfigVersion) -> None:
    """Poll the peers until every live process reports a version.

    Raises
    ------
    UserError
        A live process does not report the version within the limit; the
        message names all of them.

    """
    until_s = waiting.clock.now_s() + waiting.limit_s
    pause: Mailbox[None] = Mailbox()
    late = _late(waiting, version)
    while late:
        if waiting.clock.now_s() >= until_s:
            nodes = ', '.join(late)
            raise UserError(f'version {version} is not in force at {nodes}')
        pause.take(_POLL_INTERVAL_S)
        late = _late(waiting, version)


def _late(waiting: VersionWait, version: ConfigVersion) -> tuple[str, ...]:
    unanswered: list[QueriedPeer] = []
    reports: list[NodeReport] = []
    for peer in waiting.peers:
        received = tuple(_reports(waiting.links, peer))
        reports.extend(received)
        if not received:
            unanswered.append(peer)
    live = {report.node for report in reports}
    missing = [
        f'{node} (no answer)' for node in unanswered if _may_be_live(node, live)
    ]
    return (*missing, *lagging(reports, version))


def _may_be_live(peer: QueriedPeer, live: set[NodeName]) -> bool:
    """Return whether a peer that did not answer may still accept work.

    The platform's list lags behind: a listed peer that no other peer
    reports any more has ended.
    """
    return not live or not peer.node or peer.node in live


def _reports(links: PeerLinks, peer: QueriedPeer) -> Iterator[NodeReport]:
    status = links.status(peer.address)
    if isinstance(status, Success):
        yield status.unwrap().sender
        for view in status.unwrap().peers:
            yield view.report

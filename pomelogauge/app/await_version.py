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

#: Seconds between questions to peers while waiting.
_ASK_INTERVAL_S = 0.1


@dataclass(frozen=True)
class VersionWait:
    """How to wait.

    Parameters
    ----------
    links
        Links to peers.
    peers
        Peers to ask; they name the other live processes.
    clock
        Measures the limit.
    limit_s
        Seconds after which waiting fails.

    """

    links: PeerLinks
    peers: tuple[QueriedPeer, ...]
    clock: Clock
    limit_s: float


def wait_in_force(waiting: VersionWait, version: ConfigVersion) -> None:
    """Return once every live process reports a version.

    Raises
    ------
    UserError
        A process had not reported the version in time.

    """
    until_s = waiting.clock.now_s() + waiting.limit_s
    pause: Mailbox[None] = Mailbox()
    late = _late(waiting, version)
    while late:
        if waiting.clock.now_s() >= until_s:
            named = ', '.join(late)
            raise UserError(f'version {version} is not in force at {named}')
        pause.take(_ASK_INTERVAL_S)
        late = _late(waiting, version)


def _late(waiting: VersionWait, version: ConfigVersion) -> tuple[str, ...]:
    silent: list[QueriedPeer] = []
    reports: list[NodeReport] = []
    for peer in waiting.peers:
        found = tuple(_reports(waiting.links, peer))
        reports.extend(found)
        if not found:
            silent.append(peer)
    live = {report.node for report in reports}
    named = [f'{quiet} (no answer)' for quiet in silent if _counts(quiet, live)]
    return (*named, *lagging(reports, version))


def _counts(peer: QueriedPeer, live: set[NodeName]) -> bool:
    """Return whether a silent peer may still take work.

    The list lags: a listed peer that no other one hears any more is gone.
    """
    return not live or not peer.node or peer.node in live


def _reports(links: PeerLinks, peer: QueriedPeer) -> Iterator[NodeReport]:
    status = links.status(peer.address)
    if isinstance(status, Success):
        yield status.unwrap().sender
        for view in status.unwrap().peers:
            yield view.report

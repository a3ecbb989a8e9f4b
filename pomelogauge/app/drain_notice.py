"""Waits for capacity elsewhere before a data centre is drained."""

from collections.abc import Iterator
from dataclasses import dataclass

from returns.result import Success

from ..decide.readiness import Readiness, readiness
from ..model.manifest import Configuration
from ..model.placement import ReplicaView
from ..tasks.clock import Clock
from ..tasks.links import PeerLinks
from ..tasks.mailbox import Mailbox
from .peer_finder import QueriedPeer

#: Seconds between questions to controllers.
_ASK_INTERVAL_S = 0.5


@dataclass(frozen=True)
class DrainNotice:
    """How long to wait and whom to ask.

    Parameters
    ----------
    links
        Links to peers.
    peers
        Routers and controllers; controllers say which replicas they have.
    clock
        Measures the notice.
    notice_s
        Seconds after which the data centre goes out in any case.

    """

    links: PeerLinks
    peers: tuple[QueriedPeer, ...]
    clock: Clock
    notice_s: float


def wait_for_capacity(
    notice: DrainNotice,
    configuration: Configuration,
) -> tuple[Readiness, ...]:
    """Return what is not ready once all is ready or the notice is over.

    Parameters
    ----------
    notice
        How long to wait and whom to ask.
    configuration
        Published configuration that prepares the data centre.

    """
    until_s = notice.clock.now_s() + notice.notice_s
    pause: Mailbox[None] = Mailbox()
    short = _short(notice, configuration)
    while short and notice.clock.now_s() < until_s:
        pause.take(min(_ASK_INTERVAL_S, notice.notice_s))
        short = _short(notice, configuration)
    return short


def _short(
    notice: DrainNotice,
    configuration: Configuration,
) -> tuple[Readiness, ...]:
    found = readiness(configuration, _views(notice))
    return tuple(one for one in found if not one.is_ready)


def _views(notice: DrainNotice) -> Iterator[ReplicaView]:
    for peer in notice.peers:
        status = notice.links.status(peer.address)
        if isinstance(status, Success):
            yield from status.unwrap().views

"""Decides which peers are live and to which ones to send gossip."""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from random import Random

from ..model.ids import Address, NodeName
from ..model.peers import NodeReport, PeerView
from ..model.topology import Instance, InstanceRole

#: Roles that take part in gossip.
PEER_ROLES = frozenset((InstanceRole.ROUTER, InstanceRole.CONTROLLER))
#: A peer is forgotten when its newest report is this many live time-outs old.
_FORGET_AFTER_TIMEOUTS = 4


@dataclass(frozen=True)
class GossipSettings:
    """Periods and fan-out of the gossip of a process.

    Parameters
    ----------
    interval_s
        Least seconds between two rounds.
    interval_s_per_peer
        Least seconds between two rounds for each known peer. Each message
        names all peers, so this bounds the traffic of a node.
    fan_out
        Peers to which one round sends.
    crowd
        With more peers than this, a round sends to one peer only.
    live_s
        Seconds for which a peer is live after its newest report was made.
    live_s_per_peer
        Added to ``live_s`` for each known peer, as reports take longer to
        reach all of many peers.

    """

    interval_s: float = 0.5
    interval_s_per_peer: float = 0.0036
    fan_out: int = 2
    crowd: int = 24
    live_s: float = 4.0
    live_s_per_peer: float = 0.026

    def targets(self, peers: int) -> int:
        """Return the number of peers to which one round sends."""
        return 1 if peers > self.crowd else self.fan_out

    def round_s(self, peers: int) -> float:
        """Return the seconds between two rounds for a number of peers."""
        return max(self.interval_s, self.interval_s_per_peer * peers)

    def live_timeout_s(self, peers: int) -> float:
        """Return the seconds for which a report keeps a peer live."""
        return self.live_s + self.live_s_per_peer * peers


@dataclass(frozen=True)
class KnownPeer:
    """The newest report of a peer and its times by the local clock.

    Parameters
    ----------
    report
        Newest report of the peer.
    made_at_s
        Local clock when the peer made the report, from the age that was
        received with it.
    direct_at_s
        Local clock at the last message from the peer itself; ``None`` if it
        was reported by other peers only.

    """

    report: NodeReport
    made_at_s: float
    direct_at_s: float | None = None


#: Known peers by name, live or not.
KnownPeers = Mapping[NodeName, KnownPeer]


def merge_views(
    known: KnownPeers,
    own: NodeName,
    views: Iterable[PeerView],
    now_s: float,
) -> dict[NodeName, KnownPeer]:
    """Return the known peers, updated by the views of another peer.

    Parameters
    ----------
    known
        Peers known before.
    own
        Name of this node; views of it are ignored.
    views
        Views received; their ages were computed by the sender.
    now_s
        Local clock.

    """
    merged = dict(known)
    for view in views:
        node = view.report.node
        if node == own:
            continue
        merged[node] = _newer_of(merged.get(node), view, now_s)
    return merged


def drop_expired(
    known: KnownPeers,
    live_timeout_s: float,
    now_s: float,
) -> dict[NodeName, KnownPeer]:
    """Return the known peers without those that are to be forgotten."""
    oldest_s = now_s - live_timeout_s * _FORGET_AFTER_TIMEOUTS
    return {
        node: peer for node, peer in known.items() if peer.made_at_s > oldest_s
    }


def live_views(
    known: KnownPeers,
    live_timeout_s: float,
    now_s: float,
) -> tuple[PeerView, ...]:
    """Return views of the live peers in the order of their names."""
    return tuple(
        PeerView(
            known[node].report,
            now_s - known[node].made_at_s,
            _is_direct(known[node], live_timeout_s, now_s),
        )
        for node in sorted(known)
        if now_s - known[node].made_at_s <= live_timeout_s
    )


def unreachable_addresses(
    instances: Iterable[Instance],
    live: Iterable[PeerView],
    own: NodeName,
) -> tuple[Address, ...]:
    """Return addresses of peers that are listed but not live."""
    excluded = {own, *(view.report.node for view in live)}
    return tuple(
        instance.peer_address
        for instance in instances
        if instance.role in PEER_ROLES
        and instance.peer_address
        and NodeName(instance.name) not in excluded
    )


def pick_targets(
    live: Iterable[PeerView],
    unreachable: Sequence[Address],
    fan_out: int,
    rng: Random,
) -> tuple[Address, ...]:
    """Return the addresses to which this round sends.

    Only a part of the rounds tries an unreachable peer. Many dead peers thus
    don't slow down the exchange among the live ones, and the end of a
    partition is still noticed.
    """
    peers = [view.report.peer_address for view in live]
    targets = rng.sample(peers, min(fan_out, len(peers)))
    if not unreachable:
        return tuple(targets)
    if not targets or rng.random() < _UNREACHABLE_SHARE:
        targets = [rng.choice(unreachable), *targets][:fan_out]
    return tuple(targets)


#: Share of the rounds that also try an unreachable peer.
_UNREACHABLE_SHARE = 0.25


def _newer_of(old: KnownPeer | None, view: PeerView, now_s: float) -> KnownPeer:
    made_at_s = now_s - view.age_s
    direct_at_s = now_s if view.direct else None
    if old is None:
        return KnownPeer(view.report, made_at_s, direct_at_s)
    if direct_at_s is None and _same_incarnation(old, view):
        direct_at_s = old.direct_at_s
    if _is_newer(old, view, made_at_s):
        return KnownPeer(view.report, made_at_s, direct_at_s)
    return KnownPeer(old.report, old.made_at_s, direct_at_s or old.direct_at_s)


def _is_newer(old: KnownPeer, view: PeerView, made_at_s: float) -> bool:
    if _same_incarnation(old, view):
        return view.report.sequence > old.report.sequence
    # Sequence numbers of two incarnations can't be compared. A report from the
    # peer itself counts as newer.
    return view.direct or made_at_s > old.made_at_s


def _same_incarnation(old: KnownPeer, view: PeerView) -> bool:
    return old.report.incarnation == view.report.incarnation


def _is_direct(peer: KnownPeer, live_timeout_s: float, now_s: float) -> bool:
    if peer.direct_at_s is None:
        return False
    return now_s - peer.direct_at_s <= live_timeout_s

"""Which peers are live, and what to gossip to whom."""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from random import Random

from ..model.ids import Address, NodeName
from ..model.peers import NodeReport, PeerView
from ..model.topology import Instance, InstanceRole

#: Roles that take part in gossip.
PEER_ROLES = frozenset((InstanceRole.ROUTER, InstanceRole.CONTROLLER))
#: Life bounds after which a peer is forgotten.
_FORGET_BOUNDS = 4


@dataclass(frozen=True)
class GossipSettings:
    """How often and how much a process gossips.

    Parameters
    ----------
    interval_s
        Shortest time between two rounds.
    interval_s_per_peer
        A round takes at least this for each peer, as each message names all
        of them and the traffic of a node has a bound.
    fan_out
        Peers told in one round.
    crowd
        Above this number of peers a round tells one peer only.
    live_s
        A peer is live for this time after its newest report was made.
    live_s_per_peer
        Added for each known peer, as reports take longer through many.

    """

    interval_s: float = 0.5
    interval_s_per_peer: float = 0.0036
    fan_out: int = 2
    crowd: int = 24
    live_s: float = 4.0
    live_s_per_peer: float = 0.026

    def targets(self, peers: int) -> int:
        """Return how many peers one round tells."""
        return 1 if peers > self.crowd else self.fan_out

    def round_s(self, peers: int) -> float:
        """Return the time between two rounds."""
        return max(self.interval_s, self.interval_s_per_peer * peers)

    def live_timeout_s(self, peers: int) -> float:
        """Return for how long a report keeps a peer live."""
        return self.live_s + self.live_s_per_peer * peers


@dataclass(frozen=True)
class KnownPeer:
    """The newest report of a peer.

    Parameters
    ----------
    report
        The report.
    made_at_s
        When it was made, by the own clock and the age that came with it.
    direct_at_s
        When the peer itself was last heard; ``None`` for never.

    """

    report: NodeReport
    made_at_s: float
    direct_at_s: float | None = None


#: The newest report of each peer.
KnownPeers = Mapping[NodeName, KnownPeer]


def merge_views(
    known: KnownPeers,
    own: NodeName,
    views: Iterable[PeerView],
    now_s: float,
) -> dict[NodeName, KnownPeer]:
    """Return what is known after hearing more.

    Parameters
    ----------
    known
        What was known.
    own
        This node, whose reports by others are ignored.
    views
        What was heard; ages are durations at its sender.
    now_s
        Own clock.

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
    """Return what is known without peers that are long gone."""
    oldest_s = now_s - live_timeout_s * _FORGET_BOUNDS
    return {
        node: seen for node, seen in known.items() if seen.made_at_s > oldest_s
    }


def live_views(
    known: KnownPeers,
    live_timeout_s: float,
    now_s: float,
) -> tuple[PeerView, ...]:
    """Return the live peers in the order of their names."""
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
    """Return addresses of listed peers that are not live."""
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
    silent: Sequence[Address],
    fan_out: int,
    rng: Random,
) -> tuple[Address, ...]:
    """Return whom to tell in this round.

    Silent peers take part of the rounds only, so that many dead ones don't
    slow the live ones down, yet a healed partition is noticed.
    """
    peers = [view.report.peer_address for view in live]
    targets = rng.sample(peers, min(fan_out, len(peers)))
    if not silent:
        return tuple(targets)
    if not targets or rng.random() < _SILENT_SHARE:
        targets = [rng.choice(silent), *targets][:fan_out]
    return tuple(targets)


#: Share of the rounds that also try a silent peer.
_SILENT_SHARE = 0.25


def _newer_of(old: KnownPeer | None, view: PeerView, now_s: float) -> KnownPeer:
    made_at_s = now_s - view.age_s
    direct_at_s = now_s if view.direct else None
    if old is None:
        return KnownPeer(view.report, made_at_s, direct_at_s)
    if direct_at_s is None and _same_life(old, view):
        direct_at_s = old.direct_at_s
    if _is_newer(old, view, made_at_s):
        return KnownPeer(view.report, made_at_s, direct_at_s)
    return KnownPeer(old.report, old.made_at_s, direct_at_s or old.direct_at_s)


def _is_newer(old: KnownPeer, view: PeerView, made_at_s: float) -> bool:
    if _same_life(old, view):
        return view.report.sequence > old.report.sequence
    # Sequences of two lives can't be compared; the peer itself is believed.
    return view.direct or made_at_s > old.made_at_s


def _same_life(old: KnownPeer, view: PeerView) -> bool:
    return old.report.incarnation == view.report.incarnation


def _is_direct(seen: KnownPeer, live_timeout_s: float, now_s: float) -> bool:
    if seen.direct_at_s is None:
        return False
    return now_s - seen.direct_at_s <= live_timeout_s

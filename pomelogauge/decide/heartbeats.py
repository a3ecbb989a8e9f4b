"""Heartbeats of many peers in compact form: a fingerprint and an age each."""

import hashlib
from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace
from functools import lru_cache

from ..model.ids import Address, ConfigVersion, Incarnation, NodeName
from ..model.peers import Heartbeat, Heartbeats, PeerView
from ..model.phase import NodePhase
from .membership import KnownPeer, KnownPeers

#: Bits of a fingerprint, which shares four bytes with the age of a heartbeat.
FINGERPRINT_BITS = 24
#: Most full reports that one answer carries for a peer that lacks them.
MISSING_LIMIT = 16
_HASH_BYTES = 8
_CACHED_FINGERPRINTS = 4096


@dataclass(frozen=True)
class _PeerIdentity:
    """What a fingerprint is the hash of."""

    node: NodeName
    incarnation: Incarnation
    peer_address: Address


def heartbeats_of(views: Iterable[PeerView]) -> tuple[Heartbeats, ...]:
    """Return the heartbeats of peers, grouped by version and phase."""
    groups: dict[tuple[ConfigVersion, NodePhase], list[Heartbeat]]
    groups = defaultdict(list)
    for view in views:
        report = view.report
        beat = Heartbeat(fingerprint(view), view.age_s)
        groups[report.version, report.phase].append(beat)
    return tuple(
        Heartbeats(version, phase, tuple(heartbeats))
        for (version, phase), heartbeats in groups.items()
    )


def missing_views(
    views: Sequence[PeerView],
    received: Iterable[Heartbeats],
    requester: NodeName,
) -> tuple[PeerView, ...]:
    """Return views that a peer lacks, at most ``MISSING_LIMIT``.

    Parameters
    ----------
    views
        Live peers known here.
    received
        Heartbeats that the peer has sent.
    requester
        The peer, whose own view is left out.

    """
    named = {beat.peer for group in received for beat in group.heartbeats}
    lacking = [
        view
        for view in views
        if view.report.node != requester and fingerprint(view) not in named
    ]
    return tuple(lacking[:MISSING_LIMIT])


def merge_heartbeats(
    known: KnownPeers,
    groups: Iterable[Heartbeats],
    now_s: float,
) -> dict[NodeName, KnownPeer]:
    """Return the known peers, updated by heartbeats.

    A heartbeat counts if it was made later than the newest report of its peer.
    Heartbeats whose fingerprint fits several peers are ignored.

    Parameters
    ----------
    known
        Peers known before.
    groups
        Heartbeats received.
    now_s
        Local clock.

    """
    merged = dict(known)
    nodes = _by_fingerprint(known)
    for group in groups:
        for beat in group.heartbeats:
            node = nodes.get(beat.peer)
            if node is not None:
                merged[node] = _with_heartbeat(merged[node], group, beat, now_s)
    return merged


def fingerprint(view: PeerView) -> int:
    """Return a short hash of a peer's name, incarnation and address."""
    report = view.report
    return _fingerprint(
        _PeerIdentity(report.node, report.incarnation, report.peer_address)
    )


def _with_heartbeat(
    known: KnownPeer,
    group: Heartbeats,
    beat: Heartbeat,
    now_s: float,
) -> KnownPeer:
    made_at_s = now_s - beat.age_s
    report = known.report
    if made_at_s <= known.made_at_s or group.version < report.version:
        return known
    if (group.version, group.phase) != (report.version, report.phase):
        report = replace(report, version=group.version, phase=group.phase)
    return replace(known, report=report, made_at_s=made_at_s)


def _by_fingerprint(known: KnownPeers) -> dict[int, NodeName]:
    fingerprints = {
        node: _fingerprint(
            _PeerIdentity(
                node,
                peer.report.incarnation,
                peer.report.peer_address,
            )
        )
        for node, peer in known.items()
    }
    counts = Counter(fingerprints.values())
    return {
        mark: node for node, mark in fingerprints.items() if counts[mark] == 1
    }


@lru_cache(maxsize=_CACHED_FINGERPRINTS)
def _fingerprint(peer: _PeerIdentity) -> int:
    text = f'{peer.node} {peer.incarnation} {peer.peer_address}'
    digest = hashlib.blake2b(text.encode(), digest_size=_HASH_BYTES).digest()
    return int.from_bytes(digest, 'big') >> (8 * _HASH_BYTES - FINGERPRINT_BITS)

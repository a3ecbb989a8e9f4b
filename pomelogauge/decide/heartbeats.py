"""Compact news of many peers: who was alive how long ago."""

import hashlib
from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace
from functools import lru_cache

from ..model.ids import Address, ConfigVersion, Incarnation, NodeName
from ..model.peers import Heartbeat, Heartbeats, NodePhase, PeerView
from .membership import KnownPeer, KnownPeers

#: Bits of a fingerprint; it shares four bytes with the age.
FINGERPRINT_BITS = 24
#: Most full reports that one answer adds for a peer that lacks them.
MISSING_LIMIT = 16
_HASH_BYTES = 8
_CACHED = 4096


@dataclass(frozen=True)
class _Life:
    """What a fingerprint stands for."""

    node: NodeName
    incarnation: Incarnation
    peer_address: Address


def heartbeats_of(views: Iterable[PeerView]) -> tuple[Heartbeats, ...]:
    """Return the ages of peers, grouped by version and phase."""
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
    heard: Iterable[Heartbeats],
    asker: NodeName,
) -> tuple[PeerView, ...]:
    """Return some views of which a peer that sent heartbeats knows nothing."""
    named = {beat.peer for group in heard for beat in group.heartbeats}
    lacking = [
        view
        for view in views
        if view.report.node != asker and fingerprint(view) not in named
    ]
    return tuple(lacking[:MISSING_LIMIT])


def merge_heartbeats(
    known: KnownPeers,
    groups: Iterable[Heartbeats],
    now_s: float,
) -> dict[NodeName, KnownPeer]:
    """Return what is known after hearing heartbeats.

    A heartbeat counts where it was made later than what is known, and never
    for two peers that share a fingerprint.

    Parameters
    ----------
    known
        What was known.
    groups
        What was heard.
    now_s
        Own clock.

    """
    merged = dict(known)
    nodes = _by_fingerprint(known)
    for group in groups:
        for beat in group.heartbeats:
            node = nodes.get(beat.peer)
            if node is not None:
                merged[node] = _beaten(merged[node], group, beat, now_s)
    return merged


def fingerprint(view: PeerView) -> int:
    """Return a short hash of a peer's life."""
    report = view.report
    return _fingerprint(
        _Life(report.node, report.incarnation, report.peer_address)
    )


def _beaten(
    seen: KnownPeer,
    group: Heartbeats,
    beat: Heartbeat,
    now_s: float,
) -> KnownPeer:
    made_at_s = now_s - beat.age_s
    report = seen.report
    if made_at_s <= seen.made_at_s or group.version < report.version:
        return seen
    if (group.version, group.phase) != (report.version, report.phase):
        report = replace(report, version=group.version, phase=group.phase)
    return replace(seen, report=report, made_at_s=made_at_s)


def _by_fingerprint(known: KnownPeers) -> dict[int, NodeName]:
    marks = {
        node: _fingerprint(
            _Life(
                node,
                seen.report.incarnation,
                seen.report.peer_address,
            )
        )
        for node, seen in known.items()
    }
    counts = Counter(marks.values())
    return {mark: node for node, mark in marks.items() if counts[mark] == 1}


@lru_cache(maxsize=_CACHED)
def _fingerprint(life: _Life) -> int:
    text = f'{life.node} {life.incarnation} {life.peer_address}'
    digest = hashlib.blake2b(text.encode(), digest_size=_HASH_BYTES).digest()
    return int.from_bytes(digest, 'big') >> (8 * _HASH_BYTES - FINGERPRINT_BITS)

"""Rendezvous hashing: every process ranks nodes for a key alike."""

import hashlib
from collections.abc import Iterable

from ..model.ids import NodeName


def score(key: str, node: NodeName) -> bytes:
    """Return the score of a node for a key; the highest wins."""
    return hashlib.sha256(f'{key}\n{node}'.encode()).digest()


def ranked(key: str, nodes: Iterable[NodeName]) -> tuple[NodeName, ...]:
    """Return the nodes for a key, the winner first."""
    return tuple(
        sorted(nodes, key=lambda node: (score(key, node), node), reverse=True)
    )


def winner(key: str, nodes: Iterable[NodeName]) -> NodeName | None:
    """Return the first node for a key; ``None`` without nodes."""
    return next(iter(ranked(key, nodes)), None)

"""Rendezvous hashing: all processes rank nodes for a key in the same order."""

import hashlib
from collections.abc import Iterable

from ..model.ids import NodeName


def score(key: str, node: NodeName) -> bytes:
    """Return the score of a node for a key; the highest ranks first."""
    return hashlib.sha256(f'{key}\n{node}'.encode()).digest()


def ranked(key: str, nodes: Iterable[NodeName]) -> tuple[NodeName, ...]:
    """Return the nodes in their order for a key, the winner first.

    Without one node, the others keep their order.
    """
    return tuple(
        sorted(nodes, key=lambda node: (score(key, node), node), reverse=True)
    )


def winner(key: str, nodes: Iterable[NodeName]) -> NodeName | None:
    """Return the node that ranks first for a key; ``None`` without nodes."""
    return next(iter(ranked(key, nodes)), None)

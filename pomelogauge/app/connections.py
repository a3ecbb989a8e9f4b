"""What the operators' commands connect to."""

from collections.abc import Callable
from dataclasses import dataclass

from ..model.ids import Address, NodeName
from ..tables.protocols import Platform
from ..tasks.links import PeerLinks
from .lazy_import import lazy_import

#: Name under which operators' commands call others.
OPERATOR_NODE = NodeName('operator')


def open_platform(address: Address, timeout_s: float) -> Platform:
    """Return the platform's client; it connects with its first call."""
    client = lazy_import('tables.http_platform', 'HttpPlatform')
    platform: Platform = client(address, OPERATOR_NODE, timeout_s)
    return platform


def open_links(timeout_s: float) -> PeerLinks:
    """Return links to peers; they connect with their first calls."""
    client = lazy_import('wire.peer_client', 'GrpcLinks')
    links: PeerLinks = client(OPERATOR_NODE, timeout_s)
    return links


@dataclass(frozen=True)
class Connections:
    """How commands reach the platform and peers; tests give their own."""

    platform: Callable[[Address, float], Platform] = open_platform
    links: Callable[[float], PeerLinks] = open_links

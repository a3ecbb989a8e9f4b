"""Tells some peers of a publication, so that none waits for the store."""

from random import Random

from ..model.ids import ConfigVersion, NodeName
from ..model.manifest import Configuration
from ..tasks.links import PeerLinks
from ..tasks.messages import ConfigurationDocument
from ..wire.configuration_document import encode_configuration
from .peer_finder import QueriedPeer

#: Peers that take the document from the command; they push it on.
PUSHED_PEERS = 3
#: Most peers that are tried.
MAX_PUSH_ATTEMPTS = 8


def push_configuration(
    links: PeerLinks,
    peers: tuple[QueriedPeer, ...],
    configuration: Configuration,
    rng: Random,
) -> int:
    """Push a published configuration and return how many peers took it.

    Parameters
    ----------
    links
        Links to peers.
    peers
        Peers to choose from.
    configuration
        It must be published already.
    rng
        Source of the choice.

    """
    document = ConfigurationDocument(
        configuration.version,
        encode_configuration(configuration),
        NodeName(configuration.publisher),
    )
    told = 0
    for peer in rng.sample(peers, min(MAX_PUSH_ATTEMPTS, len(peers))):
        pushed = links.push(peer.address, document)
        told += int(_is_taken(pushed.value_or(None), document.version))
        if told == PUSHED_PEERS:
            break
    return told


def _is_taken(found: ConfigVersion | None, version: ConfigVersion) -> bool:
    return found is not None and found >= version

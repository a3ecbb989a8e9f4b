"""Pushes a published configuration to some peers ahead of their polls."""

from random import Random

from ..model.ids import ConfigVersion, NodeName
from ..model.manifest import Configuration
from ..tasks.links import PeerLinks
from ..tasks.messages import ConfigurationDocument
from ..wire.configuration_document import encode_configuration
from .peer_finder import QueriedPeer

#: Peers that have to accept the document; they push it to the others.
PUSHED_PEERS = 3
#: Peers that are called at most, those that fail included.
MAX_PUSH_ATTEMPTS = 8


def push_configuration(
    links: PeerLinks,
    peers: tuple[QueriedPeer, ...],
    configuration: Configuration,
    rng: Random,
) -> int:
    """Push a published configuration; return how many peers accepted it.

    Parameters
    ----------
    links
        Links to peers.
    peers
        Candidates; a random sample of them is called.
    configuration
        A version that the store holds already.
    rng
        Random source of the sample.

    """
    document = ConfigurationDocument(
        configuration.version,
        encode_configuration(configuration),
        NodeName(configuration.publisher),
    )
    accepted = 0
    for peer in rng.sample(peers, min(MAX_PUSH_ATTEMPTS, len(peers))):
        pushed = links.push(peer.address, document)
        accepted += int(_is_accepted(pushed.value_or(None), document.version))
        if accepted == PUSHED_PEERS:
            break
    return accepted


def _is_accepted(held: ConfigVersion | None, version: ConfigVersion) -> bool:
    return held is not None and held >= version

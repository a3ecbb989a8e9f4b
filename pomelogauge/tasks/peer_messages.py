"""Messages among the tasks that keep up with peers and the configuration."""

from dataclasses import dataclass

from returns.result import Result

from ..model.ids import Address, ConfigVersion
from ..tables.protocols import PlatformError
from .links import LinkError
from .mailbox import Outbox
from .messages import ConfigurationDocument, Gossip, PeerHeard


@dataclass(frozen=True)
class GossipEnded:
    """A gossip sender is free again.

    Parameters
    ----------
    sender
        Index of the sender.

    """

    sender: int


@dataclass(frozen=True)
class SendGossip:
    """Asks a gossip sender to tell one peer.

    Parameters
    ----------
    address
        The peer.
    gossip
        What to tell.
    sender
        Index of the sender, for its answer.
    reply
        Takes the peer's gossip, if any, and then the end.

    """

    address: Address
    gossip: Gossip
    sender: int
    reply: Outbox[PeerHeard | GossipEnded]


@dataclass(frozen=True)
class VersionRead:
    """The store was asked for the published version.

    Parameters
    ----------
    requested_at_s
        Own clock before the read.
    outcome
        The version; zero when nothing is published.

    """

    requested_at_s: float
    outcome: Result[ConfigVersion, PlatformError]


@dataclass(frozen=True)
class ReadVersion:
    """Asks for the published version."""

    requested_at_s: float
    reply: Outbox[VersionRead]


@dataclass(frozen=True)
class DocumentFetched:
    """A document was asked for, of the store or of a peer."""

    outcome: Result[ConfigurationDocument, PlatformError | LinkError]


@dataclass(frozen=True)
class ReadDocument:
    """Asks the store for a document."""

    version: ConfigVersion
    reply: Outbox[DocumentFetched]


@dataclass(frozen=True)
class FetchDocument:
    """Asks a peer for a document."""

    address: Address
    at_least: ConfigVersion
    reply: Outbox[DocumentFetched]


@dataclass(frozen=True)
class PushDocument:
    """Pushes a document to a peer."""

    address: Address
    document: ConfigurationDocument

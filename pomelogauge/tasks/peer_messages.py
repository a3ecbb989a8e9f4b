"""Messages between the tasks for gossip and for the configuration."""

from dataclasses import dataclass

from returns.result import Result

from ..model.ids import Address, ConfigVersion
from ..tables.protocols import PlatformError
from .links import LinkError
from .mailbox import Outbox
from .messages import ConfigurationDocument, Gossip, GossipReceived


@dataclass(frozen=True)
class GossipEnded:
    """A gossip sender is idle again.

    Parameters
    ----------
    sender
        Index of the sender.

    """

    sender: int


@dataclass(frozen=True)
class SendGossip:
    """Requests that a gossip sender exchanges gossip with one peer.

    Parameters
    ----------
    address
        Address of the peer.
    gossip
        Gossip to send.
    sender
        Index of the sender, returned in ``GossipEnded``.
    reply
        Gets the peer's gossip, if it answers, and then ``GossipEnded``.

    """

    address: Address
    gossip: Gossip
    sender: int
    reply: Outbox[GossipReceived | GossipEnded]


@dataclass(frozen=True)
class VersionRead:
    """Result of a read of the published version.

    Parameters
    ----------
    requested_at_s
        Monotonic time before the read.
    outcome
        The version; zero when nothing has been published.

    """

    requested_at_s: float
    outcome: Result[ConfigVersion, PlatformError]


@dataclass(frozen=True)
class ReadVersion:
    """Requests the published version from the store."""

    requested_at_s: float
    reply: Outbox[VersionRead]


@dataclass(frozen=True)
class DocumentFetched:
    """Result of a request for a document to the store or to a peer."""

    outcome: Result[ConfigurationDocument, PlatformError | LinkError]


@dataclass(frozen=True)
class ReadDocument:
    """Requests a document from the store."""

    version: ConfigVersion
    reply: Outbox[DocumentFetched]


@dataclass(frozen=True)
class FetchDocument:
    """Requests a document of at least a version from a peer."""

    address: Address
    at_least: ConfigVersion
    reply: Outbox[DocumentFetched]


@dataclass(frozen=True)
class PushDocument:
    """Requests that a document is pushed to a peer."""

    address: Address
    document: ConfigurationDocument

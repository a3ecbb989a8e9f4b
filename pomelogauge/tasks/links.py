"""Calls to peers as a protocol type."""

from dataclasses import dataclass
from typing import Protocol

from returns.result import Result

from ..model.ids import Address, ConfigVersion
from ..model.peers import ExchangeAnswer, ExchangeRequest
from .messages import ConfigurationDocument, Gossip, NodeStatus


@dataclass(frozen=True)
class LinkError:
    """A failed call to a peer.

    Parameters
    ----------
    address
        Address of the peer.
    message
        Reason of the failure, for a log.

    """

    address: Address
    message: str


class PeerLinks(Protocol):
    """Calls to peers; each blocks the calling task until its deadline."""

    def gossip(
        self,
        address: Address,
        gossip: Gossip,
    ) -> Result[Gossip, LinkError]:
        """Send this process's gossip to a peer and return the peer's."""

    def fetch(
        self,
        address: Address,
        at_least: ConfigVersion,
    ) -> Result[ConfigurationDocument, LinkError]:
        """Fetch a peer's configuration.

        Parameters
        ----------
        address
            gRPC interface of the peer.
        at_least
            Lowest version of use to this process.

        """

    def push(
        self,
        address: Address,
        document: ConfigurationDocument,
    ) -> Result[ConfigVersion, LinkError]:
        """Push a configuration and return the version that the peer has."""

    def exchange(
        self,
        address: Address,
        ask: ExchangeRequest,
    ) -> Result[ExchangeAnswer, LinkError]:
        """Report demand to a controller and return its views and grants."""

    def status(self, address: Address) -> Result[NodeStatus, LinkError]:
        """Return a peer's status."""

    def block_links(
        self,
        address: Address,
        nodes: tuple[str, ...],
    ) -> Result[None, LinkError]:
        """Block a peer's links to the named nodes; used by tests only."""

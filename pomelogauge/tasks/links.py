"""Links to peers as a protocol type."""

from dataclasses import dataclass
from typing import Protocol

from returns.result import Result

from ..model.ids import Address, ConfigVersion
from ..model.peers import ExchangeAnswer, ExchangeRequest
from .messages import ConfigurationDocument, Gossip, NodeStatus


@dataclass(frozen=True)
class LinkError:
    """A peer did not answer."""

    address: Address
    message: str


class PeerLinks(Protocol):
    """Calls to peers; each blocks the calling task until its deadline."""

    def gossip(
        self,
        address: Address,
        gossip: Gossip,
    ) -> Result[Gossip, LinkError]:
        """Tell a peer what this process knows and learn what it knows."""

    def fetch(
        self,
        address: Address,
        at_least: ConfigVersion,
    ) -> Result[ConfigurationDocument, LinkError]:
        """Ask a peer for its configuration."""

    def push(
        self,
        address: Address,
        document: ConfigurationDocument,
    ) -> Result[ConfigVersion, LinkError]:
        """Push a configuration; the answer is the peer's version."""

    def exchange(
        self,
        address: Address,
        ask: ExchangeRequest,
    ) -> Result[ExchangeAnswer, LinkError]:
        """Exchange demand for views and grants with a controller."""

    def status(self, address: Address) -> Result[NodeStatus, LinkError]:
        """Ask a peer for its status."""

    def block_links(
        self,
        address: Address,
        nodes: tuple[str, ...],
    ) -> Result[None, LinkError]:
        """Cut a peer's links to the named nodes; tests only."""

"""Where the gRPC interface leaves what peers ask."""

from dataclasses import dataclass

from ..tasks.mailbox import Outbox
from ..tasks.messages import (
    ConfigurationPushed,
    ConfigurationRequested,
    ExchangeRequested,
    GossipReceived,
    StatusRequested,
)


@dataclass(frozen=True)
class PeerOutboxes:
    """Where the server leaves what peers ask.

    Parameters
    ----------
    membership
        Takes gossip.
    configuration
        Takes asks for the configuration and pushes of it.
    status
        Takes asks for the status.
    exchange
        Takes routers' exchanges; ``None`` on a router.

    """

    membership: Outbox[GossipReceived]
    configuration: Outbox[ConfigurationRequested | ConfigurationPushed]
    status: Outbox[StatusRequested]
    exchange: Outbox[ExchangeRequested] | None = None

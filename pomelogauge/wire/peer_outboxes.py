"""Where the gRPC interface leaves what peers ask."""

from dataclasses import dataclass

from ..tasks.mailbox import Outbox
from ..tasks.messages import (
    ConfigurationAsked,
    ConfigurationPushed,
    ExchangeAsked,
    PeerHeard,
    StatusAsked,
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

    membership: Outbox[PeerHeard]
    configuration: Outbox[ConfigurationAsked | ConfigurationPushed]
    status: Outbox[StatusAsked]
    exchange: Outbox[ExchangeAsked] | None = None

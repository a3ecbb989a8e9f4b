"""Outboxes of the tasks that answer the calls of peers."""

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
    """Outboxes of the tasks that answer the calls of peers.

    Parameters
    ----------
    membership
        Task that takes and answers gossip.
    configuration
        Task that answers fetches and pushes of the configuration.
    status
        Task that answers requests for the status of the process.
    exchange
        Task that answers routers' exchanges; ``None`` on a router, which
        refuses them.

    """

    membership: Outbox[PeerHeard]
    configuration: Outbox[ConfigurationAsked | ConfigurationPushed]
    status: Outbox[StatusAsked]
    exchange: Outbox[ExchangeAsked] | None = None

"""Outboxes of the tasks that answer the calls of peers."""

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

    membership: Outbox[GossipReceived]
    configuration: Outbox[ConfigurationRequested | ConfigurationPushed]
    status: Outbox[StatusRequested]
    exchange: Outbox[ExchangeRequested] | None = None

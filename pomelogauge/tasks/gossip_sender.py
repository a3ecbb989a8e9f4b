"""The task that sends gossip to peers."""

import logging

from returns.result import Success

from .links import PeerLinks
from .messages import GossipReceived
from .peer_messages import GossipEnded, SendGossip

_log = logging.getLogger(__name__)


class GossipSender:
    """Gossips with one peer at a time; a dead peer delays this task only.

    Parameters
    ----------
    links
        Connections to peers; used by this task only.

    """

    def __init__(self, links: PeerLinks) -> None:
        """Open no connection yet."""
        self._links = links

    def on_start(self) -> None:
        """Do nothing; connections open on first use."""

    def on_message(self, message: SendGossip) -> None:
        """Gossip with a peer, reply with its answer, then with the end."""
        # The end is reported even after an unexpected error, which the task
        # logs; otherwise the sender would count as busy for ever.
        try:  # noqa: WPS501 - the task handles the fault
            self._exchange(message)
        finally:
            message.reply.post(GossipEnded(message.sender))

    def on_timer(self) -> float | None:
        """Wait for messages only."""
        return None

    def on_stop(self) -> None:
        """Leave the connections open until the process ends."""

    def _exchange(self, message: SendGossip) -> None:
        answer = self._links.gossip(message.address, message.gossip)
        if isinstance(answer, Success):
            gossip = answer.unwrap()
            message.reply.post(
                GossipReceived(
                    gossip.sender, gossip.others, heartbeats=gossip.heartbeats
                )
            )
            return
        _log.debug('gossip: peer did not answer: %s', answer.failure())

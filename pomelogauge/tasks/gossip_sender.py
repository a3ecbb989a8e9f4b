"""The task that owns links for gossip."""

import logging

from returns.result import Success

from .links import PeerLinks
from .messages import GossipReceived
from .peer_messages import GossipEnded, SendGossip

_log = logging.getLogger(__name__)


class GossipSender:
    """Tells one peer at a time; a dead peer holds up only this task.

    Parameters
    ----------
    links
        Owned by this task.

    """

    def __init__(self, links: PeerLinks) -> None:
        """Take the links."""
        self._links = links

    def on_start(self) -> None:
        """Open nothing; links open on use."""

    def on_message(self, message: SendGossip) -> None:
        """Tell a peer, pass on its answer and report the end."""
        # A fault goes to the task's log, but never loses the sender.
        try:  # noqa: WPS501 - the task handles the fault
            self._tell(message)
        finally:
            message.reply.post(GossipEnded(message.sender))

    def on_timer(self) -> float | None:
        """Wait for messages only."""
        return None

    def on_stop(self) -> None:
        """Leave the links to the process's end."""

    def _tell(self, message: SendGossip) -> None:
        answer = self._links.gossip(message.address, message.gossip)
        if isinstance(answer, Success):
            heard = answer.unwrap()
            message.reply.post(
                GossipReceived(
                    heard.sender, heard.others, heartbeats=heard.heartbeats
                )
            )
            return
        _log.debug('gossip: no answer: %s', answer.failure())

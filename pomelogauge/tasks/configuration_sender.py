"""The task that sends configuration documents to and from peers."""

import logging

from returns.result import Success

from .links import PeerLinks
from .peer_messages import DocumentFetched, FetchDocument, PushDocument

_log = logging.getLogger(__name__)


class ConfigurationSender:
    """Pushes and fetches one document at a time.

    The calls block until the peer answers or the link times out. Several
    senders run side by side, so that a dead peer delays one of them only.

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

    def on_message(self, message: FetchDocument | PushDocument) -> None:
        """Fetch a document and reply, or push one without a reply."""
        if isinstance(message, FetchDocument):
            answer = self._links.fetch(message.address, message.at_least)
            message.reply.post(DocumentFetched(answer))
            return
        pushed = self._links.push(message.address, message.document)
        if not isinstance(pushed, Success):
            _log.info(
                'configuration: push of version %d failed: %s',
                message.document.version,
                pushed.failure(),
            )

    def on_timer(self) -> float | None:
        """Wait for messages only."""
        return None

    def on_stop(self) -> None:
        """Leave the connections open until the process ends."""

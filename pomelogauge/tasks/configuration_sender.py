"""The task that owns links for configurations."""

import logging

from returns.result import Success

from .links import PeerLinks
from .peer_messages import DocumentFetched, FetchDocument, PushDocument

_log = logging.getLogger(__name__)


class ConfigurationSender:
    """Pushes and fetches one document at a time.

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

    def on_message(self, message: FetchDocument | PushDocument) -> None:
        """Call a peer."""
        if isinstance(message, FetchDocument):
            answer = self._links.fetch(message.address, message.at_least)
            message.reply.post(DocumentFetched(answer))
            return
        pushed = self._links.push(message.address, message.document)
        if not isinstance(pushed, Success):
            _log.info('configuration: not pushed: %s', pushed.failure())

    def on_timer(self) -> float | None:
        """Wait for messages only."""
        return None

    def on_stop(self) -> None:
        """Leave the links to the process's end."""

"""The task that reads published configurations from the store."""

from returns.result import Result, Success

from ..model.ids import ConfigVersion, NodeName
from ..tables.protocols import PlatformError
from ..tables.version_source import VersionSource
from .messages import ConfigurationDocument
from .peer_messages import (
    DocumentFetched,
    ReadDocument,
    ReadVersion,
    VersionRead,
)


class ConfigurationReader:
    """Makes the blocking reads, so that the keeper never waits for the store.

    Parameters
    ----------
    source
        Connection to the store; used by this task only.
    node
        Name of this process, recorded as the sender of what it reads.

    """

    def __init__(self, source: VersionSource, node: NodeName) -> None:
        """Open no connection yet."""
        self._source = source
        self._node = node

    def on_start(self) -> None:
        """Do nothing; the connection opens on first use."""

    def on_message(self, message: ReadVersion | ReadDocument) -> None:
        """Read a version or a document and reply with the result."""
        if isinstance(message, ReadVersion):
            version = self._source.current_version()
            message.reply.post(VersionRead(message.requested_at_s, version))
        else:
            outcome = self._read(message.version)
            message.reply.post(DocumentFetched(outcome))

    def on_timer(self) -> float | None:
        """Wait for messages only."""
        return None

    def on_stop(self) -> None:
        """Leave the connection open until the process ends."""

    def _read(
        self,
        version: ConfigVersion,
    ) -> Result[ConfigurationDocument, PlatformError]:
        answer = self._source.document(version)
        if isinstance(answer, Success):
            encoded = answer.unwrap()
            return Success(ConfigurationDocument(version, encoded, self._node))
        return Result.from_failure(answer.failure())

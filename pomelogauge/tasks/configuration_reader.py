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
    """Reads the store, so that the keeper never waits for it.

    Parameters
    ----------
    source
        Connection to the store, owned by this task.
    node
        Name of this node.

    """

    def __init__(self, source: VersionSource, node: NodeName) -> None:
        """Take the connection."""
        self._source = source
        self._node = node

    def on_start(self) -> None:
        """Open nothing; the connection opens on use."""

    def on_message(self, message: ReadVersion | ReadDocument) -> None:
        """Read and answer."""
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
        """Leave the connection to the process's end."""

    def _read(
        self,
        version: ConfigVersion,
    ) -> Result[ConfigurationDocument, PlatformError]:
        answer = self._source.document(version)
        if isinstance(answer, Success):
            encoded = answer.unwrap()
            return Success(ConfigurationDocument(version, encoded, self._node))
        return Result.from_failure(answer.failure())

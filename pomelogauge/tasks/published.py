"""An immutable record that one task publishes to others."""

from typing import Generic, TypeVar

RecordT = TypeVar('RecordT')


class Published(Generic[RecordT]):
    """A reference to a frozen record; one task replaces it, others read it.

    Parameters
    ----------
    record
        First record.

    """

    def __init__(self, record: RecordT) -> None:
        """Publish the first record."""
        self._record = record

    def latest(self) -> RecordT:
        """Return the record published last."""
        return self._record

    def publish(self, record: RecordT) -> None:
        """Replace the record; only its owner calls this."""
        self._record = record

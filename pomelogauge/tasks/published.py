"""Frozen records that one task publishes for others to read."""

from typing import Generic, TypeVar

RecordT = TypeVar('RecordT')


class Published(Generic[RecordT]):
    """Reference to a frozen record that its owner replaces as a whole.

    Readers in other tasks need no lock: each read gives one consistent
    record.

    Parameters
    ----------
    record
        Record that readers get before the first ``publish``.

    """

    def __init__(self, record: RecordT) -> None:
        """Publish the initial record."""
        self._record = record

    def latest(self) -> RecordT:
        """Return the most recently published record."""
        return self._record

    def publish(self, record: RecordT) -> None:
        """Replace the record; called by the owning task only."""
        self._record = record

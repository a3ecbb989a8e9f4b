"""Reads the metrics task for the HTTP interface."""

from ..model.metrics import MetricsSnapshot
from ..tasks.mailbox import Mailbox, Outbox
from ..tasks.metrics import SnapshotRequested
from ..wire.metrics_text import metrics_text

#: Seconds to wait for the metrics task; after that the page is empty.
SNAPSHOT_TIMEOUT_S = 2.0


class MetricsReader:
    """The metrics of the process as text."""

    def __init__(self, metrics: Outbox[SnapshotRequested]) -> None:
        """Take the task that owns the metrics."""
        self._metrics = metrics

    def text(self) -> str:
        """Return the metrics in text format; empty if the task timed out."""
        reply: Mailbox[MetricsSnapshot] = Mailbox()
        self._metrics.post(SnapshotRequested(reply))
        snapshot = reply.take(SNAPSHOT_TIMEOUT_S)
        return metrics_text(snapshot) if snapshot else ''

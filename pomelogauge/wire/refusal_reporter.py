"""Writes a log line and counts a metric for each refused request."""

from ..model.log_parts import Part
from ..model.metrics import Counter
from ..model.request import Refusal, RefusalCode
from ..tasks.log import part_logger
from ..tasks.mailbox import Outbox
from ..tasks.metrics import CounterIncrement, RequestMetrics

_log = part_logger(Part.CALLERS)


class RefusalReporter:
    """Reports refusals at the place where they are encoded.

    Parameters
    ----------
    metrics
        Task that counts them.

    """

    def __init__(self, metrics: Outbox[RequestMetrics]) -> None:
        """Take the outbox of the metrics task."""
        self._metrics = metrics

    def report(self, refusal: Refusal) -> None:
        """Log a refusal and count it by its code.

        Callers that disconnected have a counter of their own and are only
        logged here.
        """
        _log.info(
            'request refused with code %s, execution %s: %s',
            refusal.code,
            refusal.execution,
            refusal.message,
            extra={'request': refusal.request},
        )
        if refusal.code is not RefusalCode.CALLER_LEFT:
            counted = CounterIncrement(Counter.REQUESTS_REFUSED, refusal.code)
            self._metrics.post(RequestMetrics((counted,)))

"""One log line and one count for each request that is refused."""

from ..model.log_parts import Part
from ..model.metrics import Counter
from ..model.request import Refusal, RefusalCode
from ..tasks.log import part_logger
from ..tasks.mailbox import Outbox
from ..tasks.metrics import CounterIncrement, RequestMetrics

_log = part_logger(Part.CALLERS)


class RefusalReporter:
    """Notes refusals where they are encoded."""

    def __init__(self, metrics: Outbox[RequestMetrics]) -> None:
        """Take the metrics task."""
        self._metrics = metrics

    def report(self, refusal: Refusal) -> None:
        """Note a refusal; the count of callers who left is kept elsewhere."""
        _log.info(
            'a request is refused, %s, %s: %s',
            refusal.code,
            refusal.execution,
            refusal.message,
            extra={'request': refusal.request},
        )
        if refusal.code is not RefusalCode.CALLER_LEFT:
            counted = CounterIncrement(Counter.REQUESTS_REFUSED, refusal.code)
            self._metrics.post(RequestMetrics((counted,)))

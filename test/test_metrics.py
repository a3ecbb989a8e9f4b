"""Tests of the metrics task and its text form."""

import unittest

from pomelogauge.model.metrics import Counter, MetricsSnapshot, Timing
from pomelogauge.tasks.mailbox import Mailbox
from pomelogauge.tasks.metrics import (
    CounterIncrement,
    MetricsActor,
    SnapshotRequested,
    TimingSample,
)
from pomelogauge.wire.metrics_text import metrics_text


class MetricsTest(unittest.TestCase):
    def test_counts_and_sorts(self) -> None:
        actor = MetricsActor()
        actor.on_message(CounterIncrement(Counter.TOKENS, times=3))
        actor.on_message(CounterIncrement(Counter.REQUESTS_REFUSED, 'a"b\n'))
        for hundredths in range(1, 101):
            actor.on_message(TimingSample(Timing.FIRST_TOKEN, hundredths / 100))
        reply: Mailbox[MetricsSnapshot] = Mailbox()
        actor.on_message(SnapshotRequested(reply))
        snapshot = reply.take(0)
        assert snapshot is not None
        text = metrics_text(snapshot)
        self.assertIn('pomelogauge_tokens_total 3\n', text)
        self.assertIn('{label="a\\"b\\n"} 1\n', text)
        self.assertIn('pomelogauge_first_token_seconds_count 100\n', text)
        first = next(t for t in snapshot.timings if t.count)
        self.assertAlmostEqual(first.quantiles[1].seconds, 0.95, delta=0.01)

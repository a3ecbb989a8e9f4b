"""Tests of the order of waiting requests."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from pomelogauge.decide.queue import (
    QueueLimits,
    Shares,
    Waiting,
    admission_refusal,
    in_order,
)
from pomelogauge.model.request import Execution, RefusalCode

from .router_fixtures import LARGE, SMALL, request

ENTRIES = st.lists(
    st.tuples(
        st.sampled_from([LARGE, SMALL]),
        st.integers(0, 2),
        st.integers(0, 5),
    ),
    max_size=12,
)


def waiting(entries) -> list[Waiting]:
    return [
        Waiting(request(f'r-{number}', organisation), priority, deadline_s)
        for number, (organisation, priority, deadline_s) in enumerate(entries)
    ]


class QueueTest(unittest.TestCase):
    @given(ENTRIES)
    def test_keeps_all_and_orders_by_priority_and_deadline(self, entries):
        queue = waiting(entries)
        ordered = in_order(queue, Shares())
        self.assertCountEqual(ordered, queue)
        priorities = [entry.priority for entry in ordered]
        self.assertEqual(priorities, sorted(priorities, reverse=True))
        for organisation in (LARGE, SMALL):
            own = [
                (-entry.priority, entry.deadline_at_s)
                for entry in ordered
                if entry.request.organisation == organisation
            ]
            self.assertEqual(own, sorted(own))

    def test_a_long_queue_does_not_hold_up_a_short_one(self) -> None:
        queue = waiting([(LARGE, 0, 1)] * 6 + [(SMALL, 0, 2)])
        ordered = in_order(queue, Shares())
        self.assertEqual(ordered[1].request.organisation, SMALL)
        shares = Shares({SMALL: 3}, {LARGE: 2})
        ordered = in_order(queue, shares)
        self.assertEqual(ordered[-1].request.organisation, SMALL)

    def test_refuses_truthfully_over_the_limits(self) -> None:
        limits = QueueLimits(max_waiting=2, retry_after_s=3)
        self.assertIsNone(admission_refusal(request(), 1, 9, 0, limits))
        full = admission_refusal(request(), 2, 0, 0, limits)
        over = admission_refusal(request(), 0, 5, 5, limits)
        self.assertEqual(full.code, RefusalCode.NO_CAPACITY)
        self.assertEqual(over.code, RefusalCode.OVER_LIMIT)
        for refusal in (full, over):
            self.assertEqual(refusal.execution, Execution.NOT_RUN)
            self.assertEqual(refusal.retry_after_s, 3)

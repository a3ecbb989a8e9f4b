"""Tests of the order of waiting requests."""

import unittest
from collections import Counter
from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

from pomelogauge.decide.queue import (
    OrganisationLoad,
    QueueLimits,
    admission_refusal,
)
from pomelogauge.model.ids import DeploymentName, ModelName, RequestId
from pomelogauge.model.manifest import Deployment
from pomelogauge.model.request import Execution, RefusalCode
from pomelogauge.tasks.mailbox import Mailbox
from pomelogauge.tasks.messages import RequestSlot
from pomelogauge.tasks.request_queue import QueuedRequest, RequestQueue

from .router_fixtures import LARGE, SMALL, request

ENTRIES = st.lists(
    st.tuples(
        st.sampled_from([LARGE, SMALL]),
        st.integers(0, 2),
        st.integers(0, 5),
    ),
    max_size=12,
)


def deployment(priority: int) -> Deployment:
    name = f'd-{priority}'
    return Deployment(
        DeploymentName(name), ModelName(name), '1', 1, 1, (), (), priority
    )


def drain(entries, running=(), weights=None) -> list[QueuedRequest]:
    """Queue requests, then place all of them one after another."""
    queue = RequestQueue()
    for number, (organisation, priority, deadline_s) in enumerate(entries):
        req = replace(
            request(f'r-{number}', organisation), deadline_s=deadline_s
        )
        queue.add(RequestSlot(req, 0, Mailbox()), (deployment(priority),))
    counts = Counter(running)
    placed = []
    while queued := queue.first(OrganisationLoad(counts, weights or {}), set()):
        queue.remove(queued.request)
        counts[queued.organisation] += 1
        placed.append(queued)
    return placed


class QueueTest(unittest.TestCase):
    @given(ENTRIES)
    def test_keeps_all_and_orders_by_priority_and_deadline(self, entries):
        placed = drain(entries)
        self.assertEqual(
            {queued.request for queued in placed},
            {f'r-{number}' for number in range(len(entries))},
        )
        self.assertEqual(len(placed), len(entries))
        ordered = [queued.waiting for queued in placed]
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
        queue = [(LARGE, 0, 1)] * 6 + [(SMALL, 0, 2)]
        self.assertEqual(drain(queue)[1].organisation, SMALL)
        placed = drain(queue, {SMALL: 3}, {LARGE: 2})
        self.assertEqual(placed[-1].organisation, SMALL)

    def test_finds_the_deadlines(self) -> None:
        queue = RequestQueue()
        for name, deadline_s in (('r-1', 5), ('r-2', 3), ('r-3', 4)):
            req = replace(request(name), deadline_s=deadline_s)
            queue.add(RequestSlot(req, 0, Mailbox()), (deployment(0),))
        queue.remove(RequestId('r-2'))
        self.assertEqual(queue.next_deadline_s(), 4)
        self.assertIsNone(queue.next_expired(3.9))
        self.assertEqual(queue.next_expired(4).request, 'r-3')
        self.assertEqual(queue.count_of(LARGE), 2)

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

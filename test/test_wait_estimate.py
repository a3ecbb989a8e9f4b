"""Tests of the estimated wait for a place."""

import unittest

from pomelogauge.decide.queue import WaitingRequest
from pomelogauge.decide.wait_estimate import (
    EstimateRules,
    estimated_wait_s,
    requests_ahead,
)

from .router_fixtures import LARGE, SMALL, request


def waiting(organisation=LARGE, priority: int = 0) -> WaitingRequest:
    return WaitingRequest(request('r', organisation), priority, 0)


class WaitEstimateTest(unittest.TestCase):
    def test_organisations_take_turns(self) -> None:
        queued = [waiting() for _ in range(9)]
        self.assertEqual(requests_ahead(waiting(), queued), 9)
        self.assertEqual(requests_ahead(waiting(SMALL), queued), 1)
        queued.append(waiting(SMALL))
        self.assertEqual(requests_ahead(waiting(SMALL), queued), 3)

    def test_a_lower_priority_does_not_go_first(self) -> None:
        queued = [waiting(priority=number) for number in range(4)]
        self.assertEqual(requests_ahead(waiting(priority=2), queued), 2)

    def test_too_few_ends_say_nothing(self) -> None:
        rules = EstimateRules(window_s=10, min_ended=5)
        self.assertEqual(estimated_wait_s(100, 4, rules), 0)
        self.assertEqual(estimated_wait_s(100, 5, rules), 200)

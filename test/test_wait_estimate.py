"""Tests of the estimated wait for a slot."""

import unittest

from pomelogauge.decide.queue import WaitingRequest
from pomelogauge.decide.wait_estimate import (
    EstimateRules,
    estimated_wait_s,
    requests_ahead,
)

from .router_fixtures import LARGE, SMALL, request


def waiting(organisation=LARGE, priority: int = 0) -> WaitingRequest:
    """Build a waiting request of an organisation."""
    return WaitingRequest(request('r', organisation), priority, 0)


class WaitEstimateTest(unittest.TestCase):
    """Guards against requests refused on a wrong estimate of their wait."""

    def test_organisations_take_turns(self) -> None:
        queued = [waiting() for _ in range(9)]
        self.assertEqual(requests_ahead(waiting(), queued), 9)
        self.assertEqual(requests_ahead(waiting(SMALL), queued), 1)
        queued.append(waiting(SMALL))
        self.assertEqual(requests_ahead(waiting(SMALL), queued), 3)

    def test_requests_of_lower_priority_are_not_ahead(self) -> None:
        queued = [waiting(priority=number) for number in range(4)]
        self.assertEqual(requests_ahead(waiting(priority=2), queued), 2)

    def test_there_is_no_estimate_with_too_few_ended_requests(self) -> None:
        rules = EstimateRules(window_s=10, min_ended=5)
        self.assertEqual(estimated_wait_s(100, 4, rules), 0)
        self.assertEqual(estimated_wait_s(100, 5, rules), 200)

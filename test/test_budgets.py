"""Limits on retries, loads and requests to cold targets."""

import unittest
from random import Random

from pomelogauge.decide.cold_rate_limiter import ColdRateLimiter
from pomelogauge.decide.instance_retry_budget import InstanceRetryBudget
from pomelogauge.decide.load_budget import LoadBudget
from pomelogauge.decide.startup_grace import StartupGrace


class InstanceRetryBudgetTest(unittest.TestCase):
    """Guards against retries that multiply the load of an overloaded service."""

    def test_requests_allow_a_share_of_retries_beyond_the_reserve(self) -> None:
        budget = InstanceRetryBudget(share=0.2, window_s=10)
        for _ in range(10):
            budget.count_request(0)
        taken = [budget.take(1, reserve=1) for _ in range(5)]
        self.assertEqual(taken, [True, True, True, False, False])

    def test_a_retry_no_longer_counts_after_the_window(self) -> None:
        budget = InstanceRetryBudget(share=0, window_s=10)
        self.assertTrue(budget.take(0, reserve=1))
        self.assertFalse(budget.take(9, reserve=1))
        self.assertTrue(budget.take(10.1, reserve=1))


class LoadBudgetTest(unittest.TestCase):
    """Guards against more loads than the weight store can serve."""

    def test_one_owner_uses_half_of_the_rate(self) -> None:
        budget = LoadBudget()
        budget.count(4, 0)
        self.assertEqual(budget.remaining(4, 1), 6)
        self.assertEqual(budget.remaining(4, 5.1), 10)


class ColdRateLimiterTest(unittest.TestCase):
    """Guards against overloading a target that is still cold."""

    def test_requests_within_one_second_stay_within_the_limit(self) -> None:
        limiter = ColdRateLimiter(lambda: 0.5)
        for _ in range(3):
            limiter.count('t', 0)
        self.assertFalse(limiter.may_send('t', 0.9, 3))
        self.assertTrue(limiter.may_send('t', 0.9, 4))
        self.assertTrue(limiter.may_send('t', 1.1, 3))

    def test_many_instances_together_stay_within_the_limit(self) -> None:
        """83 instances learn at once that a target bears 26 requests a second.

        Each may send less than one request a second. Without a random start
        all of them send their first request at the same time.
        """
        rng = Random(1)
        limiters = [ColdRateLimiter(rng.random) for _ in range(83)]
        sent = []
        for tick in range(100):
            now_s = tick / 10
            for limiter in limiters:
                if limiter.may_send('t', now_s, 26 / len(limiters)):
                    limiter.count('t', now_s)
                    sent.append(now_s)
        for start in range(90):
            begin_s = start / 10
            within = [
                sent_s for sent_s in sent if begin_s <= sent_s < begin_s + 1
            ]
            self.assertLessEqual(len(within), 26 * 1.5 + 5)
        self.assertGreater(len(sent), 26 * 10 / 2)


class StartupGraceTest(unittest.TestCase):
    """Guards against groups planned from the first few targets of a start."""

    def test_groups_are_planned_once_the_number_of_targets_is_stable(
        self,
    ) -> None:
        startup_grace = StartupGrace(True, 0)
        self.assertFalse(startup_grace.has_settled(3, 1))
        self.assertFalse(startup_grace.has_settled(8, 1.6))
        self.assertFalse(startup_grace.has_settled(8, 2.2))
        self.assertTrue(startup_grace.has_settled(8, 2.4))
        self.assertTrue(
            startup_grace.has_settled(9, 10), 'the grace period is over'
        )

    def test_a_later_start_has_no_grace_period(self) -> None:
        self.assertFalse(StartupGrace(False, 0).is_active(0))
        self.assertTrue(StartupGrace(False, 0).has_settled(3, 0))

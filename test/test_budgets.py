"""Budgets of repeats, loads and cold targets."""

import unittest
from random import Random

from pomelogauge.decide.cold_rate_limiter import ColdRateLimiter
from pomelogauge.decide.instance_retry_budget import InstanceRetryBudget
from pomelogauge.decide.load_budget import LoadBudget
from pomelogauge.decide.startup_grace import StartupGrace


class RepeatBudgetTest(unittest.TestCase):
    def test_requests_pay_for_repeats(self) -> None:
        budget = InstanceRetryBudget(share=0.2, window_s=10)
        for _ in range(10):
            budget.count_request(0)
        taken = [budget.take(1, reserve=1) for _ in range(5)]
        self.assertEqual(taken, [True, True, True, False, False])

    def test_the_window_slides(self) -> None:
        budget = InstanceRetryBudget(share=0, window_s=10)
        self.assertTrue(budget.take(0, reserve=1))
        self.assertFalse(budget.take(9, reserve=1))
        self.assertTrue(budget.take(10.1, reserve=1))


class LoadBudgetTest(unittest.TestCase):
    def test_half_of_the_rate_is_used(self) -> None:
        budget = LoadBudget()
        budget.count(4, 0)
        self.assertEqual(budget.remaining(4, 1), 6)
        self.assertEqual(budget.remaining(4, 5.1), 10)


class ColdRateTest(unittest.TestCase):
    def test_a_cold_target_gets_its_rate_in_any_second(self) -> None:
        rate = ColdRateLimiter(lambda: 0.5)
        for _ in range(3):
            rate.count('t', 0)
        self.assertFalse(rate.may_send('t', 0.9, 3))
        self.assertTrue(rate.may_send('t', 0.9, 4))
        self.assertTrue(rate.may_send('t', 1.1, 3))

    def test_many_instances_together_keep_the_rate(self) -> None:
        rng = Random(1)
        rates = [ColdRateLimiter(rng.random) for _ in range(83)]
        sent = []
        for tick in range(100):
            now_s = tick / 10
            for rate in rates:
                if rate.may_send('t', now_s, 26 / len(rates)):
                    rate.count('t', now_s)
                    sent.append(now_s)
        for start in range(90):
            begin_s = start / 10
            inside = [one for one in sent if begin_s <= one < begin_s + 1]
            self.assertLessEqual(len(inside), 26 * 1.5 + 5)
        self.assertGreater(len(sent), 26 * 10 / 2)


class PreludeTest(unittest.TestCase):
    def test_groups_are_planned_once_the_targets_are_listed(self) -> None:
        startup_grace = StartupGrace(True, 0)
        self.assertFalse(startup_grace.has_settled(3, 1))
        self.assertFalse(startup_grace.has_settled(8, 1.6))
        self.assertFalse(startup_grace.has_settled(8, 2.2))
        self.assertTrue(startup_grace.has_settled(8, 2.4))
        self.assertTrue(startup_grace.has_settled(9, 10), 'it is over')

    def test_a_restart_has_none(self) -> None:
        self.assertFalse(StartupGrace(False, 0).is_active(0))
        self.assertTrue(StartupGrace(False, 0).has_settled(3, 0))

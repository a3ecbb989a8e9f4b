"""Targets that lose requests are left out, and taken back gently."""

import unittest

from pomelogauge.charts.reader import load_chart
from pomelogauge.decide.target_trust import (
    MOST_REST_S,
    REST_S,
    TRUSTED,
    Trust,
    take,
)
from pomelogauge.decide.trust_chart import (
    TRUST_WORDS,
    TrustAction,
    TrustEvent,
    TrustState,
)

CHART = load_chart('target_trust', TRUST_WORDS)


def after(trust: Trust, *events: tuple[TrustEvent, float]) -> Trust:
    for event, now_s in events:
        trust = take(CHART, trust, event, now_s).trust
    return trust


class TargetTrustTest(unittest.TestCase):
    def test_a_failure_is_told_and_the_target_rests(self) -> None:
        step = take(CHART, TRUSTED, TrustEvent.FAILED, 10)
        self.assertIs(step.action, TrustAction.TELL)
        self.assertTrue(step.trust.is_avoided(10 + REST_S - 0.1))
        self.assertFalse(step.trust.is_avoided(10 + REST_S))

    def test_answers_to_older_requests_do_not_end_a_rest(self) -> None:
        trust = after(
            TRUSTED, (TrustEvent.FAILED, 10), (TrustEvent.ANSWERED, 10.5)
        )
        self.assertTrue(trust.is_avoided(10.6))

    def test_an_answer_on_trial_ends_it(self) -> None:
        trust = after(
            TRUSTED, (TrustEvent.FAILED, 10), (TrustEvent.ANSWERED, 12)
        )
        self.assertEqual(trust, TRUSTED)

    def test_failures_together_count_once(self) -> None:
        trust = after(
            TRUSTED, (TrustEvent.FAILED, 10), (TrustEvent.FAILED, 10.1)
        )
        self.assertEqual(trust.rest_s, REST_S)
        self.assertEqual(trust.until_s, 10.1 + REST_S)

    def test_failures_on_trial_double_the_rest_up_to_its_limit(self) -> None:
        trust = TRUSTED
        now_s = 10.0
        for _ in range(5):
            trust = after(trust, (TrustEvent.FAILED, now_s))
            now_s = trust.until_s
        self.assertIs(trust.state, TrustState.AVOIDED)
        self.assertEqual(trust.rest_s, MOST_REST_S)

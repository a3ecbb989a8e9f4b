"""Targets that lose requests are left out, and taken back gently."""

import unittest

from pomelogauge.charts.reader import load_chart
from pomelogauge.decide.ejection_chart import (
    EJECTION_WORDS,
    EjectionAction,
    EjectionEvent,
    EjectionState,
)
from pomelogauge.decide.outlier_ejection import (
    FIRST_BACKOFF_S,
    MAX_BACKOFF_S,
    NOT_EJECTED,
    OutlierEjection,
    apply_event,
)

CHART = load_chart('target_trust', EJECTION_WORDS)


def after(
    ejection: OutlierEjection, *events: tuple[EjectionEvent, float]
) -> OutlierEjection:
    for event, now_s in events:
        ejection = apply_event(CHART, ejection, event, now_s).ejection
    return ejection


class TargetTrustTest(unittest.TestCase):
    def test_a_failure_is_told_and_the_target_rests(self) -> None:
        step = apply_event(CHART, NOT_EJECTED, EjectionEvent.FAILED, 10)
        self.assertIs(step.action, EjectionAction.REPORT)
        self.assertTrue(step.ejection.is_ejected(10 + FIRST_BACKOFF_S - 0.1))
        self.assertFalse(step.ejection.is_ejected(10 + FIRST_BACKOFF_S))

    def test_answers_to_older_requests_do_not_end_a_rest(self) -> None:
        ejection = after(
            NOT_EJECTED,
            (EjectionEvent.FAILED, 10),
            (EjectionEvent.ANSWERED, 10.5),
        )
        self.assertTrue(ejection.is_ejected(10.6))

    def test_an_answer_on_trial_ends_it(self) -> None:
        ejection = after(
            NOT_EJECTED,
            (EjectionEvent.FAILED, 10),
            (EjectionEvent.ANSWERED, 12),
        )
        self.assertEqual(ejection, NOT_EJECTED)

    def test_failures_together_count_once(self) -> None:
        ejection = after(
            NOT_EJECTED,
            (EjectionEvent.FAILED, 10),
            (EjectionEvent.FAILED, 10.1),
        )
        self.assertEqual(ejection.backoff_s, FIRST_BACKOFF_S)
        self.assertEqual(ejection.ejected_until_s, 10.1 + FIRST_BACKOFF_S)

    def test_failures_on_trial_double_the_rest_up_to_its_limit(self) -> None:
        ejection = NOT_EJECTED
        now_s = 10.0
        for _ in range(5):
            ejection = after(ejection, (EjectionEvent.FAILED, now_s))
            now_s = ejection.ejected_until_s
        self.assertIs(ejection.state, EjectionState.EJECTED)
        self.assertEqual(ejection.backoff_s, MAX_BACKOFF_S)

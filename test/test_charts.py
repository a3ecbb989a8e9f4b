"""Tests of reading, checking and drawing state charts."""

import unittest
from pathlib import Path

from pomelogauge.charts.diagram import render_charts_page
from pomelogauge.charts.reader import (
    bind_text,
    chart_text,
    load_chart,
    parse_chart,
)
from pomelogauge.decide.lease_chart import (
    LEASE_WORDS,
    LeaseAction,
    LeaseEvent,
    LeaseFacts,
    LeaseState,
)
from pomelogauge.model.errors import FindingsError

#: Disagrees with the lease chart in each kind of name.
BROKEN_CHART = """
statechart:
  name: broken
  root state:
    name: lease
    initial: absent
    states:
      - name: absent
        transitions:
          - event: wanted
            guard: no_such_guard
            target: held
          - event: no_such_event
            target: held
            action: no_such_action
      - name: held
      - name: taking
      - name: lapsed
"""


class ChartTest(unittest.TestCase):
    """A chart and the code that it is bound to must not disagree unnoticed."""

    def test_a_true_guard_selects_its_transition(self) -> None:
        chart = load_chart('shard_lease', LEASE_WORDS)
        move = chart.step(
            chart.initial, LeaseEvent.WANTED, LeaseFacts(unheld=True)
        )
        self.assertEqual(move.state, LeaseState.TAKING)
        self.assertEqual(move.action, LeaseAction.TAKE)

    def test_an_event_without_a_true_guard_changes_nothing(self) -> None:
        chart = load_chart('shard_lease', LEASE_WORDS)
        move = chart.step(chart.initial, LeaseEvent.WANTED, LeaseFacts())
        self.assertEqual(move.state, LeaseState.ABSENT)
        self.assertIsNone(move.action)

    def test_all_disagreements_are_reported_together(self) -> None:
        vocabulary = LEASE_WORDS
        with self.assertRaises(FindingsError) as caught:
            bind_text('broken', BROKEN_CHART, vocabulary)
        message = str(caught.exception)
        self.assertIn('guard no_such_guard is missing in the code', message)
        self.assertIn('no_such_action: action is missing in the code', message)
        self.assertIn('no_such_event: event is missing in the code', message)
        self.assertIn('taking: state is unreachable', message)
        self.assertIn('held: event wanted is not handled', message)

    def test_text_that_is_not_a_chart_is_a_finding(self) -> None:
        for text in ('', '[]', 'statechart: 3', '{', 'statechart:\n  name: x'):
            with self.subTest(text), self.assertRaises(FindingsError):
                parse_chart('bad', text)

    def test_a_key_that_comes_twice_is_a_finding(self) -> None:
        text = chart_text('shard_lease')
        twice = text.replace('statechart:', 'statechart:\n  name: first', 1)
        parse_chart('once', text)
        self.assertRaises(FindingsError, parse_chart, 'twice', twice)

    def test_the_charts_page_is_up_to_date(self) -> None:
        page = Path('docs/charts.md').read_text(encoding='utf-8')
        self.assertEqual(page, render_charts_page())

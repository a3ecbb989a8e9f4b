"""Tests of the scenario language and its runner."""

import tempfile
import unittest
from pathlib import Path

from pomelogauge.lab.features import read_plans
from pomelogauge.lab.record import (
    RunBegun,
    VersionPublished,
    events_of,
)
from pomelogauge.lab.record_file import read_record
from pomelogauge.lab.scenario import RECORD_NAME, RunOptions, run_files
from pomelogauge.lab.steps import VOCABULARY, StepError, Vocabulary
from pomelogauge.lab.waiting import stays, wait_until
from pomelogauge.model.errors import FindingsError

BROKEN = """\
Feature: Broken

  Background:
    Given an installation:
      | data_centers | north |
    And a miracle

  Scenario: One
    When the store is down

  Scenario: Two
    When the store is down
      | a | b |
    And north-router-0 melts
"""
QUICK = """\
Feature: Quick

  Scenario: A version is published twice
    Given an installation:
      | engines  | 0 |
      | services | 0 |
    And a manifest with 1 replica of 1 instance is published
    When the store loses the answer to the next write of configuration
    And a manifest with 2 replicas of 1 instance is published
    {last}
"""


class ScenarioTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.lines: list[str] = []

    def test_all_findings_come_before_anything_runs(self) -> None:
        self.write('a.feature', BROKEN)
        self.write(
            'b.feature', 'Feature: B\n Scenario: C\n When x\n spam\n eggs\n'
        )
        self.write('c.feature', 'Feature: C\n')
        with self.assertRaises(FindingsError) as caught:
            run_files([self.folder], RunOptions(), self.lines.append)
        found = [
            (Path(finding.location.source).name, finding.location.line)
            for finding in caught.exception.findings
        ]
        expected = [('a.feature', line) for line in (4, 6, 12, 14)]
        expected += [('b.feature', 4), ('b.feature', 5), ('c.feature', 0)]
        self.assertEqual(found, expected)
        self.assertEqual(self.lines, [])

    def test_a_step_that_matches_twice_is_a_finding(self) -> None:
        vocabulary = Vocabulary()
        vocabulary.step('{word} is down')(print)
        vocabulary.step('store is {word}')(print)
        path = self.write(
            'a.feature', 'Feature: A\n  Scenario: B\n    When store is down\n'
        )
        with self.assertRaises(FindingsError) as caught:
            read_plans([path], vocabulary)
        self.assertIn('several', str(caught.exception))

    def test_a_scenario_runs_and_leaves_its_record(self) -> None:
        path = self.write('q.feature', QUICK.format(last=''))
        passed = run_files(
            [path], RunOptions(7, self.folder / 'kept'), self.lines.append
        )
        self.assertTrue(passed, self.lines)
        self.assertIn('(seed 7)', self.lines[0])
        self.assertEqual(self.lines[-1], '1 passed, 0 failed')
        (kept,) = self.folder.glob(f'kept/*/{RECORD_NAME}')
        events = read_record(kept)
        self.assertIsInstance(events[0], RunBegun)
        published = [
            event.version for event in events_of(VersionPublished, events)
        ]
        self.assertEqual(published, [1, 2])

    def test_a_step_that_fails_ends_its_scenario(self) -> None:
        last = 'And the last call is answered\n    And the store is down\n'
        path = self.write('q.feature', QUICK.format(last=last))
        options = RunOptions(record=self.folder)
        self.assertFalse(run_files([path], options, self.lines.append))
        self.assertIn('failed', self.lines[-3])
        self.assertEqual(self.lines[-1], '0 passed, 1 failed')

    def test_waiting_looks_at_least_once(self) -> None:
        wait_until(lambda: '', 0)
        said = iter(('', '', 'gone'))
        with self.assertRaisesRegex(StepError, 'gone'):
            stays(lambda: next(said), 10)
        with self.assertRaisesRegex(StepError, 'never'):
            wait_until(lambda: 'never', 0)

    def test_patterns_are_unlike(self) -> None:
        patterns = VOCABULARY.patterns()
        self.assertEqual(len(patterns), len(set(patterns)))

    def write(self, name: str, text: str) -> Path:
        path = self.folder / name
        path.write_text(text)
        return path


if __name__ == '__main__':
    unittest.main()

"""Tests of the spread of configurations and the settings version chart."""

import unittest
from random import Random

from pomelogauge.charts.reader import load_chart
from pomelogauge.decide import spread
from pomelogauge.decide.known_versions import KnownVersions
from pomelogauge.decide.version_chart import (
    VERSION_WORDS,
    VersionAction,
    VersionEvent,
    VersionFacts,
    VersionState,
)
from pomelogauge.model.ids import ConfigVersion

from .peer_fakes import view

PEERS = (view('b', 3), view('c', 5), view('d', 4))


class SpreadTest(unittest.TestCase):
    """Guards against too many reads and against false confirmations."""

    def test_reads_per_second_are_bounded_over_all_processes(self) -> None:
        settings = spread.SpreadSettings()
        for processes in (1, 16, 420):
            interval_s = settings.interval_s(processes - 1, 0)
            self.assertLessEqual(processes / interval_s, settings.reads_per_s)
        nearly_cut_off = settings.interval_s(419, settings.cut_off_after_s)
        self.assertEqual(nearly_cut_off, settings.pull_interval_s)

    def test_pushes_to_peers_behind_and_fetches_from_peers_ahead(self) -> None:
        rng = Random(1)
        behind = spread.push_targets(PEERS, ConfigVersion(5), 4, rng)
        self.assertCountEqual(behind, ('b:90', 'd:90'))
        self.assertEqual(len(spread.push_targets(PEERS, 9, 2, rng)), 2)
        self.assertEqual(spread.pick_source(PEERS, 5, rng), 'c:90')
        self.assertIsNone(spread.pick_source(PEERS, 6, rng))

    def test_a_version_below_a_known_one_is_not_confirmed(self) -> None:
        known = KnownVersions(1, in_force=ConfigVersion(3))
        known = known.with_peers(PEERS, 7)
        self.assertTrue(known.is_behind)
        known = known.with_adopted(ConfigVersion(4))
        self.assertEqual(known.unconfirmed_s(9), 8)
        known = known.with_adopted(ConfigVersion(5))
        self.assertEqual(known.unconfirmed_s(9), 2)

    def test_adopting_a_version_does_not_confirm_it(self) -> None:
        known = KnownVersions(1).with_adopted(ConfigVersion(5))
        self.assertEqual(known.unconfirmed_s(9), 8)
        known = known.with_stored(ConfigVersion(4), 6)
        self.assertEqual(known.unconfirmed_s(9), 3)


class VersionChartTest(unittest.TestCase):
    """Guards against service without a confirmed version."""

    def test_each_event_leads_to_its_state_and_action(self) -> None:
        newest = VersionFacts(ConfigVersion(3), ConfigVersion(4), 4)
        older = VersionFacts(ConfigVersion(3), ConfigVersion(4), 3)
        unknown, in_force, cut_off = VersionState
        offered, confirmed, expired = VersionEvent
        for case in (
            (unknown, offered, older, unknown, None),
            (unknown, offered, newest, in_force, 'adopt_and_serve'),
            (unknown, expired, newest, unknown, None),
            (in_force, offered, older, in_force, None),
            (in_force, offered, newest, in_force, 'adopt'),
            (in_force, expired, newest, cut_off, 'stop_serving'),
            (cut_off, offered, newest, cut_off, 'adopt'),
            (cut_off, offered, older, cut_off, None),
            (cut_off, confirmed, older, in_force, 'serve'),
        ):
            with self.subTest(case):
                self.check(*case)

    def check(
        self,
        state: VersionState,
        event: VersionEvent,
        facts: VersionFacts,
        after: VersionState,
        action: VersionAction | None,
    ) -> None:
        """Check the state and the action after one event."""
        chart = load_chart('settings_version', VERSION_WORDS)
        move = chart.step(state, event, facts)
        self.assertEqual((move.state, move.action), (after, action))

"""Tests of compact news of peers."""

import unittest
from dataclasses import replace
from unittest import mock

from pomelogauge.decide import heartbeats
from pomelogauge.decide.heartbeats import (
    heartbeats_of,
    merge_heartbeats,
    missing_views,
)
from pomelogauge.decide.membership import merge_views
from pomelogauge.model.ids import Incarnation, NodeName
from pomelogauge.model.peers import NodePhase, PeerView

from .peer_fakes import report, view

OWN = NodeName('a')
B = NodeName('b')


class HeartbeatsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.known = merge_views({}, OWN, [view('b', 3), view('c', 3)], 10)

    def hear(self, heard: PeerView, now_s: float) -> None:
        groups = heartbeats_of([heard])
        self.known = merge_heartbeats(self.known, groups, now_s)

    def test_a_later_heartbeat_carries_version_and_phase(self) -> None:
        later = report('b', 4, phase=NodePhase.LEAVING)
        self.hear(PeerView(later, 1), 13)
        self.assertEqual(self.known[B].made_at_s, 12)
        self.assertEqual(self.known[B].report, later)

    def test_neither_time_nor_version_falls(self) -> None:
        before = dict(self.known)
        self.hear(PeerView(report('b', 4), 5), 13)
        self.hear(PeerView(report('b', 2), 0), 13)
        self.assertEqual(self.known, before)

    def test_another_life_and_strangers_are_no_heartbeat(self) -> None:
        before = dict(self.known)
        reborn = replace(report('b', 4), incarnation=Incarnation('i9'))
        for stranger in (reborn, report('x', 4)):
            self.hear(PeerView(stranger, 0), 13)
        self.assertEqual(self.known, before)

    def test_peers_that_share_a_fingerprint_are_left_alone(self) -> None:
        before = dict(self.known)
        with mock.patch.object(heartbeats, '_fingerprint', return_value=7):
            self.hear(PeerView(report('b', 4), 0), 13)
        self.assertEqual(self.known, before)

    def test_what_the_other_lacks_is_told_whole(self) -> None:
        views = (view('b'), view('c'), view('d'))
        heard = heartbeats_of(views[:2])
        self.assertEqual(missing_views(views, heard, OWN), views[2:])
        self.assertEqual(missing_views(views, heard, NodeName('d')), ())

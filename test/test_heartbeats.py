"""Tests of heartbeats of peers in compact form."""

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
from pomelogauge.model.peers import PeerView
from pomelogauge.model.phase import NodePhase

from .peer_fakes import report, view

OWN = NodeName('a')
B = NodeName('b')


class HeartbeatsTest(unittest.TestCase):
    """Guards against heartbeats that change the wrong peer or go back."""

    def setUp(self) -> None:
        self.known = merge_views({}, OWN, [view('b', 3), view('c', 3)], 10)

    def receive(self, received: PeerView, now_s: float) -> None:
        """Merge the heartbeat of one peer into the known peers."""
        groups = heartbeats_of([received])
        self.known = merge_heartbeats(self.known, groups, now_s)

    def test_a_later_heartbeat_carries_version_and_phase(self) -> None:
        later = report('b', 4, phase=NodePhase.LEAVING)
        self.receive(PeerView(later, 1), 13)
        self.assertEqual(self.known[B].made_at_s, 12)
        self.assertEqual(self.known[B].report, later)

    def test_an_older_heartbeat_or_a_lower_version_changes_nothing(
        self,
    ) -> None:
        before = dict(self.known)
        self.receive(PeerView(report('b', 4), 5), 13)
        self.receive(PeerView(report('b', 2), 0), 13)
        self.assertEqual(self.known, before)

    def test_another_incarnation_and_unknown_peers_change_nothing(self) -> None:
        before = dict(self.known)
        restarted = replace(report('b', 4), incarnation=Incarnation('i9'))
        for unknown in (restarted, report('x', 4)):
            self.receive(PeerView(unknown, 0), 13)
        self.assertEqual(self.known, before)

    def test_heartbeats_of_peers_that_share_a_fingerprint_are_ignored(
        self,
    ) -> None:
        before = dict(self.known)
        with mock.patch.object(heartbeats, '_fingerprint', return_value=7):
            self.receive(PeerView(report('b', 4), 0), 13)
        self.assertEqual(self.known, before)

    def test_views_that_the_sender_of_heartbeats_lacks_are_returned(
        self,
    ) -> None:
        views = (view('b'), view('c'), view('d'))
        received = heartbeats_of(views[:2])
        self.assertEqual(missing_views(views, received, OWN), views[2:])
        self.assertEqual(missing_views(views, received, NodeName('d')), ())

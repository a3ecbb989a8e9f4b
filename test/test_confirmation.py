"""Tests of the quorum that confirms the version in force."""

import unittest
from dataclasses import replace

from pomelogauge.decide.confirmation import (
    Voters,
    confirmation_age_s,
    voters_of,
)
from pomelogauge.model.ids import NodeName
from pomelogauge.model.peers import PeerView
from pomelogauge.model.phase import NodePhase
from pomelogauge.model.topology import InstanceRole

from .peer_fakes import report, view
from .test_membership import listed

PEERS = (view('b', 3), view('c', 5), view('d', 4))


def voters(names: str) -> Voters:
    """Build voters named by one letter each."""
    return Voters(frozenset(map(NodeName, names)))


def aged(name: str, age_s: float) -> PeerView:
    """Build the view of a peer with version 0 and a report of some age."""
    return PeerView(report(name), age_s)


class ConfirmationTest(unittest.TestCase):
    """Guards against a version confirmed without a quorum."""

    def test_a_starting_peer_confirms_nothing(self) -> None:
        starting = (view('b', 0, phase=NodePhase.STARTING),)
        self.assertIsNone(confirmation_age_s(starting, 0, voters('b')))

    def test_half_of_the_other_peers_must_report_no_higher_version(
        self,
    ) -> None:
        self.assertIsNone(confirmation_age_s(PEERS, 3, voters('bcd')))
        self.assertEqual(confirmation_age_s(PEERS, 4, voters('bcd')), 0)
        # Without an instance list, all live peers count.
        self.assertIsNone(confirmation_age_s(PEERS, 3, Voters()))
        self.assertEqual(confirmation_age_s(PEERS, 4, Voters()), 0)

    def test_at_most_one_side_of_a_partition_confirms_its_version(self) -> None:
        for size in range(2, 12):
            names = [f'n{number}' for number in range(size)]
            everyone = frozenset(map(NodeName, names))
            for cut in range(1, size):
                sides = (names[:cut], names[cut:])
                confirmed = [
                    side
                    for side in sides
                    if confirmation_age_s(
                        [view(name) for name in side[1:]],
                        0,
                        Voters(everyone - {side[0]}),
                    )
                    is not None
                ]
                self.assertLessEqual(len(confirmed), 1, (size, cut))

    def test_age_is_that_of_the_report_that_completes_the_quorum(self) -> None:
        peers = (aged('b', 1), aged('c', 7), aged('d', 3), aged('x', 0))
        self.assertEqual(confirmation_age_s(peers, 0, voters('bcd')), 3)

    def test_engines_and_leaving_peers_do_not_count(self) -> None:
        instances = (
            listed('a'),
            listed('b'),
            replace(listed('c'), leaving=True),
            replace(listed('d'), role=InstanceRole.ENGINE),
        )
        self.assertEqual(voters_of(instances, NodeName('a')), voters('b'))

"""Tests of rendezvous hashing."""

import unittest

from pomelogauge.decide.rendezvous import ranked, winner
from pomelogauge.model.ids import NodeName

NODES = tuple(NodeName(f'n{number}') for number in range(8))


class RendezvousTest(unittest.TestCase):
    def test_order_of_nodes_does_not_matter(self) -> None:
        self.assertEqual(ranked('k', NODES), ranked('k', reversed(NODES)))

    def test_only_the_keys_of_a_lost_node_move(self) -> None:
        for key in map(str, range(100)):
            first = winner(key, NODES)
            rest = [node for node in NODES if node != NODES[0]]
            if first != NODES[0]:
                self.assertEqual(winner(key, rest), first)

    def test_no_nodes(self) -> None:
        self.assertIsNone(winner('k', ()))

"""Tests of rendezvous hashing."""

import unittest

from pomelogauge.decide.rendezvous import ranked, winner
from pomelogauge.model.ids import NodeName

NODES = tuple(NodeName(f'n{number}') for number in range(8))


class RendezvousTest(unittest.TestCase):
    """Guards against processes that rank the same nodes differently."""

    def test_ranking_does_not_depend_on_the_order_of_the_nodes(self) -> None:
        self.assertEqual(ranked('k', NODES), ranked('k', reversed(NODES)))

    def test_loss_of_a_node_moves_only_the_keys_that_it_won(self) -> None:
        for key in map(str, range(100)):
            first = winner(key, NODES)
            rest = [node for node in NODES if node != NODES[0]]
            if first != NODES[0]:
                self.assertEqual(winner(key, rest), first)

    def test_there_is_no_winner_without_nodes(self) -> None:
        self.assertIsNone(winner('k', ()))

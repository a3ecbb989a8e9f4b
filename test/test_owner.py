"""The owner of all groups in fake time, under faults drawn by seeds."""

import logging
import unittest

from .owner_simulation import Simulation

SEEDS = 24
STEPS = 400
FAULT_SHARE = 0.08


class OwnerTest(unittest.TestCase):
    def setUp(self) -> None:
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def run_for(self, simulation: Simulation, seconds: float) -> None:
        for _ in range(round(seconds / 0.25)):
            simulation.step()

    def test_groups_are_formed_and_opened(self) -> None:
        simulation = Simulation(0)
        self.run_for(simulation, 5)
        self.assertEqual(simulation.groups_open(), 2)

    def test_a_group_is_repaired_by_a_spare(self) -> None:
        simulation = Simulation(0)
        self.run_for(simulation, 5)
        lost = next(
            real
            for real in simulation.targets.values()
            if real.membership is not None and real.membership.rank
        )
        lost.is_dark = True
        self.run_for(simulation, 10)
        self.assertEqual(simulation.groups_open(), 2)

    def test_a_successor_keeps_the_groups_that_stand(self) -> None:
        simulation = Simulation(0)
        self.run_for(simulation, 5)
        epochs = [real.top_epoch for real in simulation.targets.values()]
        simulation.owners = [simulation.owner('n9')]
        self.run_for(simulation, 10)
        again = [real.top_epoch for real in simulation.targets.values()]
        self.assertEqual(epochs, again)

    def test_no_target_is_ever_in_two_groups(self) -> None:
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                simulation = Simulation(seed)
                for _ in range(STEPS):
                    if simulation.rng.random() < FAULT_SHARE:
                        simulation.fault()
                    simulation.step()
                self.assertEqual(simulation.broken, [])

    def test_groups_come_back_once_the_faults_have_ended(self) -> None:
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                simulation = Simulation(seed)
                for _ in range(STEPS // 4):
                    if simulation.rng.random() < FAULT_SHARE:
                        simulation.fault()
                    simulation.step()
                simulation.heal()
                self.run_for(simulation, 60)
                self.assertGreaterEqual(simulation.groups_open(), 2)

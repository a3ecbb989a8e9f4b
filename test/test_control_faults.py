"""A long random run of the controllers' tasks under faults.

The variable ``POMELOGAUGE_FAULT_SEEDS`` sets the number of seeds a scene,
``POMELOGAUGE_FAULT_SECONDS`` the simulated seconds of each, and
``POMELOGAUGE_FAULT_SEED`` the first seed.
"""

import logging
import os
import unittest
from dataclasses import replace

from pomelogauge.lab.checkers_control import check_control
from pomelogauge.model.times import ControlTimes

from .control_simulation import (
    LATE_ORDER_S,
    STEP_S,
    ControlSimulation,
    SimulationSettings,
)

SEEDS = int(os.environ.get('POMELOGAUGE_FAULT_SEEDS', '2'))
SECONDS = float(os.environ.get('POMELOGAUGE_FAULT_SECONDS', '60'))
FIRST_SEED = int(os.environ.get('POMELOGAUGE_FAULT_SEED', '1'))
RECOVERY_S = 90.0
#: Seeds tried until a mechanism that is off has done harm.
HARMFUL_SEEDS = 20


def run(
    settings: SimulationSettings, seconds: float = SECONDS
) -> ControlSimulation:
    simulation = ControlSimulation(settings)
    simulation.run(20, faulty=False)
    simulation.run(seconds, faulty=True)
    return simulation


class ControlFaultsTest(unittest.TestCase):
    def setUp(self) -> None:
        logging.disable(logging.ERROR)
        self.addCleanup(logging.disable, logging.NOTSET)

    def check(self, *, checks_fence: bool) -> None:
        for seed in range(FIRST_SEED, FIRST_SEED + SEEDS):
            with self.subTest(seed=seed):
                simulation = run(SimulationSettings(seed, checks_fence))
                simulation.run(RECOVERY_S, faulty=False)
                found = check_control(simulation.history)
                self.assertEqual(found[:3], ())
                names = {one.replica.replica for one in simulation.serving()}
                self.assertEqual(len(names), 2, f'seed {seed}: no recovery')

    def test_newer_version_leaves_one_replica_serving(self) -> None:
        simulation = ControlSimulation(SimulationSettings(FIRST_SEED))
        simulation.run(20, faulty=False)
        simulation.publish_model_version('2')
        for _ in range(300):
            simulation.run(STEP_S, faulty=False)
            self.assertGreaterEqual(len(simulation.serving()), 1)
        versions = [one.replica.model_version for one in simulation.serving()]
        self.assertEqual(versions, ['2', '2'])
        self.assertEqual(check_control(simulation.history), ())

    def test_engines_that_check_fencing_numbers(self) -> None:
        self.check(checks_fence=True)

    def test_engines_that_ignore_fencing_numbers(self) -> None:
        self.check(checks_fence=False)

    def assert_harm(self, settings: SimulationSettings, words: str) -> None:
        """Check that some seed breaks a promise in these words."""
        messages: list[str] = []
        for seed in range(FIRST_SEED, FIRST_SEED + HARMFUL_SEEDS):
            simulation = run(replace(settings, seed=seed), seconds=120)
            found = check_control(simulation.history)
            messages.extend(one.message for one in found)
            if any(words in message for message in messages):
                return
        self.fail(f'no seed shows "{words}": {messages[:3]}')

    def test_run_finds_a_missing_lease_condition(self) -> None:
        settings = SimulationSettings(0, lease_condition=False, late_writes=0.3)
        self.assert_harm(settings, 'write of old lease')

    def test_run_finds_a_missing_margin(self) -> None:
        times = ControlTimes(lease_margin_s=0)
        settings = SimulationSettings(0, checks_fence=False, times=times)
        self.assert_harm(settings, 'is held by epochs')

    def test_run_finds_orders_that_outlive_the_margin(self) -> None:
        settings = SimulationSettings(
            0, checks_fence=False, order_life_s=LATE_ORDER_S
        )
        self.assert_harm(settings, 'took an old order')


if __name__ == '__main__':
    unittest.main()

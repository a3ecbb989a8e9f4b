"""Randomised tests of the controllers' tasks under simulated faults.

The environment variable ``POMELOGAUGE_FAULT_SEEDS`` sets the number of seeds
per test, ``POMELOGAUGE_FAULT_SECONDS`` the simulated seconds per seed, and
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
#: Seeds tried until the run without a mechanism shows a violation.
VIOLATION_SEEDS = 20


def run(
    settings: SimulationSettings, seconds: float = SECONDS
) -> ControlSimulation:
    """Run without faults for 20 s, then with faults."""
    simulation = ControlSimulation(settings)
    simulation.run(20, faulty=False)
    simulation.run(seconds, faulty=True)
    return simulation


class ControlFaultsTest(unittest.TestCase):
    """Guards against two owners of a shard that act at the same time.

    Controllers, engines and the platform crash, pause and lose messages. Runs
    with one mechanism turned off check that the checkers detect its lack.
    """

    def setUp(self) -> None:
        logging.disable(logging.ERROR)
        self.addCleanup(logging.disable, logging.NOTSET)

    def check(self, *, checks_fence: bool) -> None:
        """Check the history of each seed, and the recovery after it."""
        for seed in range(FIRST_SEED, FIRST_SEED + SEEDS):
            with self.subTest(seed=seed):
                simulation = run(SimulationSettings(seed, checks_fence))
                simulation.run(RECOVERY_S, faulty=False)
                violations = check_control(simulation.history)
                self.assertEqual(violations[:3], ())
                names = {
                    served.replica.replica for served in simulation.serving()
                }
                self.assertEqual(len(names), 2, f'seed {seed}: no recovery')

    def test_newer_model_version_keeps_one_replica_serving(self) -> None:
        simulation = ControlSimulation(SimulationSettings(FIRST_SEED))
        simulation.run(20, faulty=False)
        simulation.publish_model_version('2')
        for _ in range(300):
            simulation.run(STEP_S, faulty=False)
            self.assertGreaterEqual(len(simulation.serving()), 1)
        versions = [
            served.replica.model_version for served in simulation.serving()
        ]
        self.assertEqual(versions, ['2', '2'])
        self.assertEqual(check_control(simulation.history), ())

    def test_safe_with_engines_that_check_fencing_numbers(self) -> None:
        self.check(checks_fence=True)

    def test_safe_with_engines_that_ignore_fencing_numbers(self) -> None:
        self.check(checks_fence=False)

    def assert_violation(
        self, settings: SimulationSettings, words: str
    ) -> None:
        """Check that some seed shows a violation with these words."""
        messages: list[str] = []
        for seed in range(FIRST_SEED, FIRST_SEED + VIOLATION_SEEDS):
            simulation = run(replace(settings, seed=seed), seconds=120)
            violations = check_control(simulation.history)
            messages.extend(violation.message for violation in violations)
            if any(words in message for message in messages):
                return
        self.fail(f'no seed shows "{words}": {messages[:3]}')

    def test_detects_writes_without_the_lease_condition(self) -> None:
        settings = SimulationSettings(0, lease_condition=False, late_writes=0.3)
        self.assert_violation(settings, 'write of old lease')

    def test_detects_a_lease_without_a_margin(self) -> None:
        times = ControlTimes(lease_margin_s=0)
        settings = SimulationSettings(0, checks_fence=False, times=times)
        self.assert_violation(settings, 'is held by epochs')

    def test_detects_orders_that_outlive_the_margin(self) -> None:
        settings = SimulationSettings(
            0, checks_fence=False, order_life_s=LATE_ORDER_S
        )
        self.assert_violation(settings, 'took an old order')


if __name__ == '__main__':
    unittest.main()

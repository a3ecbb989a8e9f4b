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

from .control_simulation import LATE_ORDER_S, Scene, World

SEEDS = int(os.environ.get('POMELOGAUGE_FAULT_SEEDS', '2'))
SECONDS = float(os.environ.get('POMELOGAUGE_FAULT_SECONDS', '60'))
FIRST_SEED = int(os.environ.get('POMELOGAUGE_FAULT_SEED', '1'))
RECOVERY_S = 90.0
#: Seeds tried until a mechanism that is off has done harm.
HARMFUL_SEEDS = 20


def run(scene: Scene, seconds: float = SECONDS) -> World:
    world = World(scene)
    world.run(20, faulty=False)
    world.run(seconds, faulty=True)
    return world


class ControlFaultsTest(unittest.TestCase):
    def setUp(self) -> None:
        logging.disable(logging.ERROR)
        self.addCleanup(logging.disable, logging.NOTSET)

    def check(self, *, checks_fence: bool) -> None:
        for seed in range(FIRST_SEED, FIRST_SEED + SEEDS):
            with self.subTest(seed=seed):
                world = run(Scene(seed, checks_fence))
                world.run(RECOVERY_S, faulty=False)
                found = check_control(world.history)
                self.assertEqual(found[:3], ())
                names = {one.replica.replica for one in world.serving()}
                self.assertEqual(len(names), 2, f'seed {seed}: no recovery')

    def test_engines_that_check_fencing_numbers(self) -> None:
        self.check(checks_fence=True)

    def test_engines_that_ignore_fencing_numbers(self) -> None:
        self.check(checks_fence=False)

    def assert_harm(self, scene: Scene, words: str) -> None:
        """Check that some seed breaks a promise in these words."""
        messages: list[str] = []
        for seed in range(FIRST_SEED, FIRST_SEED + HARMFUL_SEEDS):
            world = run(replace(scene, seed=seed), seconds=120)
            found = check_control(world.history)
            messages.extend(one.message for one in found)
            if any(words in message for message in messages):
                return
        self.fail(f'no seed shows "{words}": {messages[:3]}')

    def test_run_finds_a_missing_lease_condition(self) -> None:
        scene = Scene(0, lease_condition=False, late_writes=0.3)
        self.assert_harm(scene, 'write of old lease')

    def test_run_finds_a_missing_margin(self) -> None:
        times = ControlTimes(lease_margin_s=0)
        scene = Scene(0, checks_fence=False, times=times)
        self.assert_harm(scene, 'is held by epochs')

    def test_run_finds_orders_that_outlive_the_margin(self) -> None:
        scene = Scene(0, checks_fence=False, order_life_s=LATE_ORDER_S)
        self.assert_harm(scene, 'took an old order')


if __name__ == '__main__':
    unittest.main()

"""Runs every scenario below ``test/scenarios``, one test each."""

import unittest
from collections.abc import Callable
from pathlib import Path

from pomelogauge.lab.features import ScenarioPlan
from pomelogauge.lab.scenario import RunOptions, plans_of, run_plan

FOLDER = Path(__file__).parent / 'scenarios'


class ScenariosTest(unittest.TestCase):
    """Filled below."""


def _test_of(plan: ScenarioPlan) -> Callable[[ScenariosTest], None]:
    def test(self: ScenariosTest) -> None:
        lines: list[str] = []
        outcome = run_plan(plan, RunOptions(), lines.append)
        self.assertTrue(outcome.passed, '\n'.join(('', *lines)))

    return test


PLANS = plans_of([FOLDER])
for _plan in PLANS:
    _name = f'test_{_plan.slug.replace("-", "_")}'
    setattr(ScenariosTest, _name, _test_of(_plan))


if __name__ == '__main__':
    unittest.main()

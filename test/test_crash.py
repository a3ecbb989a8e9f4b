"""Targets at whose address nothing listens."""

import unittest

from pomelogauge.decide.crash import has_crashed
from pomelogauge.model.fleet import TargetState
from pomelogauge.model.ids import TargetName

from .entry_fakes import fleet, target

STEADY = {'listed_since_s': 90.0, 'listed_s': 99.0}


class CrashTest(unittest.TestCase):
    def crashed(self, *targets: object, **fields: float) -> bool:
        known = fleet(*targets, **{**STEADY, **fields})
        return has_crashed(TargetName('t'), known, 100.0)

    def test_one_that_is_listed_as_ready_has_crashed(self) -> None:
        self.assertTrue(self.crashed(target('t')))

    def test_one_that_leaves_may_work_on(self) -> None:
        draining = target('t', state=TargetState.DRAINING)
        self.assertFalse(self.crashed(draining))
        self.assertFalse(self.crashed())

    def test_a_list_with_a_gap_proves_nothing(self) -> None:
        """A head that had left while the store was down was still open."""
        self.assertFalse(self.crashed(target('t'), listed_since_s=97.0))

    def test_an_old_list_proves_nothing(self) -> None:
        self.assertFalse(self.crashed(target('t'), listed_s=97.0))

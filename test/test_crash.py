"""Distinction between a crashed target and one that shuts down."""

import unittest

from pomelogauge.decide.crash import has_crashed
from pomelogauge.model.fleet import TargetState
from pomelogauge.model.ids import TargetName

from .entry_fakes import fleet, target

STEADY = {'listed_since_s': 90.0, 'listed_s': 99.0}


class CrashTest(unittest.TestCase):
    """Guards against treating a target that shuts down as crashed.

    Its running requests would be cut off, and its group would be formed again
    while the head still takes requests.
    """

    def crashed(self, *targets: object, **fields: float) -> bool:
        """Return the verdict at time 100 for target ``t`` in this fleet."""
        known = fleet(*targets, **{**STEADY, **fields})
        return has_crashed(TargetName('t'), known, 100.0)

    def test_a_target_listed_as_ready_has_crashed(self) -> None:
        self.assertTrue(self.crashed(target('t')))

    def test_a_draining_or_unlisted_target_has_not_crashed(self) -> None:
        """It stops listening but goes on with its running requests."""
        draining = target('t', state=TargetState.DRAINING)
        self.assertFalse(self.crashed(draining))
        self.assertFalse(self.crashed())

    def test_a_list_read_with_a_gap_proves_no_crash(self) -> None:
        """A head left while the store was down and was still listed as open."""
        self.assertFalse(self.crashed(target('t'), listed_since_s=97.0))

    def test_an_old_list_proves_no_crash(self) -> None:
        self.assertFalse(self.crashed(target('t'), listed_s=97.0))

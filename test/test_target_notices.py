"""What targets ask for in their answers, and for how long it holds."""

import math
import unittest

from pomelogauge.decide.target_notices import UNLISTED_NOTICE_S, TargetNotices
from pomelogauge.model.entry_request import TargetAddress, TargetNotice
from pomelogauge.model.ids import Address

from .entry_fakes import target

LEAVING = TargetNotice(is_leaving=True)


def pause(seconds: float) -> TargetNotice:
    return TargetNotice(retry_after_s=seconds)


class TargetNoticesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.notices = TargetNotices()

    def record(
        self, notice: TargetNotice, now_s: float, start: int = 1
    ) -> bool:
        answered = TargetAddress('t', Address('t:1'), start)
        return self.notices.record(answered, notice, now_s)

    def wait_s(self, now_s: float, start: int = 1) -> float:
        return self.notices.wait_s(target('t', started_at_ms=start), now_s)

    def test_a_pause_ends_by_itself(self) -> None:
        self.record(pause(2), 10)
        self.assertEqual([self.wait_s(11), self.wait_s(12)], [1, 0])

    def test_a_shorter_pause_does_not_end_a_longer_one(self) -> None:
        self.record(pause(5), 10)
        self.record(pause(1), 11)
        self.assertEqual(self.wait_s(12), 3)

    def test_a_pause_does_not_end_a_leaving(self) -> None:
        """Guards against requests to a target that said it leaves, then 503."""
        self.record(LEAVING, 10)
        self.record(pause(1), 11)
        self.assertEqual(self.wait_s(100), math.inf)

    def test_only_the_first_of_the_same_notices_changes_anything(self) -> None:
        """Guards against a log line for each answer of a leaving target."""
        changes = [self.record(LEAVING, now_s) for now_s in (10, 11, 12)]
        self.assertEqual(changes, [True, False, False])
        self.assertTrue(self.record(LEAVING, 13, start=2))

    def test_a_later_start_has_asked_for_nothing(self) -> None:
        self.record(LEAVING, 10)
        self.assertEqual(self.wait_s(11, start=2), 0)

    def test_an_answer_of_an_earlier_start_changes_nothing(self) -> None:
        self.record(pause(5), 10, start=2)
        self.record(LEAVING, 11, start=1)
        self.assertEqual(self.wait_s(12, start=2), 3)

    def test_a_pause_binds_a_later_start_that_is_listed_afterwards(
        self,
    ) -> None:
        """Guards against a list that lags behind a restarted target.

        The restarted target answers at the address of the start before.
        """
        self.record(pause(5), 10, start=1)
        self.assertEqual(self.wait_s(12, start=2), 3)

    def test_a_start_dated_before_the_last_one_is_heard(self) -> None:
        """Guards against the clock of a target's host that is set back."""
        self.record(LEAVING, 10, start=2)
        self.record(pause(5), 11, start=1)
        self.assertEqual(self.wait_s(12, start=1), 4)
        self.record(LEAVING, 12, start=1)
        self.assertEqual(self.wait_s(30, start=1), math.inf)

    def test_a_leaving_target_that_is_listed_is_never_used_again(self) -> None:
        self.record(LEAVING, 10)
        self.notices.forget_old({'t': target('t')}, 10 + 2 * UNLISTED_NOTICE_S)
        self.assertEqual(self.wait_s(10 + 2 * UNLISTED_NOTICE_S), math.inf)

    def test_a_leaving_target_may_lapse_from_the_list_for_a_while(self) -> None:
        """Guards against its use when the store lists it again."""
        self.record(LEAVING, 10)
        self.notices.forget_old({}, 10 + UNLISTED_NOTICE_S / 2)
        self.assertEqual(self.wait_s(10 + UNLISTED_NOTICE_S), math.inf)

    def test_a_target_may_lapse_long_after_it_said_that_it_leaves(self) -> None:
        """Guards against counting the time for which it was still listed."""
        self.record(LEAVING, 10)
        lapsed_s = 10 + 2 * UNLISTED_NOTICE_S
        self.notices.forget_old({'t': target('t')}, lapsed_s)
        self.notices.forget_old({}, lapsed_s + 1)
        self.assertEqual(self.wait_s(lapsed_s + 2), math.inf)

    def test_the_notices_of_targets_that_are_gone_are_forgotten(self) -> None:
        self.record(LEAVING, 10)
        self.notices.forget_old({}, 11 + UNLISTED_NOTICE_S)
        self.assertEqual(self.wait_s(12 + UNLISTED_NOTICE_S), 0)


if __name__ == '__main__':
    unittest.main()

"""Who owns the groups, through failures of holders and of the store."""

import unittest

from pomelogauge.decide.ownership_chart import OwnershipAction
from pomelogauge.entry.messages import OwnerAnswerMissed, OwnerAnswerReceived
from pomelogauge.entry.owner_lease_keeper import OwnerLeaseKeeper
from pomelogauge.entry.store import StoreFault, Table
from pomelogauge.platform.translator import RowTranslator

from .entry_fakes import FakeClock, MemoryStore, owner_lease


class OwnerLeaseKeeperTest(unittest.TestCase):
    def setUp(self) -> None:
        self.store = MemoryStore()
        self.clock = FakeClock()
        self.first = self.keeper('n1')
        self.second = self.keeper('n2')
        self.first.tick()

    def keeper(self, node: str) -> OwnerLeaseKeeper:
        rows = RowTranslator()
        return OwnerLeaseKeeper(owner_lease(node), self.store, rows, self.clock)

    def run_for(self, seconds: float, *keepers: OwnerLeaseKeeper) -> list:
        found = []
        for _ in range(round(seconds / 0.05)):
            self.clock.at_s += 0.05
            found.extend(keeper.tick() for keeper in keepers)
        return [action for action in found if action is not None]

    def test_one_takes_a_free_tenure(self) -> None:
        self.second.tick()
        self.assertTrue(self.first.is_held)
        self.assertFalse(self.second.is_held)

    def test_a_holder_that_renews_keeps_it(self) -> None:
        self.assertEqual(self.run_for(20, self.first, self.second), [])
        self.assertTrue(self.first.is_held)

    def test_a_silent_holder_is_succeeded(self) -> None:
        self.run_for(1, self.first, self.second)
        actions = self.run_for(3, self.second)
        self.assertEqual(actions, [OwnershipAction.ADOPT])

    def test_a_holder_that_has_ended_is_succeeded_sooner(self) -> None:
        self.run_for(1, self.first, self.second)
        self.second.record_missed_answer(
            OwnerAnswerMissed(term=1, is_refused=True)
        )
        actions = self.run_for(1.2, self.second)
        self.assertEqual(actions, [OwnershipAction.ADOPT])

    def test_a_successor_drops_the_former_holder(self) -> None:
        self.run_for(1, self.first, self.second)
        self.run_for(3, self.second)
        self.assertFalse(self.first.is_held, 'its hold is over by its clock')
        self.assertIn(
            OwnershipAction.DROP, self.run_for(1, self.first, self.second)
        )

    def test_a_holder_without_the_store_acts_no_more(self) -> None:
        self.store.faults.extend([StoreFault.UNAVAILABLE] * 10)
        self.run_for(2, self.first)
        self.assertFalse(self.first.is_held)
        self.run_for(4, self.first)
        self.assertTrue(self.first.is_held, 'it goes on in the same term')

    def test_an_outage_of_the_store_is_not_the_holders_silence(self) -> None:
        self.run_for(1, self.first, self.second)
        self.store.faults.extend([StoreFault.UNAVAILABLE] * 40)
        self.run_for(5, self.first, self.second)
        self.store.faults.clear()
        actions = self.run_for(4, self.first, self.second)
        self.assertEqual(actions, [])

    def test_a_taking_whose_answer_is_lost_is_found_by_reading(self) -> None:
        self.run_for(1, self.first, self.second)
        self.store.loses_answers = True
        self.run_for(2.5, self.second)
        self.store.loses_answers = False
        self.run_for(0.5, self.second)
        self.assertTrue(self.second.is_held)
        self.assertEqual(self.second.owner_lease.term, 2)

    def test_answers_of_the_holder_make_looks_rare(self) -> None:
        self.second.tick()
        self.second.record_answer(
            OwnerAnswerReceived(
                term=1, renewal_version=self.first.ownership().renewal_version
            )
        )
        self.assertGreater(self.second.due_s(), 5)

    def test_an_owner_that_answers_without_renewing_is_succeeded(self) -> None:
        """The store turns the owner away, but others reach it."""
        self.run_for(1, self.first, self.second)
        renewal_version = self.first.ownership().renewal_version
        actions = []
        for _ in range(5):
            self.second.record_answer(
                OwnerAnswerReceived(term=1, renewal_version=renewal_version)
            )
            actions += self.run_for(0.5, self.second)
        self.assertEqual(actions, [OwnershipAction.ADOPT])

    def test_a_successor_renews_at_once(self) -> None:
        self.run_for(1, self.first, self.second)
        self.second.record_answer(
            OwnerAnswerReceived(
                term=1, renewal_version=self.first.ownership().renewal_version
            )
        )
        self.clock.at_s += 3
        self.second.record_answer(
            OwnerAnswerReceived(
                term=1, renewal_version=self.first.ownership().renewal_version
            )
        )
        self.run_for(4, self.second)
        self.assertTrue(self.second.is_held)

    def test_an_owner_that_can_not_renew_says_so(self) -> None:
        self.assertTrue(self.first.ownership().is_own)
        self.store.faults.extend([StoreFault.UNAVAILABLE] * 10)
        self.run_for(2, self.first)
        self.assertFalse(self.first.ownership().is_own)

    def test_a_malformed_row_is_taken_over(self) -> None:
        self.store.put(Table.OWNER, 'tenure', b'\xff')
        third = self.keeper('n3')
        third.tick()
        self.run_for(0.1, third)
        self.assertTrue(third.is_held)

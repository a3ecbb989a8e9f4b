"""Records of groups that are written under the owner lease."""

import unittest
from dataclasses import replace

from pomelogauge.decide.group_plan import PlannedGroup
from pomelogauge.entry.group_ledger import GroupLedger
from pomelogauge.entry.owner_lease_keeper import OwnerLeaseKeeper
from pomelogauge.entry.store import StoreFault, Table
from pomelogauge.platform.translator import RowTranslator

from .entry_fakes import LLM, SMALL, FakeClock, MemoryStore, owner_lease, target

WANTED = PlannedGroup(LLM, SMALL, (target('a'), target('b')))


class GroupLedgerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.store = MemoryStore()
        self.clock = FakeClock()
        self.keeper = self.keeper_of('n1')
        self.ledger = GroupLedger(self.store, RowTranslator(), self.keeper)
        self.keeper.tick()

    def keeper_of(self, node: str) -> OwnerLeaseKeeper:
        rows = RowTranslator()
        return OwnerLeaseKeeper(owner_lease(node), self.store, rows, self.clock)

    def test_a_record_is_read_as_it_was_written(self) -> None:
        (formed,) = self.ledger.form([WANTED])
        (read,) = self.ledger.read()
        self.assertEqual(replace(read, version=formed.version), formed)
        self.assertEqual(read.head.target, 'a')

    def test_names_of_groups_stay_unique_after_another_read(self) -> None:
        """Guards against a reset of the epoch counter by a second read.

        The owner of one term then overwrote records of its own groups.
        """
        (first,) = self.ledger.form([WANTED])
        self.ledger.read()
        (second,) = self.ledger.form([WANTED])
        self.assertNotEqual(first.group, second.group)
        self.assertGreater(second.epoch, first.epoch)

    def test_a_later_term_has_higher_epochs(self) -> None:
        (first,) = self.ledger.form([WANTED])
        other = self.keeper_of('n2')
        other.tick()
        self.clock.at_s += 10
        other.tick()
        other.tick()
        ledger = GroupLedger(self.store, RowTranslator(), other)
        (second,) = ledger.form([WANTED])
        self.assertGreater(second.epoch, first.epoch + 1)

    def test_epochs_are_higher_after_an_unreadable_lease(self) -> None:
        (first,) = self.ledger.form([WANTED])
        self.store.put(Table.OWNER, 'tenure', b'\xff')
        other = self.keeper_of('n2')
        other.tick()
        self.clock.at_s += 10
        other.tick()
        ledger = GroupLedger(self.store, RowTranslator(), other)
        (second,) = ledger.form([WANTED])
        self.assertGreater(second.epoch, first.epoch + 1)

    def test_a_former_owner_can_not_write_after_a_takeover(self) -> None:
        other = self.keeper_of('n2')
        other.tick()
        self.clock.at_s += 10
        other.tick()
        self.assertTrue(other.is_held)
        self.assertEqual(self.ledger.form([WANTED]), ())
        self.assertFalse(self.keeper.is_held)

    def test_an_indeterminate_write_demands_another_read(self) -> None:
        self.store.loses_answers = True
        self.assertEqual(self.ledger.form([WANTED]), ())
        self.assertTrue(self.ledger.must_reread)
        self.store.loses_answers = False
        self.assertEqual(len(self.ledger.read()), 1)
        self.assertFalse(self.ledger.must_reread)

    def test_a_malformed_record_is_left_out_alone(self) -> None:
        self.ledger.form([WANTED])
        self.store.put(Table.GROUPS, 'bad', b'{"epoch": "x"}')
        self.assertEqual(len(self.ledger.read()), 1)

    def test_read_returns_none_without_the_store(self) -> None:
        self.store.faults.append(StoreFault.UNAVAILABLE)
        self.assertIsNone(self.ledger.read())

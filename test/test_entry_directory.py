"""Addresses that callers are given, and how they spread over instances."""

import unittest
from collections import Counter
from dataclasses import replace
from random import Random

from pomelogauge.decide.entry_directory import MAX_LISTED, list_entries
from pomelogauge.model.fleet import EntryInstance
from pomelogauge.model.ids import Address, DataCentreName, NodeName

ANSWERS = 200


def system(size: int) -> tuple[EntryInstance, ...]:
    """Return instances of five data centres, ordered by data centre."""
    return tuple(
        EntryInstance(
            NodeName(f'n{index}'),
            Address(f'n{index}:1'),
            DataCentreName('abcde'[5 * index // size]),
        )
        for index in range(size)
    )


class EntryDirectoryTest(unittest.TestCase):
    def setUp(self) -> None:
        self.rng = Random(1)

    def entries(
        self,
        own: EntryInstance,
        instances: tuple[EntryInstance, ...],
        *,
        is_leaving: bool = False,
    ) -> tuple[EntryInstance, ...]:
        return list_entries(own, instances, is_leaving=is_leaving, rng=self.rng)

    def test_a_small_system_is_listed_as_a_whole(self) -> None:
        for size in (1, 9, MAX_LISTED):
            instances = system(size)
            listed = self.entries(instances[0], instances)
            self.assertEqual(set(listed), set(instances))

    def test_callers_spread_over_all_instances_of_a_large_system(self) -> None:
        """Guards against the same addresses in all answers.

        Callers would then enter through a few instances only, and their
        requests would crowd at the targets near these.
        """
        for size in (86, 195, 420):
            with self.subTest(size=size):
                instances = system(size)
                listed = Counter(
                    entry.node
                    for answer in range(ANSWERS)
                    for entry in self.entries(
                        instances[answer * size // ANSWERS], instances
                    )
                )
                self.assertEqual(len(listed), size)
                mean = listed.total() / size
                self.assertLess(max(listed.values()), 2 * mean)

    def test_half_of_the_addresses_are_in_other_data_centres(self) -> None:
        instances = system(195)
        listed = self.entries(instances[0], instances)
        self.assertEqual(len(listed), MAX_LISTED)
        local = sum(entry.data_centre == 'a' for entry in listed)
        self.assertIn(local, (32, 33))

    def test_no_instance_that_leaves_is_listed(self) -> None:
        leaving = replace(system(9)[3], is_leaving=True)
        instances = (*system(9)[:3], leaving)
        listed = self.entries(instances[0], instances, is_leaving=True)
        self.assertEqual(set(listed), set(instances[1:3]))
        alone = self.entries(leaving, (leaving,), is_leaving=True)
        self.assertEqual(alone, (leaving,))


if __name__ == '__main__':
    unittest.main()

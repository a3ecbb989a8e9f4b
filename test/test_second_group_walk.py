"""An exhaustive walk over a group whose free members join another one."""

import logging
import os
import unittest
from collections import deque

from .group_world import (
    LARGE_RECORD,
    closing,
    forming,
    joined,
    serving,
    slow,
    stalling,
)
from .second_group_world import (
    SecondGroupWorld,
    given_up,
    paused,
    unreadable,
    with_planner,
)

#: Steps from each start, one less for groups of three members; a longer walk
#: by hand sets the variable.
DEPTH = int(os.environ.get('POMELOGAUGE_SECOND_GROUP_DEPTH', '5'))


def _name(start: SecondGroupWorld) -> str:
    return start.owned.state if start.owned else 'unrecorded'


class SecondGroupWalkTest(unittest.TestCase):
    def setUp(self) -> None:
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def walk(self, start: SecondGroupWorld) -> None:
        """Take all steps up to the depth; print the number of states."""
        depth = DEPTH if len(start.members) == 2 else DEPTH - 1
        seen = {start.key()}
        worlds = deque([(start, ())])
        while worlds:
            world, path = worlds.popleft()
            self.assertEqual(world.doubled, (), '; '.join(path))
            self.assertEqual(world.may_join_after_all(), (), '; '.join(path))
            for word, after in world.steps() if len(path) < depth else ():
                known = len(seen)
                seen.add(after.key())
                if len(seen) > known:
                    worlds.append((after, (*path, word)))
        print(
            f'states of a {_name(start)} group of {len(start.members)}'
            f' with a planner visited: {len(seen)}'
        )

    def test_no_member_of_a_serving_group_joins_another(self) -> None:
        """Guards against two groups of one target at the same moment."""
        for group in (serving(), serving(LARGE_RECORD)):
            self.walk(with_planner(group))

    def test_no_member_of_a_new_group_joins_another(self) -> None:
        """Guards the same from the first order on."""
        for group in (forming(), forming(LARGE_RECORD)):
            self.walk(with_planner(group))

    def test_no_head_that_opens_late_joins_another(self) -> None:
        """Guards the same where the head can't be reached."""
        self.walk(with_planner(stalling()))

    def test_no_free_member_joins_the_first_group_after_all(self) -> None:
        """Guards against a member that is free before it has joined.

        It answered the order to leave, and the order to join was late. The
        next owner opened the group with it while it was planned for another.
        """
        self.walk(given_up())

    def test_no_member_joins_another_while_the_head_opens(self) -> None:
        """Guards against a head that opens some time after its answer."""
        self.walk(with_planner(joined()))

    def test_no_member_joins_another_while_the_head_closes(self) -> None:
        """Guards against a head that ends its work first."""
        self.walk(with_planner(closing()))

    def test_no_member_that_loads_joins_another(self) -> None:
        """Guards the same from the first order on, with loads."""
        self.walk(with_planner(slow(forming())))

    def test_no_member_without_a_readable_record_joins_another(self) -> None:
        """Guards against a head that opens after its record is lost."""
        self.walk(unreadable())

    def test_no_answer_that_is_read_late_frees_a_member(self) -> None:
        """Guards against a member that joins after it has answered.

        A paused owner read the answer to the order to leave only after the
        time in which the order to join may be carried out.
        """
        self.walk(paused())


if __name__ == '__main__':
    unittest.main()

"""An exhaustive walk over a group, its members and its owner."""

import logging
import os
import unittest
from collections import deque

from .group_world import (
    World,
    closing,
    forming,
    opening_late,
    serving,
    stalling,
)

#: Steps from each start; a longer walk by hand sets the variable.
DEPTH = int(os.environ.get('POMELOGAUGE_WALK_DEPTH', '6'))


class GroupWalkTest(unittest.TestCase):
    def setUp(self) -> None:
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def walk(self, start: World) -> None:
        """Take all steps up to ``DEPTH``; print the number of states."""
        seen = {start.key()}
        worlds = deque([(start, ())])
        while worlds:
            world, path = worlds.popleft()
            self.assertEqual(world.wrongly_free(), (), '; '.join(path))
            for word, after in world.steps() if len(path) < DEPTH else ():
                known = len(seen)
                seen.add(after.key())
                if len(seen) > known:
                    worlds.append((after, (*path, word)))
        print(f'states of a {start.owned.state} group visited: {len(seen)}')

    def test_no_member_of_a_serving_group_is_free_under_its_head(self) -> None:
        """Guards against two groups of one target at the same moment.

        A refused connection was taken for the end of the target's process,
        while only the owner's path to it was refused.
        """
        self.walk(serving())

    def test_no_member_of_a_new_group_is_free_under_its_head(self) -> None:
        """Guards the same from the first order on."""
        self.walk(forming())

    def test_no_head_that_opens_late_is_free(self) -> None:
        """Guards against a second group of a head that opens late.

        The group was released once a head that is open would have broken, but
        an order to open without an answer may be carried out after that.
        """
        self.walk(stalling())

    def test_no_head_that_opens_at_the_last_moment_is_free(self) -> None:
        """Guards the same up to the time at which the head has broken."""
        self.walk(opening_late())

    def test_no_member_of_a_head_that_closes_is_free(self) -> None:
        """Guards the same while the head ends its work."""
        self.walk(closing())


if __name__ == '__main__':
    unittest.main()

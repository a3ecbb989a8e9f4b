"""Tests of the checkers, each shown on a bad record."""

import unittest
from dataclasses import replace

from pomelogauge.lab.checkers_control import (
    Event,
    GroupServed,
    LeaseBelieved,
    LeaseDropped,
    LeaseTaken,
    OrderTaken,
    RowsWritten,
    check_control,
)
from pomelogauge.model.ids import (
    DeploymentName,
    Epoch,
    Incarnation,
    InstanceName,
    NodeName,
    ReplicaId,
    ShardName,
)
from pomelogauge.model.placement import (
    EngineState,
    EngineStatus,
    Member,
    Membership,
    Replica,
)

from .control_fakes import engine

SHARD = ShardName('a/d')


def member(number: int) -> Member:
    at = engine(number)
    return Member(at.name, at.address, at.data_centre, at.domain, number)


def status(number: int, replica: str = 'r#0.1') -> EngineStatus:
    return EngineStatus(
        InstanceName(f'e{number}'),
        Incarnation('i'),
        EngineState.READY,
        ReplicaId(replica),
        Epoch(3),
    )


def row(number: int, replica: str) -> Membership:
    return Membership(InstanceName(f'e{number}'), ReplicaId(replica), Epoch(3))


REPLICA = Replica(
    ReplicaId('r#0.1'),
    DeploymentName('r'),
    Epoch(3),
    SHARD,
    (member(1), member(2)),
)
ROWS = RowsWritten(
    3, SHARD, Epoch(2), (REPLICA,), (row(1, 'r#0.1'), row(2, 'r#0.1'))
)
ORDER = OrderTaken(4, SHARD, Epoch(2), status(1), Epoch(3), checks_fence=True)
SERVED = GroupServed(5, REPLICA, (status(1), status(2)))
GOOD: tuple[Event, ...] = (
    LeaseTaken(1, SHARD, Epoch(1)),
    LeaseBelieved(1, SHARD, NodeName('n1'), Epoch(1), 9),
    LeaseDropped(2, SHARD, Epoch(1)),
    LeaseTaken(2, SHARD, Epoch(2)),
    LeaseBelieved(2, SHARD, NodeName('n2'), Epoch(2), 4),
    ROWS,
    ORDER,
    SERVED,
)


class CheckersTest(unittest.TestCase):
    def messages(self, *events: Event) -> list[str]:
        return [found.message for found in check_control((*GOOD, *events))]

    def test_good_history_passes(self) -> None:
        self.assertEqual(self.messages(), [])

    def test_partial_group_is_found(self) -> None:
        for reports in ((status(1),), (status(1), status(2, 'r#0.2'))):
            bad = replace(SERVED, reports=reports)
            self.assertEqual(self.messages(bad), ['r#0.1 served without e2'])

    def test_instance_in_two_replicas_is_found(self) -> None:
        second = replace(REPLICA, replica=ReplicaId('r#1.2'))
        bad = replace(ROWS, replicas=(REPLICA, second))
        self.assertIn('e1 is in r#0.1 and r#1.2', self.messages(bad))

    def test_rows_that_disagree_are_found(self) -> None:
        freed = replace(ROWS, memberships=(row(1, 'r#0.1'), row(2, '')))
        stale = replace(ROWS, memberships=(*ROWS.memberships, row(3, 'r#2.9')))
        self.assertEqual(
            self.messages(freed, stale),
            [
                'the row of e2 does not name r#0.1',
                'the row of e3 names r#2.9, which is gone',
            ],
        )

    def test_write_of_a_former_holder_is_found(self) -> None:
        bad = replace(ROWS, lease_epoch=Epoch(1))
        self.assertEqual(self.messages(bad), ['a/d: write of old lease'])

    def test_falling_fencing_number_is_found(self) -> None:
        bad = replace(ORDER, epoch=Epoch(2))
        self.assertEqual(self.messages(bad), ['e1 took an old order'])

    def test_late_order_is_found_where_fences_are_ignored(self) -> None:
        late = replace(ORDER, lease_epoch=Epoch(1))
        self.assertEqual(self.messages(late), [])
        bad = replace(late, checks_fence=False)
        self.assertEqual(self.messages(bad), ['e1 took an old order'])

    def test_two_holders_are_found(self) -> None:
        bad = LeaseBelieved(3, SHARD, NodeName('n3'), Epoch(3), 9)
        self.assertEqual(self.messages(bad), ['a/d is held by epochs 2 and 3'])


if __name__ == '__main__':
    unittest.main()

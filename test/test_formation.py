"""Tests of the plans of replicas."""

import unittest
from dataclasses import replace

from pomelogauge.decide.formation import (
    ShardSnapshot,
    is_wanted,
    plan_formation,
    replica_id,
    replica_to_replace,
)
from pomelogauge.model.ids import (
    ConfigVersion,
    DataCentreName,
    DeploymentName,
    Epoch,
    ModelName,
    ShardName,
)
from pomelogauge.model.manifest import Configuration, Deployment, Manifest
from pomelogauge.model.placement import Member, Replica, ReplicaState

from .control_fakes import engine

A = DataCentreName('a')
B = DataCentreName('b')
QUOTES = Deployment(DeploymentName('quotes'), ModelName('m'), '1', 2, 2, (A, B))
URGENT = replace(QUOTES, name=DeploymentName('urgent'), priority=1)
FREE = tuple(engine(number) for number in (3, 1, 2))


def snapshot(
    *replicas: Replica, drained: tuple[DataCentreName, ...] = ()
) -> ShardSnapshot:
    manifest = Manifest(deployments=(QUOTES,))
    configuration = Configuration(ConfigVersion(1), manifest, drained=drained)
    return ShardSnapshot(A, configuration, replicas, FREE)


def replica(ordinal: int, data_centre: DataCentreName) -> Replica:
    members = tuple(
        Member(at.name, at.address, data_centre, at.domain, rank)
        for rank, at in enumerate(FREE[:2])
    )
    return Replica(
        replica_id(f'quotes#{ordinal}', 'x'),
        QUOTES.name,
        Epoch(1),
        ShardName(f'{data_centre}/d'),
        members,
        model_version=QUOTES.model_version,
    )


class FormationTest(unittest.TestCase):
    def test_replicas_stay_while_others_are_formed_elsewhere(self) -> None:
        at = snapshot(replica(0, A), replica(1, B))
        preparing = replace(at.configuration, preparing=(B,))
        at = replace(
            at,
            configuration=preparing,
            overdue=frozenset((QUOTES.name,)),
        )
        plan = plan_formation(at)
        assert plan is not None
        self.assertEqual(plan.row_key, 'quotes#2')
        for ordinal, data_centre in ((0, A), (1, B), (2, A)):
            formed = replace(at, replicas=(*at.replicas, replica(2, A)))
            self.assertTrue(is_wanted(replica(ordinal, data_centre), formed))
        self.assertIsNone(plan_formation(replace(at, data_centre=B)))
        drained = replace(preparing, drained=(B,), preparing=())
        at = replace(at, configuration=drained)
        self.assertFalse(is_wanted(replica(1, B), at))

    def test_data_centres_take_turns(self) -> None:
        plan = plan_formation(snapshot())
        assert plan is not None
        self.assertEqual(plan.row_key, 'quotes#0')
        self.assertEqual([at.name for at in plan.instances], ['e1', 'e2'])
        self.assertIsNone(plan_formation(snapshot(replica(0, A))))

    def test_steps_in_for_another_data_centre_after_a_wait(self) -> None:
        waited = replace(
            snapshot(replica(0, A)), overdue=frozenset((QUOTES.name,))
        )
        plan = plan_formation(waited)
        assert plan is not None
        self.assertEqual(plan.row_key, 'quotes#1')

    def test_highest_priority_first(self) -> None:
        both = Configuration(manifest=Manifest(deployments=(QUOTES, URGENT)))
        plan = plan_formation(replace(snapshot(), configuration=both))
        assert plan is not None
        self.assertEqual(plan.deployment, URGENT)

    def test_never_a_partial_group(self) -> None:
        few = replace(snapshot(), free=FREE[:1])
        self.assertIsNone(plan_formation(few))

    def test_drained_data_centre_is_replaced_before_it_is_empty(self) -> None:
        rows = (replica(0, B), replica(1, B))
        drained = snapshot(*rows, drained=(B,))
        plan = plan_formation(drained)
        assert plan is not None
        self.assertEqual(plan.row_key, 'quotes#2')
        self.assertFalse(is_wanted(rows[0], drained))

    def test_replica_with_a_leaving_member_is_replaced(self) -> None:
        rows = (replica(0, A), replica(1, A))
        leaving = replace(snapshot(*rows), leaving=frozenset((FREE[0].name,)))
        plan = plan_formation(leaving)
        assert plan is not None
        self.assertEqual(plan.row_key, 'quotes#2')
        self.assertFalse(is_wanted(rows[0], leaving))

    def test_newer_version_replaces_one_replica_at_a_time(self) -> None:
        old, other, third = (
            replace(replica(ordinal, A), state=ReplicaState.SERVING)
            for ordinal in range(3)
        )
        newer = replace(QUOTES, model_version='2')
        fresh = replace(old, model_version='2')
        forming = replace(fresh, state=ReplicaState.LOADING)
        self.assertIsNone(replica_to_replace(QUOTES, (old, other)))
        self.assertIs(replica_to_replace(newer, (other, old)), old)
        self.assertIs(replica_to_replace(newer, (old, other, third)), old)
        self.assertIsNone(replica_to_replace(newer, (other,)))
        self.assertIsNone(replica_to_replace(newer, (forming, other)))
        self.assertIs(replica_to_replace(newer, (fresh, other)), other)
        self.assertIs(replica_to_replace(newer, (fresh, other, forming)), other)

    def test_too_many_replicas_lose_the_highest_ordinal(self) -> None:
        rows = tuple(replica(ordinal, A) for ordinal in (5, 0, 2))
        kept = [is_wanted(row, snapshot(*rows)) for row in rows]
        self.assertEqual(kept, [False, True, True])

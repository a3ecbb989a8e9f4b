"""Which groups are formed, of which targets."""

import unittest

from pomelogauge.decide.group_plan import (
    ActiveGroup,
    Plan,
    PlanInputs,
    plan_groups,
)
from pomelogauge.model.fleet import Target, TargetState
from pomelogauge.model.ids import DomainName
from pomelogauge.model.serving import ServiceSpec

from .entry_fakes import BIG, DOMAIN, ENGINE, LLM, SMALL, ZONE, fleet, target

SERVICE = ServiceSpec(LLM, 264, 26, ENGINE)


def plan(*targets: Target, **fields: object) -> Plan:
    given = {
        'fleet': fleet(*targets),
        'active_groups': (),
        'taken': frozenset(),
        'suspects': frozenset(),
        'staging': frozenset(),
        'loads_left': 10,
        'loads_are_free': False,
    }
    return plan_groups(SERVICE, PlanInputs(**{**given, **fields}))


def staged(count: int, model: str, first: int = 0) -> list[Target]:
    return [
        target(f't{first + index}', staged=(model,)) for index in range(count)
    ]


class GroupPlanTest(unittest.TestCase):
    def models(self, made: Plan) -> list[str]:
        return [wanted.model for wanted in made.groups]

    def test_at_the_start_a_domain_gets_each_model_and_spares(self) -> None:
        targets = [target(f't{index}') for index in range(8)]
        made = plan(*targets, loads_left=float('inf'), loads_are_free=True)
        self.assertEqual(self.models(made), [BIG, SMALL])
        used = {one.name for wanted in made.groups for one in wanted.members}
        self.assertEqual(len(used), 6)
        self.assertEqual({one.model for one in made.stages}, {BIG, SMALL})

    def test_a_group_never_spans_domains(self) -> None:
        far = [
            target(f'f{index}', domain=DomainName('d1'), staged=(BIG,))
            for index in range(2)
        ]
        made = plan(*staged(2, BIG), *far)
        self.assertNotIn(BIG, self.models(made))

    def test_groups_are_formed_of_targets_with_the_model_only(self) -> None:
        made = plan(*staged(3, BIG), *staged(2, SMALL, 3))
        self.assertEqual(self.models(made), [SMALL])

    def test_a_model_that_lacks_hosts_is_staged_first(self) -> None:
        made = plan(*staged(3, BIG), target('t9'))
        self.assertEqual(made.groups, ())
        self.assertEqual([one.model for one in made.stages], [BIG])

    def test_taken_targets_are_left_alone(self) -> None:
        targets = staged(4, BIG)
        taken = frozenset(one.name for one in targets[:1])
        self.assertEqual(plan(*targets, taken=taken).groups, ())

    def test_suspects_draining_and_drained_targets_are_left_out(self) -> None:
        targets = staged(4, BIG)
        suspect = frozenset((targets[0].name,))
        self.assertEqual(plan(*targets, suspects=suspect).groups, ())
        leaving = target('t3', staged=(BIG,), state=TargetState.DRAINING)
        self.assertEqual(plan(*targets[:3], leaving).groups, ())
        drained = fleet(*targets, drained=frozenset((ZONE,)))
        self.assertEqual(plan(fleet=drained).groups, ())

    def test_loads_stay_within_their_budget(self) -> None:
        targets = [target(f't{index}') for index in range(4)]
        self.assertEqual(len(plan(*targets, loads_left=2).stages), 2)

    def test_a_host_that_is_being_staged_is_not_staged_again(self) -> None:
        targets = [*staged(3, BIG), target('t9')]
        staging = frozenset((targets[3].name,))
        self.assertEqual(plan(*targets, staging=staging).stages, ())

    def test_a_standing_group_is_not_formed_again(self) -> None:
        active_groups = (ActiveGroup(LLM, SMALL, DOMAIN),)
        made = plan(*staged(2, SMALL), active_groups=active_groups)
        self.assertEqual(made.groups, (), 'a reserve stays')

    def test_a_wide_domain_serves_with_all_but_its_spares(self) -> None:
        targets = [target(f't{index}') for index in range(11)]
        made = plan(*targets, loads_left=float('inf'), loads_are_free=True)
        self.assertEqual(self.models(made), [BIG, SMALL, BIG])

    def test_one_more_group_is_formed_again_after_a_loss(self) -> None:
        active_groups = (
            ActiveGroup(LLM, BIG, DOMAIN),
            ActiveGroup(LLM, SMALL, DOMAIN),
        )
        survivor = staged(1, SMALL)
        spares = [target('t8'), target('t9', staged=(BIG,))]
        made = plan(*survivor, *spares, active_groups=active_groups)
        self.assertEqual([one.model for one in made.stages], [SMALL])
        ready = staged(2, SMALL)
        made = plan(*ready, spares[1], active_groups=active_groups)
        self.assertEqual(self.models(made), [SMALL])

    def test_all_spares_are_staged(self) -> None:
        active_groups = (
            ActiveGroup(LLM, BIG, DOMAIN),
            ActiveGroup(LLM, SMALL, DOMAIN),
        )
        made = plan(
            *[target(f't{index}') for index in range(3)],
            active_groups=(*active_groups, *active_groups),
        )
        self.assertEqual(len(made.stages), 3)
        self.assertEqual({one.model for one in made.stages}, {BIG, SMALL})
        kept = plan(
            *staged(3, BIG), active_groups=(*active_groups, *active_groups)
        )
        self.assertEqual([one.model for one in kept.stages], [SMALL, SMALL])

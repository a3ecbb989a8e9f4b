"""Plans of groups and of the models staged on hosts."""

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
    """Plan the service over these targets; fields replace planner inputs."""
    inputs = {
        'fleet': fleet(*targets),
        'active_groups': (),
        'taken': frozenset(),
        'suspects': frozenset(),
        'staging': frozenset(),
        'loads_left': 10,
        'loads_are_free': False,
    }
    return plan_groups(SERVICE, PlanInputs(**{**inputs, **fields}))


def staged(count: int, model: str, first: int = 0) -> list[Target]:
    """Return targets, from ``t<first>`` on, whose hosts have the model."""
    return [
        target(f't{first + index}', staged=(model,)) for index in range(count)
    ]


class GroupPlanTest(unittest.TestCase):
    """Guards against missing groups, reused targets and excess loads."""

    def models(self, made: Plan) -> list[str]:
        """Return the models of the planned groups, in order."""
        return [group.model for group in made.groups]

    def test_at_the_first_start_a_domain_gets_each_model_and_staged_spares(
        self,
    ) -> None:
        targets = [target(f't{index}') for index in range(8)]
        made = plan(*targets, loads_left=float('inf'), loads_are_free=True)
        self.assertEqual(self.models(made), [BIG, SMALL])
        used = {
            member.name for group in made.groups for member in group.members
        }
        self.assertEqual(len(used), 6)
        self.assertEqual({stage.model for stage in made.stages}, {BIG, SMALL})

    def test_a_group_never_spans_domains(self) -> None:
        far = [
            target(f'f{index}', domain=DomainName('d1'), staged=(BIG,))
            for index in range(2)
        ]
        made = plan(*staged(2, BIG), *far)
        self.assertNotIn(BIG, self.models(made))

    def test_members_are_targets_whose_host_has_the_model(self) -> None:
        made = plan(*staged(3, BIG), *staged(2, SMALL, 3))
        self.assertEqual(self.models(made), [SMALL])

    def test_a_model_that_lacks_one_host_is_staged_on_it(self) -> None:
        made = plan(*staged(3, BIG), target('t9'))
        self.assertEqual(made.groups, ())
        self.assertEqual([stage.model for stage in made.stages], [BIG])

    def test_free_hosts_get_the_model_of_a_missing_group_before_others(
        self,
    ) -> None:
        """Guards against a model without a group beside idle targets.

        The last host that it lacks was kept as a spare of a model that has a
        group.
        """
        made = plan(
            *staged(3, BIG),
            *staged(1, SMALL, 3),
            active_groups=(ActiveGroup(LLM, SMALL, DOMAIN),),
        )
        stages = [(stage.target.name, stage.model) for stage in made.stages]
        self.assertEqual(stages, [('t3', BIG)])

    def test_a_lone_spare_is_for_the_model_with_most_work(self) -> None:
        active_groups = (
            ActiveGroup(LLM, BIG, DOMAIN),
            ActiveGroup(LLM, SMALL, DOMAIN),
        )
        made = plan(*staged(1, SMALL), active_groups=active_groups)
        self.assertEqual([stage.model for stage in made.stages], [BIG])
        made = plan(*staged(1, BIG), active_groups=active_groups)
        self.assertEqual(made.stages, ())

    def test_members_of_a_group_are_not_used_again(self) -> None:
        targets = staged(4, BIG)
        taken = frozenset(member.name for member in targets[:1])
        self.assertEqual(plan(*targets, taken=taken).groups, ())

    def test_suspected_draining_and_drained_targets_are_not_used(self) -> None:
        targets = staged(4, BIG)
        suspect = frozenset((targets[0].name,))
        self.assertEqual(plan(*targets, suspects=suspect).groups, ())
        leaving = target('t3', staged=(BIG,), state=TargetState.DRAINING)
        self.assertEqual(plan(*targets[:3], leaving).groups, ())
        drained = fleet(*targets, drained=frozenset((ZONE,)))
        self.assertEqual(plan(fleet=drained).groups, ())

    def test_staging_stays_within_the_load_budget(self) -> None:
        targets = [target(f't{index}') for index in range(4)]
        self.assertEqual(len(plan(*targets, loads_left=2).stages), 2)

    def test_a_host_that_is_loading_a_model_gets_no_second_one(self) -> None:
        targets = [*staged(3, BIG), target('t9')]
        staging = frozenset((targets[3].name,))
        self.assertEqual(plan(*targets, staging=staging).stages, ())

    def test_an_active_group_is_not_formed_again(self) -> None:
        active_groups = (ActiveGroup(LLM, SMALL, DOMAIN),)
        made = plan(*staged(2, SMALL), active_groups=active_groups)
        self.assertEqual(made.groups, (), 'the spare stays free')

    def test_a_large_domain_gets_more_groups_but_keeps_its_spares(self) -> None:
        targets = [target(f't{index}') for index in range(11)]
        made = plan(*targets, loads_left=float('inf'), loads_are_free=True)
        self.assertEqual(self.models(made), [BIG, SMALL, BIG])

    def test_a_second_group_of_a_model_is_formed_again_after_a_loss(
        self,
    ) -> None:
        active_groups = (
            ActiveGroup(LLM, BIG, DOMAIN),
            ActiveGroup(LLM, SMALL, DOMAIN),
        )
        survivor = staged(1, SMALL)
        spares = [target('t8'), target('t9', staged=(BIG,))]
        made = plan(*survivor, *spares, active_groups=active_groups)
        self.assertEqual([stage.model for stage in made.stages], [SMALL])
        ready = staged(2, SMALL)
        made = plan(*ready, spares[1], active_groups=active_groups)
        self.assertEqual(self.models(made), [SMALL])

    def test_all_spares_get_a_model_and_staged_ones_keep_theirs(self) -> None:
        active_groups = (
            ActiveGroup(LLM, BIG, DOMAIN),
            ActiveGroup(LLM, SMALL, DOMAIN),
        )
        made = plan(
            *[target(f't{index}') for index in range(3)],
            active_groups=(*active_groups, *active_groups),
        )
        self.assertEqual(len(made.stages), 3)
        self.assertEqual({stage.model for stage in made.stages}, {BIG, SMALL})
        kept = plan(
            *staged(3, BIG), active_groups=(*active_groups, *active_groups)
        )
        self.assertEqual([stage.model for stage in kept.stages], [SMALL, SMALL])

"""Which target a request is sent to."""

import unittest

from pomelogauge.decide.ejection_chart import EjectionState
from pomelogauge.decide.eligible_targets import (
    EligibleTarget,
    list_eligible_targets,
)
from pomelogauge.decide.outlier_ejection import OutlierEjection
from pomelogauge.decide.target_choice import (
    ReportedLoad,
    TargetView,
    choose_target,
    estimate_load,
)
from pomelogauge.model.entry_request import TargetLoad
from pomelogauge.model.fleet import MembershipState, TargetState

from .entry_fakes import BIG, DESK, LLM, ZONE, fleet, membership, target


def candidate(name: str) -> EligibleTarget:
    return EligibleTarget(target(name), BIG, 4)


class TargetChoiceTest(unittest.TestCase):
    def pick(self, views: dict, *names: str) -> str | None:
        candidates = [candidate(name) for name in names]
        chosen = choose_target(candidates, views, 10.0, lambda: 0.5, ZONE)
        return chosen.candidate.target.name if chosen else None

    def test_the_least_loaded_target_is_chosen(self) -> None:
        views = {
            'a': TargetView(own_requests=2),
            'b': TargetView(own_requests=1),
        }
        self.assertEqual(self.pick(views, 'a', 'b'), 'b')

    def test_what_others_have_there_counts_and_fades(self) -> None:
        reported = ReportedLoad(TargetLoad(5, 1, 4), 2, 9.0)
        view = TargetView(own_requests=1, reported=reported)
        self.assertEqual(estimate_load(view, 10.0), 1 + 4 * 0.5)
        self.assertEqual(estimate_load(view, 20.0), 1)

    def test_a_suspect_is_chosen_only_where_there_is_nothing_else(self) -> None:
        avoided = OutlierEjection(EjectionState.EJECTED, 11, 1.5)
        views = {
            'a': TargetView(ejection=avoided),
            'b': TargetView(own_requests=3),
        }
        self.assertEqual(self.pick(views, 'a', 'b'), 'b')
        self.assertEqual(self.pick(views, 'a'), 'a')

    def test_a_target_on_trial_gets_one_request_at_a_time(self) -> None:
        rested = OutlierEjection(EjectionState.EJECTED, 9, 1.5)
        views = {
            'a': TargetView(ejection=rested),
            'b': TargetView(own_requests=3),
        }
        self.assertEqual(self.pick(views, 'a', 'b'), 'a')
        views['a'] = TargetView(own_requests=1, ejection=rested)
        self.assertEqual(self.pick(views, 'a', 'b'), 'b')

    def test_an_avoided_target_serves_where_all_others_are_full(self) -> None:
        avoided = OutlierEjection(EjectionState.EJECTED, 11, 1.5)
        views = {
            'a': TargetView(ejection=avoided),
            'b': TargetView(own_requests=5),
        }
        self.assertEqual(self.pick(views, 'a', 'b'), 'a')

    def test_a_near_target_is_chosen_among_equals(self) -> None:
        far = EligibleTarget(target('a', data_centre='zone-b'), BIG, 4)
        for draw in (0.1, 0.9):
            chosen = choose_target(
                [far, candidate('b')], {}, 10.0, lambda draw=draw: draw, ZONE
            )
            self.assertEqual(chosen.candidate.target.name, 'b')
        views = {'b': TargetView(own_requests=1)}
        chosen = choose_target(
            [far, candidate('b')], views, 10.0, lambda: 0.5, ZONE
        )
        self.assertEqual(chosen.candidate.target.name, 'a')

    def test_full_targets_get_nothing(self) -> None:
        self.assertIsNone(self.pick({'a': TargetView(own_requests=5)}, 'a'))


class OffersTest(unittest.TestCase):
    def names(self, *targets: object, **fields: object) -> list[str]:
        candidates = list_eligible_targets(fleet(*targets, **fields))
        return [
            one.target.name
            for key in ((LLM, BIG), (DESK, ''))
            for one in candidates.find(*key)
        ]

    def test_heads_of_open_groups_are_offered(self) -> None:
        head = target(
            'h',
            models=(BIG,),
            membership=membership('g', 0, MembershipState.OPEN),
        )
        tail = target(
            't',
            models=(BIG,),
            membership=membership('g', 1, MembershipState.OPEN),
        )
        idle = target('i', models=(BIG,))
        self.assertEqual(self.names(head, tail, idle), ['h'])

    def test_groups_that_are_not_open_are_not_offered(self) -> None:
        for state in MembershipState:
            if state is not MembershipState.OPEN:
                head = target(
                    'h', models=(BIG,), membership=membership('g', 0, state)
                )
                self.assertEqual(self.names(head), [], state)

    def test_plain_targets_are_offered(self) -> None:
        self.assertEqual(self.names(target('p', service=DESK)), ['p'])

    def test_draining_targets_and_drained_zones_are_not(self) -> None:
        leaving = target('p', service=DESK, state=TargetState.DRAINING)
        self.assertEqual(self.names(leaving), [])
        plain = target('p', service=DESK)
        drained = frozenset((ZONE,))
        self.assertEqual(self.names(plain, drained=drained), [])

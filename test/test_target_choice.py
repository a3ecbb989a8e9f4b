"""Which target a request is sent to."""

import unittest

from pomelogauge.decide.offers import Offer, list_offers
from pomelogauge.decide.target_choice import (
    StatedLoad,
    TargetView,
    choose,
    estimate_load,
)
from pomelogauge.decide.target_trust import Trust
from pomelogauge.decide.trust_chart import TrustState
from pomelogauge.model.entry_request import TargetLoad
from pomelogauge.model.fleet import MembershipState, TargetState

from .entry_fakes import BIG, DESK, LLM, ZONE, fleet, membership, target


def offer(name: str) -> Offer:
    return Offer(target(name), BIG, 4)


class TargetChoiceTest(unittest.TestCase):
    def pick(self, views: dict, *names: str) -> str | None:
        offers = [offer(name) for name in names]
        chosen = choose(offers, views, 10.0, lambda: 0.5, ZONE)
        return chosen.offer.target.name if chosen else None

    def test_the_least_loaded_target_is_chosen(self) -> None:
        views = {'a': TargetView(own=2), 'b': TargetView(own=1)}
        self.assertEqual(self.pick(views, 'a', 'b'), 'b')

    def test_what_others_have_there_counts_and_fades(self) -> None:
        stated = StatedLoad(TargetLoad(5, 1, 4), 2, 9.0)
        view = TargetView(own=1, stated=stated)
        self.assertEqual(estimate_load(view, 10.0), 1 + 4 * 0.5)
        self.assertEqual(estimate_load(view, 20.0), 1)

    def test_a_suspect_is_chosen_only_where_there_is_nothing_else(self) -> None:
        avoided = Trust(TrustState.AVOIDED, 11, 1.5)
        views = {'a': TargetView(trust=avoided), 'b': TargetView(own=3)}
        self.assertEqual(self.pick(views, 'a', 'b'), 'b')
        self.assertEqual(self.pick(views, 'a'), 'a')

    def test_a_target_on_trial_gets_one_request_at_a_time(self) -> None:
        rested = Trust(TrustState.AVOIDED, 9, 1.5)
        views = {'a': TargetView(trust=rested), 'b': TargetView(own=3)}
        self.assertEqual(self.pick(views, 'a', 'b'), 'a')
        views['a'] = TargetView(own=1, trust=rested)
        self.assertEqual(self.pick(views, 'a', 'b'), 'b')

    def test_an_avoided_target_serves_where_all_others_are_full(self) -> None:
        avoided = Trust(TrustState.AVOIDED, 11, 1.5)
        views = {'a': TargetView(trust=avoided), 'b': TargetView(own=5)}
        self.assertEqual(self.pick(views, 'a', 'b'), 'a')

    def test_a_near_target_is_chosen_among_equals(self) -> None:
        far = Offer(target('a', data_centre='zone-b'), BIG, 4)
        for draw in (0.1, 0.9):
            chosen = choose(
                [far, offer('b')], {}, 10.0, lambda draw=draw: draw, ZONE
            )
            self.assertEqual(chosen.offer.target.name, 'b')
        views = {'b': TargetView(own=1)}
        chosen = choose([far, offer('b')], views, 10.0, lambda: 0.5, ZONE)
        self.assertEqual(chosen.offer.target.name, 'a')

    def test_full_targets_get_nothing(self) -> None:
        self.assertIsNone(self.pick({'a': TargetView(own=5)}, 'a'))


class OffersTest(unittest.TestCase):
    def names(self, *targets: object, **fields: object) -> list[str]:
        offers = list_offers(fleet(*targets, **fields))
        return [
            one.target.name
            for key in ((LLM, BIG), (DESK, ''))
            for one in offers.find(*key)
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

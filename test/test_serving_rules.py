"""Admission of requests by the configuration."""

import unittest
from dataclasses import replace

from pomelogauge.decide.serving_rules import (
    AdmissionBounds,
    Denial,
    admit,
    find_route,
    pick_share,
    recheck,
)
from pomelogauge.model.entry_request import AdmittedRequest
from pomelogauge.model.fleet import Fleet
from pomelogauge.model.serving import Share

from .entry_fakes import DESK, HOST, LLM, config, fleet, request, route

BOUNDS = AdmissionBounds(key_age_s=4.3)


class ServingRulesTest(unittest.TestCase):
    """Guards against requests admitted or denied on missing or old data."""

    def admit(self, known: Fleet, **fields: object) -> object:
        """Admit a request, read at time 100, that differs in these fields."""
        return admit(request(**fields), known, BOUNDS, 0.5)

    def test_a_request_gets_its_route_service_and_organisation(self) -> None:
        admitted = self.admit(fleet())
        assert isinstance(admitted, AdmittedRequest)
        self.assertEqual(admitted.service.name, LLM)
        self.assertEqual(admitted.organisation.name, 'acme')

    def test_the_organisations_priority_overrides_the_routes(self) -> None:
        self.assertEqual(self.admit(fleet()).priority, 3)

    def test_the_deadline_is_the_sooner_of_caller_and_route(self) -> None:
        self.assertEqual(self.admit(fleet()).deadline_s, 106.0)
        self.assertEqual(self.admit(fleet(), budget_s=2.0).deadline_s, 102.0)

    def test_without_a_configuration_the_denial_is_temporary(self) -> None:
        self.assertIs(self.admit(Fleet()), Denial.NO_CONFIGURATION)

    def test_an_unknown_key_is_denied(self) -> None:
        self.assertIs(self.admit(fleet(), key='bad'), Denial.NO_KEY)

    def test_a_public_route_needs_no_key(self) -> None:
        known = fleet(config=config(route(is_public=True)))
        admitted = self.admit(known, key='')
        self.assertIsNone(admitted.organisation)

    def test_a_key_is_not_accepted_once_the_configuration_is_too_old(
        self,
    ) -> None:
        known = fleet(confirmed_s=100 - 4.4)
        self.assertIs(self.admit(known), Denial.UNCONFIRMED)

    def test_an_old_configuration_denies_unknown_routes_temporarily(
        self,
    ) -> None:
        known = fleet(confirmed_s=100 - 4.4)
        unknown = {'path': '/nothing/', 'key': 'bad'}
        self.assertIs(self.admit(known, **unknown), Denial.UNCONFIRMED)

    def test_the_longest_prefix_wins(self) -> None:
        long = route(prefix='/a/b/')
        known = config(long, route())
        self.assertIs(find_route(known, HOST, '/a/b/c'), long)
        self.assertIsNone(find_route(known, HOST, '/ab'))
        self.assertIsNone(find_route(known, 'other', '/a/b/c'))

    def test_a_split_follows_its_weights(self) -> None:
        shares = (Share(LLM, 90), Share(DESK, 10))
        self.assertEqual(pick_share(shares, 0.89).service, LLM)
        self.assertEqual(pick_share(shares, 0.91).service, DESK)
        self.assertEqual(pick_share(shares, 1.0).service, DESK)


class RecheckTest(unittest.TestCase):
    """Guards against requests sent long after they were allowed."""

    def recheck(self, now_s: float, known: Fleet, **fields: object) -> object:
        """Check a request again that was admitted at time 100."""
        admitted = admit(request(), fleet(**fields), BOUNDS, 0.5)
        return recheck(admitted, known, BOUNDS, now_s)

    def test_an_admission_holds_for_as_long_as_its_configuration(self) -> None:
        self.assertIsNone(self.recheck(104.2, Fleet()))

    def test_a_key_that_is_still_confirmed_may_be_used(self) -> None:
        self.assertIsNone(self.recheck(106, fleet(confirmed_s=105)))

    def test_a_key_withdrawn_meanwhile_is_not_used(self) -> None:
        known = fleet(config=replace(config(), keys={}), confirmed_s=105)
        self.assertIs(self.recheck(106, known), Denial.NO_KEY)

    def test_an_unconfirmed_configuration_is_not_used(self) -> None:
        known = fleet(confirmed_s=101)
        self.assertIs(self.recheck(106, known), Denial.UNCONFIRMED)

    def test_a_public_route_needs_no_key_later_either(self) -> None:
        public = config(route(is_public=True))
        self.assertIsNone(self.recheck(106, Fleet(), config=public))

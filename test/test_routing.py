"""Tests of the choice of a replica."""

import unittest
from dataclasses import replace

from pomelogauge.decide.access import deployments_for
from pomelogauge.decide.policies import (
    PrefixAffinity,
    RandomChoice,
    TwoChoices,
)
from pomelogauge.decide.routing import (
    CandidateReplica,
    LeastLoaded,
    eligible_replicas,
)
from pomelogauge.model.ids import OrganisationName, ReplicaId
from pomelogauge.model.request import RefusalCode

from .router_fixtures import NORTH, SOUTH, configuration, request, view


class RoutingTest(unittest.TestCase):
    def usable(
        self, *offers: CandidateReplica, drained=(), avoid=()
    ) -> list[str]:
        cfg = configuration(drained=drained)
        found = eligible_replicas(cfg, offers, avoid)
        return [offer.replica for offer in found]

    def test_offers_only_what_may_take_work(self) -> None:
        good = CandidateReplica(view('good', SOUTH), slots=2, sent=1)
        idle = CandidateReplica(view('idle', serving=False), slots=2)
        full = CandidateReplica(view('full'), slots=2, sent=2)
        self.assertEqual(self.usable(good, idle, full), ['good'])
        self.assertEqual(self.usable(good, drained=('south',)), [])
        self.assertEqual(self.usable(good, avoid=(ReplicaId('good'),)), [])

    def test_counts_own_sends_that_the_report_misses(self) -> None:
        stale = CandidateReplica(
            view('stale', running=1), slots=9, sent=4, sent_since=3
        )
        fresh = CandidateReplica(view('fresh', running=3), slots=9, sent=3)
        near = CandidateReplica(view('near', running=3), slots=9, sent=0)
        far = CandidateReplica(view('far', SOUTH, running=3), slots=9, sent=0)
        policy = LeastLoaded(NORTH)
        self.assertEqual(policy.choose(request(), (stale, fresh)), fresh)
        self.assertEqual(policy.choose(request(), (far, near)), near)
        self.assertIsNone(policy.choose(request(), ()))

    def test_a_prefix_keeps_its_replica_within_the_bound(self) -> None:
        policy = PrefixAffinity(LeastLoaded(NORTH))
        req = replace(request(), prefix='p')
        offers = [
            CandidateReplica(view(name), slots=9) for name in ('a', 'b', 'c')
        ]
        first = policy.choose(req, tuple(offers))
        self.assertEqual(policy.choose(req, tuple(offers[::-1])), first)
        busy = replace(first, sent=4)
        rest = [offer for offer in offers if offer != first]
        self.assertIn(policy.choose(req, (busy, *rest)), rest)
        self.assertIsNone(policy.choose(req, ()))

    def test_baselines_take_what_is_drawn(self) -> None:
        busy, idle = (
            CandidateReplica(view('a'), 9, sent=5),
            CandidateReplica(view('b'), 9),
        )
        offers = (busy, idle)
        pick = [0, 0, 1, 0, 0].pop
        self.assertEqual(
            RandomChoice(lambda below: pick(0)).choose(request(), offers), busy
        )
        self.assertEqual(
            TwoChoices(lambda below: pick(0)).choose(request(), offers), idle
        )
        self.assertEqual(
            TwoChoices(lambda below: pick(0)).choose(request(), offers), busy
        )
        self.assertIsNone(
            TwoChoices(lambda below: pick(0)).choose(request(), ())
        )

    def test_says_why_nothing_may_answer(self) -> None:
        cfg = configuration()
        adapted = deployments_for(cfg, request(model='m:a'))
        self.assertEqual(len(adapted.unwrap()), 1)
        unknown = deployments_for(cfg, request(model='m:b')).failure()
        self.assertEqual(unknown.code, RefusalCode.UNKNOWN_MODEL)
        stranger = request(organisation=OrganisationName('stranger'))
        refused = deployments_for(cfg, stranger).failure()
        self.assertEqual(refused.code, RefusalCode.NOT_ALLOWED)

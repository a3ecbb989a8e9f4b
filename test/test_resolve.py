"""Tests of the choice of routers whose addresses callers are given."""

import unittest
from dataclasses import replace

from pomelogauge.decide.resolve import (
    RouterFacts,
    choose_routers,
    order_routers,
)
from pomelogauge.model.ids import (
    NO_VERSION,
    ConfigVersion,
    DataCentreName,
    NodeName,
)
from pomelogauge.model.phase import NodePhase
from pomelogauge.model.topology import InstanceRole

from .peer_fakes import report, view
from .test_membership import listed

FAR = DataCentreName('dc2')


class ResolveTest(unittest.TestCase):
    """Guards against callers sent to routers that refuse requests."""

    def test_routers_of_the_own_data_centre_come_first_and_rotate(self) -> None:
        peers = (view('b'), view('c', data_centre=FAR))
        choice = choose_routers(RouterFacts(report('a'), peers))
        self.assertEqual(order_routers(choice, 0, 8), ('a:80', 'b:80', 'c:80'))
        self.assertEqual(order_routers(choice, 1, 8), ('b:80', 'a:80', 'c:80'))
        self.assertEqual(order_routers(choice, 0, 1), ('a:80',))

    def test_leaves_out_routers_that_take_no_requests(self) -> None:
        peers = (
            view('leaving', 1, phase=NodePhase.LEAVING),
            view('cut', 1, phase=NodePhase.CUT_OFF),
            view('starting', 1, phase=NodePhase.STARTING),
            view('listed', 1),
            view('behind', 0),
            view('drained', 1, data_centre=FAR),
            view('controller', 1, role=InstanceRole.CONTROLLER),
            view('fit', 2),
        )
        facts = RouterFacts(
            report('a', 1, phase=NodePhase.CUT_OFF),
            peers,
            frozenset((NodeName('listed'),)),
            frozenset((FAR,)),
        )
        choice = choose_routers(facts)
        self.assertEqual(order_routers(choice, 0, 8), ('fit:80',))

    def test_chooses_unreported_routers_if_no_known_one_takes_requests(
        self,
    ) -> None:
        facts = RouterFacts(
            report('a', phase=NodePhase.CUT_OFF),
            (view('b', phase=NodePhase.CUT_OFF),),
            drained=frozenset((FAR,)),
            listed=(
                *map(listed, 'abc'),
                replace(listed('d'), data_centre=FAR),
                replace(listed('e'), leaving=True),
            ),
        )
        choice = choose_routers(facts)
        self.assertEqual(order_routers(choice, 0, 8), ('c:80',))

    def test_prefers_routers_with_an_older_version_to_a_drained_one(
        self,
    ) -> None:
        facts = RouterFacts(
            report('a', 2, data_centre=FAR),
            (view('behind', 1),),
            drained=frozenset((FAR,)),
            listed=(listed('silent'),),
        )
        choice = choose_routers(facts)
        self.assertEqual(order_routers(choice, 0, 8), ('behind:80',))

    def test_chooses_itself_without_others_unless_leaving_or_starting(
        self,
    ) -> None:
        cut_off = replace(
            report('a', phase=NodePhase.CUT_OFF), version=ConfigVersion(1)
        )
        self.assertEqual(
            choose_routers(RouterFacts(cut_off, ())).near, ('a:80',)
        )
        leaving = report('a', phase=NodePhase.LEAVING)
        starting = replace(cut_off, version=NO_VERSION)
        for own in (leaving, starting):
            choice = choose_routers(RouterFacts(own, ()))
            self.assertEqual(order_routers(choice, 0, 8), ())

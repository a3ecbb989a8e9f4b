"""Tests of the membership task and of the merging of gossip."""

import unittest
from random import Random

from pomelogauge.decide.membership import (
    GossipSettings,
    live_views,
    merge_views,
    pick_targets,
)
from pomelogauge.model.ids import Address, ConfigVersion, Incarnation, NodeName
from pomelogauge.model.manifest import Configuration
from pomelogauge.model.peers import PeerView
from pomelogauge.model.phase import NodePhase
from pomelogauge.model.topology import Instance, InstanceRole
from pomelogauge.tasks.gossip_sender import GossipSender
from pomelogauge.tasks.mailbox import Mailbox
from pomelogauge.tasks.membership import (
    Membership,
    MembershipPorts,
    MembershipSettings,
)
from pomelogauge.tasks.messages import (
    ConfigurationInForce,
    GossipReceived,
    InstancesListed,
    RouterAddressesRequested,
    StatusRequested,
)
from pomelogauge.tasks.peer_messages import GossipEnded
from pomelogauge.tasks.shutdown_messages import PhaseChanged

from .peer_fakes import FakeClock, FakeLinks, report, view

OWN = NodeName('a')
SETTINGS = GossipSettings()
OTHER_INCARNATION = Incarnation('i2')


class MergeTest(unittest.TestCase):
    """Guards against gossip that keeps a dead peer alive."""

    def test_ages_add_up_over_hops(self) -> None:
        known = merge_views({}, OWN, [PeerView(report('b'), 2)], 10)
        (at_first,) = live_views(known, 3, 10.5)
        self.assertEqual(at_first.age_s, 2.5)
        known = merge_views({}, OWN, [at_first], 50)
        self.assertEqual(live_views(known, 3, 51), ())

    def test_repeated_report_does_not_extend_liveness(self) -> None:
        known = merge_views({}, OWN, [view('b')], 10)
        known = merge_views(known, OWN, [view('b')], 13)
        self.assertEqual(live_views(known, 3, 14), ())
        known = merge_views(known, OWN, [view('b', sequence=8)], 14)
        self.assertEqual(len(live_views(known, 3, 14)), 1)

    def test_old_incarnation_does_not_return_by_gossip(self) -> None:
        old = report('b', sequence=99)
        new = report('b', sequence=1, incarnation=OTHER_INCARNATION)
        known = merge_views({}, OWN, [PeerView(old, 0, direct=True)], 10)
        known = merge_views(known, OWN, [PeerView(new, 0, direct=True)], 11)
        known = merge_views(known, OWN, [PeerView(old, 2)], 11)
        self.assertEqual(known[NodeName('b')].report, new)

    def test_gossip_about_this_node_is_ignored(self) -> None:
        self.assertEqual(merge_views({}, OWN, [view('a')], 10), {})

    def test_unreachable_peers_are_gossip_targets_too(self) -> None:
        unreachable = (Address('c:90'),)
        self.assertEqual(
            pick_targets((), unreachable, 2, Random(1)), unreachable
        )
        rng = Random(1)
        rounds = [
            pick_targets((view('b'),), unreachable, 1, rng) for _ in range(40)
        ]
        self.assertIn(unreachable, rounds)
        self.assertGreater(rounds.count(('b:90',)), 20)


class MembershipTest(unittest.TestCase):
    """Guards against lost changes and against senders that block gossip."""

    def setUp(self) -> None:
        self.clock = FakeClock()
        self.senders = (Mailbox(), Mailbox())
        self.changes = Mailbox()
        self.inbox = Mailbox()
        self.membership = Membership(
            report('a', phase=NodePhase.STARTING),
            MembershipPorts(self.senders, (self.changes,)),
            MembershipSettings(SETTINGS, entries_ttl_s=5),
            self.clock,
            Random(1),
        )
        self.membership.listen_on(self.inbox)

    def receive(self, name: str, **changes: object) -> None:
        """Deliver gossip from a peer."""
        self.membership.on_message(GossipReceived(report(name, **changes), ()))

    def test_blocked_sender_gets_no_further_request(self) -> None:
        self.receive('b')
        self.receive('c')
        self.membership.on_timer()
        self.assertEqual([box.depth() for box in self.senders], [1, 1])
        self.membership.on_message(GossipEnded(1))
        self.clock.time_s += SETTINGS.interval_s
        self.membership.on_timer()
        self.assertEqual([box.depth() for box in self.senders], [1, 2])
        first = self.senders[1].take(0).gossip
        second = self.senders[1].take(0).gossip
        self.assertGreater(second.sender.sequence, first.sender.sequence)

    def test_sender_replies_with_the_answer_and_then_the_end(self) -> None:
        links = FakeLinks()
        links.peers['b:90'] = lambda gossip: gossip
        sender = GossipSender(links)
        for name, answers in (('b', 2), ('c', 1)):
            message = InstancesListed((listed(name), listed('a')))
            self.membership.on_message(message)
            self.clock.time_s += SETTINGS.interval_s
            self.membership.on_timer()
            request = self.senders[0].take(0)
            self.assertEqual(request.address, f'{name}:90')
            sender.on_message(request)
            self.assertEqual(self.inbox.depth(), answers)
            while answer := self.inbox.take(0):
                self.membership.on_message(answer)

    def test_publishes_changes_and_lost_peers(self) -> None:
        self.receive('b', sequence=1)
        self.assertEqual(len(self.changes.take(0).peers), 1)
        self.receive('b', sequence=2)
        self.assertIsNone(self.changes.take(0))
        self.receive('b', sequence=3, phase=NodePhase.LEAVING)
        (peer,) = self.changes.take(0).peers
        self.assertTrue(peer.direct)
        self.clock.time_s += SETTINGS.live_timeout_s(1) + 1
        self.membership.on_timer()
        self.assertEqual(self.changes.take(0).peers, ())

    def test_leaving_is_final_and_reported(self) -> None:
        for phase in (NodePhase.LEAVING, NodePhase.READY):
            self.membership.on_message(PhaseChanged(phase))
        version = ConfigVersion(3)
        self.membership.on_message(ConfigurationInForce(Configuration(version)))
        reply = Mailbox()
        self.membership.on_message(StatusRequested(reply))
        own = reply.take(0).sender
        self.assertIs(own.phase, NodePhase.LEAVING)
        self.assertEqual(own.version, version)

    def test_gives_router_addresses_to_callers(self) -> None:
        self.membership.on_message(PhaseChanged(NodePhase.READY))
        self.receive('b')
        named = [self.entries(), self.entries()]
        self.assertCountEqual(named, [('a:80', 'b:80'), ('b:80', 'a:80')])
        self.receive('b', sequence=9, phase=NodePhase.LEAVING)
        self.assertEqual(self.entries(), ('a:80',))

    def entries(self) -> tuple[str, ...]:
        """Return the router addresses given to a caller."""
        reply = Mailbox()
        self.membership.on_message(RouterAddressesRequested(reply))
        return reply.take(0).addresses


def listed(name: str) -> Instance:
    """Return a router as the instance list names it."""
    return Instance(
        name,
        InstanceRole.ROUTER,
        Address(f'{name}:80'),
        'dc1',
        peer_address=Address(f'{name}:90'),
    )

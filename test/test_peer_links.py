"""Tests of links between peers over gRPC."""

import unittest

from returns.result import Failure, Success

from pomelogauge.model.ids import Address, ConfigVersion, NodeName
from pomelogauge.model.peers import ExchangeRequest, PeerView
from pomelogauge.tasks.messages import (
    ConfigurationDocument,
    ConfigurationRequested,
    Gossip,
    GossipReceived,
    StatusRequested,
)
from pomelogauge.wire.blocked_links import BlockedLinks
from pomelogauge.wire.peer_client import GrpcLinks
from pomelogauge.wire.peer_server import PeerOutboxes, PeerServer

from .test_peer_codec import REPORT

GOSSIP = Gossip(REPORT, (PeerView(REPORT, 1.0),))
DOCUMENT = ConfigurationDocument(ConfigVersion(3), b'doc', REPORT.node)


class MembershipFake:
    def post(self, message: GossipReceived) -> None:
        if message.reply:
            message.reply.post(Gossip(message.sender, message.others))


class KeeperFake:
    def post(self, message: object) -> None:
        if isinstance(message, ConfigurationRequested):
            message.reply.post(DOCUMENT)
        else:
            message.reply.post(message.document.version)


class SilentFake:
    def post(self, message: StatusRequested) -> None:
        """Never answer."""


class PeerLinksTest(unittest.TestCase):
    def setUp(self) -> None:
        outboxes = PeerOutboxes(MembershipFake(), KeeperFake(), SilentFake())
        self.server = PeerServer(may_block_links=True)
        port = self.server.bind('127.0.0.1', 0)
        self.server.serve(outboxes, BlockedLinks())
        self.addCleanup(self.server.stop, 0)
        self.address = Address(f'127.0.0.1:{port}')
        self.blocked_links = BlockedLinks()
        self.links = GrpcLinks(NodeName('caller'), 5, self.blocked_links)
        self.addCleanup(self.links.close)

    def test_calls_reach_the_tasks(self) -> None:
        heard = self.links.gossip(self.address, GOSSIP)
        self.assertEqual(heard, Success(GOSSIP))
        fetched = self.links.fetch(self.address, ConfigVersion(1))
        self.assertEqual(fetched, Success(DOCUMENT))
        pushed = self.links.push(self.address, DOCUMENT)
        self.assertEqual(pushed, Success(ConfigVersion(3)))

    def test_router_has_no_exchange(self) -> None:
        answer = self.links.exchange(self.address, ExchangeRequest(REPORT))
        self.assertIn('UNIMPLEMENTED', answer.failure().message)

    def test_silent_task_is_an_error(self) -> None:
        answer = self.links.status(self.address)
        self.assertIn('UNAVAILABLE', answer.failure().message)

    def test_server_refuses_a_cut_caller(self) -> None:
        self.links.block_links(self.address, ('caller',)).unwrap()
        answer = self.links.gossip(self.address, GOSSIP)
        self.assertIn('cut', answer.failure().message)
        self.links.block_links(self.address, ()).unwrap()
        self.links.gossip(self.address, GOSSIP).unwrap()

    def test_caller_fails_at_a_cut_name_or_address(self) -> None:
        for name in (REPORT.node, self.address):
            self.blocked_links.replace(frozenset((name,)))
            answer = self.links.gossip(self.address, GOSSIP)
            self.assertIsInstance(answer, Failure)

    def test_cuts_need_the_setting(self) -> None:
        outboxes = PeerOutboxes(MembershipFake(), KeeperFake(), SilentFake())
        server = PeerServer()
        self.addCleanup(server.stop, 0)
        address = Address(f'127.0.0.1:{server.bind("127.0.0.1", 0)}')
        server.serve(outboxes, BlockedLinks())
        answer = self.links.block_links(address, ('x',))
        self.assertIn('PERMISSION_DENIED', answer.failure().message)

    def test_absent_peer_is_an_error(self) -> None:
        self.server.stop(0)
        answer = self.links.gossip(self.address, GOSSIP)
        self.assertIsInstance(answer, Failure)

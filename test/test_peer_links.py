"""Tests of calls between peers over gRPC."""

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
    """Answers gossip with the gossip received."""

    def post(self, message: GossipReceived) -> None:
        if message.reply:
            message.reply.post(Gossip(message.sender, message.others))


class ConfigurationFake:
    """Answers fetches with one document and accepts every push."""

    def post(self, message: object) -> None:
        if isinstance(message, ConfigurationRequested):
            message.reply.post(DOCUMENT)
        else:
            message.reply.post(message.document.version)


class SilentFake:
    """A task that is stuck."""

    def post(self, message: StatusRequested) -> None:
        """Drop the request without an answer."""


class PeerLinksTest(unittest.TestCase):
    """Guards against calls that hang and blocked links that stay open."""

    def setUp(self) -> None:
        outboxes = PeerOutboxes(
            MembershipFake(), ConfigurationFake(), SilentFake()
        )
        self.server = PeerServer(may_block_links=True)
        port = self.server.bind('127.0.0.1', 0)
        self.server.serve(outboxes, BlockedLinks())
        self.addCleanup(self.server.stop, 0)
        self.address = Address(f'127.0.0.1:{port}')
        self.blocked_links = BlockedLinks()
        self.links = GrpcLinks(NodeName('caller'), 5, self.blocked_links)
        self.addCleanup(self.links.close)

    def test_calls_are_answered_by_the_tasks(self) -> None:
        gossip = self.links.gossip(self.address, GOSSIP)
        self.assertEqual(gossip, Success(GOSSIP))
        fetched = self.links.fetch(self.address, ConfigVersion(1))
        self.assertEqual(fetched, Success(DOCUMENT))
        pushed = self.links.push(self.address, DOCUMENT)
        self.assertEqual(pushed, Success(ConfigVersion(3)))

    def test_router_refuses_exchanges(self) -> None:
        answer = self.links.exchange(self.address, ExchangeRequest(REPORT))
        self.assertIn('UNIMPLEMENTED', answer.failure().message)

    def test_call_fails_if_the_task_does_not_answer(self) -> None:
        answer = self.links.status(self.address)
        self.assertIn('UNAVAILABLE', answer.failure().message)

    def test_server_refuses_a_blocked_caller(self) -> None:
        self.links.block_links(self.address, ('caller',)).unwrap()
        answer = self.links.gossip(self.address, GOSSIP)
        self.assertIn('caller is blocked', answer.failure().message)
        self.links.block_links(self.address, ()).unwrap()
        self.links.gossip(self.address, GOSSIP).unwrap()

    def test_call_to_a_blocked_name_or_address_fails(self) -> None:
        for name in (REPORT.node, self.address):
            self.blocked_links.replace(frozenset((name,)))
            answer = self.links.gossip(self.address, GOSSIP)
            self.assertIsInstance(answer, Failure)

    def test_blocking_links_needs_the_setting(self) -> None:
        outboxes = PeerOutboxes(
            MembershipFake(), ConfigurationFake(), SilentFake()
        )
        server = PeerServer()
        self.addCleanup(server.stop, 0)
        address = Address(f'127.0.0.1:{server.bind("127.0.0.1", 0)}')
        server.serve(outboxes, BlockedLinks())
        answer = self.links.block_links(address, ('x',))
        self.assertIn('PERMISSION_DENIED', answer.failure().message)

    def test_call_to_a_stopped_peer_fails(self) -> None:
        self.server.stop(0)
        answer = self.links.gossip(self.address, GOSSIP)
        self.assertIsInstance(answer, Failure)

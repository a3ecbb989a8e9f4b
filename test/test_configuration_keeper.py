"""Tests of the configuration keeper with its reader and a sender."""

import unittest
from random import Random

from returns.result import Failure, Success

from pomelogauge.charts.reader import load_chart
from pomelogauge.decide.spread import SpreadSettings
from pomelogauge.decide.version_chart import VERSION_WORDS
from pomelogauge.model.errors import Finding, SourceLocation
from pomelogauge.model.ids import ConfigVersion, NodeName
from pomelogauge.model.manifest import Configuration
from pomelogauge.model.peers import PeerView
from pomelogauge.model.phase import NodePhase
from pomelogauge.tables.protocols import PlatformError, PlatformFault
from pomelogauge.tasks.configuration_keeper import (
    ConfigurationKeeper,
    KeeperPorts,
)
from pomelogauge.tasks.configuration_reader import ConfigurationReader
from pomelogauge.tasks.configuration_requests import (
    ConfigurationRequestPorts,
    ConfigurationRequests,
)
from pomelogauge.tasks.configuration_sender import ConfigurationSender
from pomelogauge.tasks.mailbox import Mailbox
from pomelogauge.tasks.messages import (
    ConfigurationDocument,
    ConfigurationPushed,
    ConfigurationRequested,
    InstancesListed,
    PeersChanged,
)

from .peer_fakes import FakeClock, FakeLinks, report, view
from .test_membership import listed

SETTINGS = SpreadSettings()
DOWN = Failure(PlatformError(PlatformFault.UNAVAILABLE, 'down'))

SUPERSEDED = Failure(PlatformError(PlatformFault.CONFLICT, 'superseded'))


class FakeSource:
    """Store with one version; unavailable while the version is ``None``."""

    def __init__(self) -> None:
        self.version: int | None = None

    def current_version(self):
        return DOWN if self.version is None else Success(self.version)

    def document(self, version: ConfigVersion):
        if self.version is None:
            return DOWN
        return Success(b'good') if version == self.version else SUPERSEDED


def decode(document: bytes):
    if document == b'good':
        return Success(Configuration())
    return Failure((Finding(SourceLocation('document'), 'is bad'),))


def document(version: int, encoded: bytes = b'good') -> ConfigurationDocument:
    return ConfigurationDocument(ConfigVersion(version), encoded, NodeName('b'))


class ConfigurationKeeperTest(unittest.TestCase):
    """Guards against old, unconfirmed or undecodable versions in force."""

    def setUp(self) -> None:
        self.clock = FakeClock()
        self.source = FakeSource()
        self.links = FakeLinks()
        self.reads = Mailbox()
        self.peer_calls = Mailbox()
        self.adopted = Mailbox()
        self.phases = Mailbox()
        self.inbox = Mailbox()
        ports = ConfigurationRequestPorts(
            self.reads, self.peer_calls, (self.peer_calls,)
        )
        requests = ConfigurationRequests(ports, SETTINGS, self.clock, Random(1))
        self.keeper = ConfigurationKeeper(
            NodeName('a'),
            load_chart('settings_version', VERSION_WORDS),
            decode,
            requests,
            KeeperPorts((self.adopted,), (self.phases,)),
            SETTINGS.cut_off_after_s,
            self.clock,
        )
        self.keeper.listen_on(self.inbox)
        self.reader = ConfigurationReader(self.source, NodeName('a'))
        self.sender = ConfigurationSender(self.links)

    def run_requests(self, seconds: float = 0) -> None:
        """Advance the clock and deliver all requests and replies."""
        self.clock.time_s += seconds
        self.keeper.on_timer()
        for mailbox, actor in (
            (self.reads, self.reader),
            (self.peer_calls, self.sender),
            (self.inbox, self.keeper),
        ) * 3:
            while message := mailbox.take(0):
                actor.on_message(message)
                self.keeper.on_timer()

    def report_peers(self, *peers: PeerView) -> None:
        """Replace the live peers, then deliver all requests."""
        self.keeper.on_message(PeersChanged(peers))
        self.run_requests()

    def version(self) -> int:
        """Return the version in force."""
        reply = Mailbox()
        self.keeper.on_message(ConfigurationRequested(reply))
        return reply.take(0).version

    def push(self, pushed: ConfigurationDocument) -> int:
        """Push a document; return the version then in force."""
        reply = Mailbox()
        self.keeper.on_message(ConfigurationPushed(pushed, reply))
        return reply.take(0)

    def phase(self) -> NodePhase | None:
        """Return the newest phase published since the last call."""
        newest = None
        while message := self.phases.take(0):
            newest = message.phase
        return newest

    def test_starts_from_the_store(self) -> None:
        self.source.version = 4
        self.run_requests()
        self.assertEqual(self.version(), 4)
        self.assertIs(self.phase(), NodePhase.READY)
        self.assertEqual(self.adopted.take(0).configuration.version, 4)

    def test_nothing_published_is_confirmed_by_the_store_or_a_peer(
        self,
    ) -> None:
        self.run_requests()
        self.report_peers(view('b', 0, phase=NodePhase.STARTING))
        self.assertIsNone(self.phase())
        self.report_peers(view('b', 0))
        self.assertIs(self.phase(), NodePhase.READY)
        self.setUp()
        self.source.version = 0
        self.run_requests()
        self.assertIs(self.phase(), NodePhase.READY)

    def test_starts_from_a_peer_while_the_store_is_down(self) -> None:
        self.links.documents['b:90'] = document(5)
        self.run_requests()
        self.report_peers(view('b', 5), view('c', 4))
        self.assertEqual(self.version(), 5)
        self.assertIn('c:90', self.links.pushed)

    def test_fetches_from_the_store_after_a_peer_failed(self) -> None:
        self.source.version = 5
        self.report_peers(view('b', 5))
        self.assertEqual(self.version(), 0)
        self.run_requests(1)
        self.assertEqual(self.version(), 5)

    def test_reads_version_again_after_a_conflict(self) -> None:
        self.source.version = 4
        self.run_requests()
        self.source.version = 6
        self.report_peers(view('b', 5))
        # Each step is shorter than the shortest interval between two reads,
        # so that only the conflict can cause the second read.
        self.run_requests(0.7)
        self.run_requests(0.7)
        self.assertEqual(self.version(), 6)

    def test_version_never_decreases(self) -> None:
        self.assertEqual(self.push(document(5)), 5)
        self.assertEqual(self.push(document(4)), 5)
        self.source.version = 3
        self.run_requests(10)
        self.assertEqual(self.version(), 5)

    def test_undecodable_document_is_rejected_and_cuts_off(self) -> None:
        self.push(document(5))
        self.assertEqual(self.push(document(6, b'bad')), 5)
        self.links.documents['b:90'] = document(6, b'bad')
        self.report_peers(view('b', 6), view('c', 5))
        self.assertIs(self.phase(), NodePhase.READY)
        self.run_requests(SETTINGS.cut_off_after_s + 1)
        self.assertIs(self.phase(), NodePhase.CUT_OFF)

    def test_cut_off_ends_with_a_new_confirmation(self) -> None:
        self.push(document(5))
        self.run_requests(SETTINGS.cut_off_after_s + 1)
        self.assertIs(self.phase(), NodePhase.CUT_OFF)
        self.report_peers(
            PeerView(report('b', 5), SETTINGS.cut_off_after_s + 1)
        )
        self.assertIsNone(self.phase())
        self.report_peers(view('b', 5))
        self.assertIs(self.phase(), NodePhase.READY)

    def test_too_few_of_the_listed_peers_do_not_confirm(self) -> None:
        instances = tuple(map(listed, 'abcd'))
        self.keeper.on_message(InstancesListed(instances))
        self.push(document(5))
        self.run_requests(SETTINGS.cut_off_after_s + 1)
        self.report_peers(view('b', 5), view('x', 5))
        self.assertIs(self.phase(), NodePhase.CUT_OFF)
        self.report_peers(view('b', 5), view('c', 5))
        self.assertIs(self.phase(), NodePhase.READY)

    def test_reads_of_the_store_confirm_the_version(self) -> None:
        self.source.version = 5
        self.run_requests()
        for _ in range(3):
            self.run_requests(SETTINGS.cut_off_after_s / 2)
        self.assertIs(self.phase(), NodePhase.READY)

"""Tests of the protobuf encodings between peers."""

import unittest
from dataclasses import replace

from pomelogauge.decide.heartbeats import heartbeats_of
from pomelogauge.decide.membership import GossipSettings
from pomelogauge.model.ids import (
    Address,
    ConfigVersion,
    DataCentreName,
    DeploymentName,
    DomainName,
    Epoch,
    Incarnation,
    InstanceName,
    NodeName,
    ReplicaId,
    ShardName,
)
from pomelogauge.model.peers import (
    Demand,
    ExchangeAnswer,
    ExchangeRequest,
    Heartbeat,
    Heartbeats,
    NodeReport,
    PeerView,
    ReplicaUse,
)
from pomelogauge.model.phase import NodePhase
from pomelogauge.model.placement import (
    Grant,
    Member,
    Replica,
    ReplicaState,
    ReplicaView,
)
from pomelogauge.model.topology import InstanceRole
from pomelogauge.tasks.messages import (
    ConfigurationDocument,
    Gossip,
    NodeStatus,
)
from pomelogauge.wire import peer_codec, report_codec

REPORT = NodeReport(
    NodeName('r1'),
    InstanceRole.ROUTER,
    Incarnation('i1'),
    7,
    DataCentreName('dc1'),
    Address('10.0.0.1:80'),
    Address('10.0.0.1:90'),
    ConfigVersion(3),
    NodePhase.LEAVING,
)
MEMBER = Member(
    InstanceName('e1'),
    Address('10.0.0.2:80'),
    DataCentreName('dc1'),
    DomainName('f1'),
    1,
)
REPLICA = Replica(
    ReplicaId('p1'),
    DeploymentName('d1'),
    Epoch(4),
    ShardName('s1'),
    (MEMBER,),
    ReplicaState.SERVING,
)
VIEW = ReplicaView(REPLICA, True, 2, 5, 0.5, Incarnation('i2'), 8)


class PeerCodecTest(unittest.TestCase):
    """Guards against lost fields and gossip beyond a node's traffic limit."""

    def test_gossip_survives_encoding(self) -> None:
        heartbeats = tuple(Heartbeat(1 << 23 | n, n / 8) for n in range(256))
        group = Heartbeats(ConfigVersion(9), NodePhase.READY, heartbeats)
        gossip = Gossip(REPORT, (PeerView(REPORT, 1.5),), (group,))
        for encode in (
            report_codec.encode_gossip_request,
            report_codec.encode_gossip_answer,
        ):
            self.assertEqual(report_codec.decode_gossip(encode(gossip)), gossip)

    def test_gossip_stays_within_a_nodes_traffic_limit(self) -> None:
        settings = GossipSettings()
        report = replace(
            REPORT,
            node=NodeName('controller-dc1-001'),
            incarnation=Incarnation('a1b2c3d4e5f6'),
            sequence=1_000_000,
            data_centre=DataCentreName('klang-valley-1'),
            address=Address('10.200.100.100:18080'),
            peer_address=Address('10.200.100.100:19080'),
        )
        for peers in (15, 119, 419):
            views = (PeerView(report, 1.5),) * peers
            gossip = Gossip(report, (), heartbeats_of(views))
            size = report_codec.encode_gossip_request(gossip).ByteSize()
            # On average a node answers as many gossip calls as it makes. The
            # limit leaves room for the frames and for reads of the store.
            messages = 2 * settings.targets(peers) / settings.round_s(peers)
            self.assertLess(size * messages, 3072)

    def test_ages_are_rounded_up_and_old_heartbeats_left_out(self) -> None:
        heartbeats = (Heartbeat(1, 0.126), Heartbeat(2, 31.9))
        group = Heartbeats(ConfigVersion(1), NodePhase.READY, heartbeats)
        encoded = report_codec.encode_heartbeats((group,))
        (decoded,) = report_codec.decode_heartbeats(encoded)
        self.assertEqual(decoded.heartbeats, (Heartbeat(1, 0.25),))

    def test_configuration_document_survives_encoding(self) -> None:
        document = ConfigurationDocument(
            ConfigVersion(3), b'\x00x', NodeName('r1')
        )
        message = report_codec.encode_document(document)
        self.assertEqual(report_codec.decode_document(message), document)

    def test_exchange_survives_encoding(self) -> None:
        ask = ExchangeRequest(
            REPORT,
            (Demand(DeploymentName('d1'), 3, 2),),
            (ReplicaUse(ReplicaId('p1'), 2, 0), ReplicaUse(ReplicaId('p2'), 1)),
            (ReplicaId('p2'),),
        )
        message = peer_codec.encode_exchange_request(ask)
        self.assertEqual(peer_codec.decode_exchange_request(message), ask)
        grant = Grant(ReplicaId('p1'), 2, 1.5, Epoch(6))
        answer = ExchangeAnswer(REPORT, (VIEW,), (grant,))
        encoded = peer_codec.encode_exchange_answer(answer)
        self.assertEqual(peer_codec.decode_exchange_answer(encoded), answer)

    def test_status_survives_encoding(self) -> None:
        status = NodeStatus(
            REPORT, (PeerView(REPORT, 0.5),), (VIEW,), (ShardName('s1'),)
        )
        message = peer_codec.encode_status(status)
        self.assertEqual(peer_codec.decode_status(message), status)

    def test_report_with_an_unknown_phase_is_refused(self) -> None:
        message = report_codec.encode_report(REPORT)
        message.phase = 'asleep'
        with self.assertRaises(ValueError):
            report_codec.decode_report(message)

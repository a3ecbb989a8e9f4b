"""Protobuf encoding of node reports, gossip and configurations."""

import math
from collections.abc import Iterable

from ..model.ids import (
    Address,
    ConfigVersion,
    DataCentreName,
    Incarnation,
    NodeName,
)
from ..model.peers import Heartbeat, Heartbeats, NodeReport, PeerView
from ..model.phase import NodePhase
from ..model.topology import InstanceRole
from ..tasks.messages import ConfigurationDocument, Gossip
from . import peer_pb2

#: Resolution of a heartbeat's age, in seconds.
AGE_UNIT_S = 0.125
_AGE_BITS = 8
_AGE_MASK = (1 << _AGE_BITS) - 1
#: Largest age that 8 bits can hold, in seconds; older heartbeats are not sent.
MAX_AGE_S = _AGE_MASK * AGE_UNIT_S


def encode_report(report: NodeReport) -> peer_pb2.NodeReport:
    """Encode a node's report of itself."""
    return peer_pb2.NodeReport(
        node=report.node,
        role=report.role.value,
        incarnation=report.incarnation,
        sequence=report.sequence,
        data_centre=report.data_centre,
        address=report.address,
        peer_address=report.peer_address,
        version=report.version,
        phase=report.phase.value,
    )


def decode_report(message: peer_pb2.NodeReport) -> NodeReport:
    """Decode a node's report of itself.

    Raises
    ------
    ValueError
        The report holds an unknown role or phase.

    """
    return NodeReport(
        node=NodeName(message.node),
        role=InstanceRole(message.role),
        incarnation=Incarnation(message.incarnation),
        sequence=message.sequence,
        data_centre=DataCentreName(message.data_centre),
        address=Address(message.address),
        peer_address=Address(message.peer_address),
        version=ConfigVersion(message.version),
        phase=NodePhase(message.phase),
    )


def encode_views(views: Iterable[PeerView]) -> list[peer_pb2.AgedReport]:
    """Encode a node's views of its peers, with the age of each report."""
    return [
        peer_pb2.AgedReport(
            report=encode_report(view.report),
            age_s=view.age_s,
        )
        for view in views
    ]


def decode_views(
    messages: Iterable[peer_pb2.AgedReport],
) -> tuple[PeerView, ...]:
    """Decode a node's views of its peers.

    The reports came through another node, so that none counts as direct.

    Raises
    ------
    ValueError
        A report holds an unknown role or phase.

    """
    return tuple(
        PeerView(decode_report(message.report), message.age_s)
        for message in messages
    )


def encode_heartbeats(
    groups: Iterable[Heartbeats],
) -> list[peer_pb2.Heartbeats]:
    """Encode heartbeats, each as a fingerprint and an age in one number.

    Ages are rounded up, so that no report looks newer than it is; heartbeats
    older than ``MAX_AGE_S`` are left out.
    """
    return [
        peer_pb2.Heartbeats(
            version=group.version,
            phase=group.phase.value,
            beats=[
                heartbeat.peer << _AGE_BITS
                | math.ceil(heartbeat.age_s / AGE_UNIT_S)
                for heartbeat in group.heartbeats
                if heartbeat.age_s <= MAX_AGE_S
            ],
        )
        for group in groups
    ]


def decode_heartbeats(
    messages: Iterable[peer_pb2.Heartbeats],
) -> tuple[Heartbeats, ...]:
    """Decode heartbeats; their ages are multiples of ``AGE_UNIT_S``.

    Raises
    ------
    ValueError
        A group holds an unknown phase.

    """
    return tuple(
        Heartbeats(
            ConfigVersion(message.version),
            NodePhase(message.phase),
            tuple(map(_decode_heartbeat, message.beats)),
        )
        for message in messages
    )


def encode_gossip_request(gossip: Gossip) -> peer_pb2.GossipAsk:
    """Encode the gossip that a node sends to a peer."""
    return peer_pb2.GossipAsk(
        sender=encode_report(gossip.sender),
        others=encode_views(gossip.others),
        heartbeats=encode_heartbeats(gossip.heartbeats),
    )


def encode_gossip_answer(gossip: Gossip) -> peer_pb2.GossipAnswer:
    """Encode the gossip with which a peer answers."""
    return peer_pb2.GossipAnswer(
        sender=encode_report(gossip.sender),
        others=encode_views(gossip.others),
        heartbeats=encode_heartbeats(gossip.heartbeats),
    )


def decode_gossip(
    message: peer_pb2.GossipAsk | peer_pb2.GossipAnswer,
) -> Gossip:
    """Decode the gossip of either side.

    Raises
    ------
    ValueError
        The message holds an unknown role or phase.

    """
    return Gossip(
        decode_report(message.sender),
        decode_views(message.others),
        decode_heartbeats(message.heartbeats),
    )


def encode_document(
    document: ConfigurationDocument,
) -> peer_pb2.ConfigurationDocument:
    """Encode a configuration document for a peer."""
    return peer_pb2.ConfigurationDocument(
        version=document.version,
        document=document.document,
        sender=document.sender,
    )


def decode_document(
    message: peer_pb2.ConfigurationDocument,
) -> ConfigurationDocument:
    """Decode a configuration document from a peer; its body stays encoded."""
    return ConfigurationDocument(
        version=ConfigVersion(message.version),
        document=message.document,
        sender=NodeName(message.sender),
    )


def _decode_heartbeat(packed: int) -> Heartbeat:
    age_s = (packed & _AGE_MASK) * AGE_UNIT_S
    return Heartbeat(packed >> _AGE_BITS, age_s)

"""Reports and gossip as protobuf messages."""

import math
from collections.abc import Iterable

from ..model.ids import (
    Address,
    ConfigVersion,
    DataCentreName,
    Incarnation,
    NodeName,
)
from ..model.peers import (
    Heartbeat,
    Heartbeats,
    NodePhase,
    NodeReport,
    PeerView,
)
from ..model.topology import InstanceRole
from ..tasks.messages import ConfigurationDocument, Gossip
from . import peer_pb2

#: Unit of the age of a heartbeat, in seconds.
AGE_UNIT_S = 0.125
_AGE_BITS = 8
_AGE_MASK = (1 << _AGE_BITS) - 1
#: Oldest heartbeat that is sent, in seconds.
MAX_AGE_S = _AGE_MASK * AGE_UNIT_S


def encode_report(report: NodeReport) -> peer_pb2.NodeReport:
    """Encode a node's report."""
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
    """Decode a node's report.

    Raises
    ------
    ValueError
        The role or the phase is unknown.

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
    """Encode what a node knows of others."""
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
    """Decode what a node knows of others; none of it is direct here."""
    return tuple(
        PeerView(decode_report(message.report), message.age_s)
        for message in messages
    )


def encode_heartbeats(
    groups: Iterable[Heartbeats],
) -> list[peer_pb2.Heartbeats]:
    """Encode ages, rounded up so that no report looks newer than it is."""
    return [
        peer_pb2.Heartbeats(
            version=group.version,
            phase=group.phase.value,
            beats=[
                beat.peer << _AGE_BITS | math.ceil(beat.age_s / AGE_UNIT_S)
                for beat in group.heartbeats
                if beat.age_s <= MAX_AGE_S
            ],
        )
        for group in groups
    ]


def decode_heartbeats(
    messages: Iterable[peer_pb2.Heartbeats],
) -> tuple[Heartbeats, ...]:
    """Decode the ages of peers.

    Raises
    ------
    ValueError
        A phase is unknown.

    """
    return tuple(
        Heartbeats(
            ConfigVersion(message.version),
            NodePhase(message.phase),
            tuple(map(_decode_beat, message.beats)),
        )
        for message in messages
    )


def encode_gossip_request(gossip: Gossip) -> peer_pb2.GossipAsk:
    """Encode the gossip that opens an exchange."""
    return peer_pb2.GossipAsk(
        sender=encode_report(gossip.sender),
        others=encode_views(gossip.others),
        heartbeats=encode_heartbeats(gossip.heartbeats),
    )


def encode_gossip_answer(gossip: Gossip) -> peer_pb2.GossipAnswer:
    """Encode the gossip that answers an exchange."""
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
        A role or a phase is unknown.

    """
    return Gossip(
        decode_report(message.sender),
        decode_views(message.others),
        decode_heartbeats(message.heartbeats),
    )


def encode_document(
    document: ConfigurationDocument,
) -> peer_pb2.ConfigurationDocument:
    """Encode a configuration on its way."""
    return peer_pb2.ConfigurationDocument(
        version=document.version,
        document=document.document,
        sender=document.sender,
    )


def decode_document(
    message: peer_pb2.ConfigurationDocument,
) -> ConfigurationDocument:
    """Decode a configuration on its way."""
    return ConfigurationDocument(
        version=ConfigVersion(message.version),
        document=message.document,
        sender=NodeName(message.sender),
    )


def _decode_beat(packed: int) -> Heartbeat:
    age_s = (packed & _AGE_MASK) * AGE_UNIT_S
    return Heartbeat(packed >> _AGE_BITS, age_s)

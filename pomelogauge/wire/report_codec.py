"""Reports and gossip as protobuf messages."""

from collections.abc import Iterable

from ..model.ids import (
    Address,
    ConfigVersion,
    DataCentreName,
    Incarnation,
    NodeName,
)
from ..model.peers import NodePhase, NodeReport, PeerView
from ..model.topology import InstanceRole
from ..tasks.messages import ConfigurationDocument, Gossip
from . import peer_pb2


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


def encode_gossip_ask(gossip: Gossip) -> peer_pb2.GossipAsk:
    """Encode the gossip that opens an exchange."""
    return peer_pb2.GossipAsk(
        sender=encode_report(gossip.sender),
        others=encode_views(gossip.others),
    )


def encode_gossip_answer(gossip: Gossip) -> peer_pb2.GossipAnswer:
    """Encode the gossip that answers an exchange."""
    return peer_pb2.GossipAnswer(
        sender=encode_report(gossip.sender),
        others=encode_views(gossip.others),
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
    return Gossip(decode_report(message.sender), decode_views(message.others))


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

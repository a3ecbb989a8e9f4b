"""Exchanges and status between peers as protobuf messages."""

from ..model.ids import ReplicaId, ShardName
from ..model.peers import ExchangeAnswer, ExchangeRequest
from ..tasks.messages import NodeStatus
from . import peer_pb2
from .replica_codec import (
    decode_demands,
    decode_grants,
    decode_replica_views,
    decode_uses,
    encode_demands,
    encode_grants,
    encode_replica_views,
    encode_uses,
)
from .report_codec import (
    decode_report,
    decode_views,
    encode_report,
    encode_views,
)


def encode_exchange_request(ask: ExchangeRequest) -> peer_pb2.ExchangeAsk:
    """Encode a router's message to a controller."""
    return peer_pb2.ExchangeAsk(
        sender=encode_report(ask.sender),
        demands=encode_demands(ask.demands),
        uses=encode_uses(ask.uses),
        suspects=ask.suspects,
    )


def decode_exchange_request(message: peer_pb2.ExchangeAsk) -> ExchangeRequest:
    """Decode a router's message to a controller.

    Raises
    ------
    ValueError
        A role or a phase is unknown.

    """
    return ExchangeRequest(
        sender=decode_report(message.sender),
        demands=decode_demands(message.demands),
        uses=decode_uses(message.uses),
        suspects=tuple(ReplicaId(name) for name in message.suspects),
    )


def encode_exchange_answer(answer: ExchangeAnswer) -> peer_pb2.ExchangeAnswer:
    """Encode a controller's answer."""
    return peer_pb2.ExchangeAnswer(
        sender=encode_report(answer.sender),
        views=encode_replica_views(answer.views),
        grants=encode_grants(answer.grants),
    )


def decode_exchange_answer(message: peer_pb2.ExchangeAnswer) -> ExchangeAnswer:
    """Decode a controller's answer.

    Raises
    ------
    ValueError
        A role, a phase or a state is unknown.

    """
    return ExchangeAnswer(
        sender=decode_report(message.sender),
        views=decode_replica_views(message.views),
        grants=decode_grants(message.grants),
    )


def encode_status(status: NodeStatus) -> peer_pb2.StatusAnswer:
    """Encode what operators see of a process."""
    return peer_pb2.StatusAnswer(
        sender=encode_report(status.sender),
        peers=encode_views(status.peers),
        views=encode_replica_views(status.views),
        shards=status.shards,
    )


def decode_status(message: peer_pb2.StatusAnswer) -> NodeStatus:
    """Decode what operators see of a process.

    Raises
    ------
    ValueError
        A role, a phase or a state is unknown.

    """
    return NodeStatus(
        sender=decode_report(message.sender),
        peers=decode_views(message.peers),
        views=decode_replica_views(message.views),
        shards=tuple(ShardName(name) for name in message.shards),
    )

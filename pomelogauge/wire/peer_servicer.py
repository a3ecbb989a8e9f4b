"""Hands peers' calls to tasks and returns the tasks' answers."""

from collections.abc import Callable
from typing import Any, TypeVar

import grpc

from ..model.ids import ConfigVersion
from ..model.peers import ExchangeAnswer
from ..tasks.mailbox import Mailbox, Outbox
from ..tasks.messages import (
    ConfigurationDocument,
    ConfigurationPushed,
    ConfigurationRequested,
    ExchangeRequested,
    Gossip,
    GossipReceived,
    NodeStatus,
    StatusRequested,
)
from . import peer_pb2, peer_pb2_grpc
from .blocked_links import BlockedLinks
from .metadata import NODE_KEY
from .peer_codec import (
    decode_exchange_request,
    encode_exchange_answer,
    encode_status,
)
from .peer_outboxes import PeerOutboxes
from .report_codec import (
    decode_document,
    decode_gossip,
    encode_document,
    encode_gossip_answer,
)

MessageT = TypeVar('MessageT')
DecodedT = TypeVar('DecodedT')

#: Seconds for which a call waits for the answer of a task.
ANSWER_TIMEOUT_S = 0.9


class PeerServicer(peer_pb2_grpc.PeerServicer):
    """Decodes a call, posts it to a task and encodes the task's answer.

    A call that a task does not answer in time ends with ``UNAVAILABLE``, a
    malformed one with ``INVALID_ARGUMENT``.

    Parameters
    ----------
    outboxes
        Outboxes of the tasks that answer the calls.
    blocked_links
        Peers whose calls end with ``UNAVAILABLE``.
    may_block_links
        Whether calls may replace ``blocked_links``.

    """

    def __init__(
        self,
        outboxes: PeerOutboxes,
        blocked_links: BlockedLinks,
        may_block_links: bool,
    ) -> None:
        """Take the outboxes and the blocked links."""
        self._outboxes = outboxes
        self._blocked_links = blocked_links
        self._may_block_links = may_block_links

    def Gossip(
        self,
        request: peer_pb2.GossipAsk,
        context: grpc.ServicerContext,
    ) -> peer_pb2.GossipAnswer:
        """Record a peer's gossip and answer with this process's own."""
        self._refuse_if_blocked(context)
        gossip = _decoded(context, decode_gossip, request)
        reply: Mailbox[Gossip] = Mailbox()
        self._outboxes.membership.post(
            GossipReceived(
                gossip.sender, gossip.others, reply, gossip.heartbeats
            ),
        )
        return encode_gossip_answer(_answer(context, reply))

    def FetchConfiguration(
        self,
        request: peer_pb2.ConfigurationAsk,
        context: grpc.ServicerContext,
    ) -> peer_pb2.ConfigurationDocument:
        """Answer with the configuration in force."""
        self._refuse_if_blocked(context)
        reply: Mailbox[ConfigurationDocument] = Mailbox()
        self._outboxes.configuration.post(ConfigurationRequested(reply))
        return encode_document(_answer(context, reply))

    def PushConfiguration(
        self,
        request: peer_pb2.ConfigurationDocument,
        context: grpc.ServicerContext,
    ) -> peer_pb2.Acknowledgement:
        """Offer a configuration and answer with the version in force."""
        self._refuse_if_blocked(context)
        reply: Mailbox[ConfigVersion] = Mailbox()
        document = decode_document(request)
        self._outboxes.configuration.post(ConfigurationPushed(document, reply))
        return peer_pb2.Acknowledgement(version=_answer(context, reply))

    def Exchange(
        self,
        request: peer_pb2.ExchangeAsk,
        context: grpc.ServicerContext,
    ) -> peer_pb2.ExchangeAnswer:
        """Answer a router's exchange; a router refuses the call."""
        self._refuse_if_blocked(context)
        allocator = _exchange_outbox(context, self._outboxes.exchange)
        ask = _decoded(context, decode_exchange_request, request)
        reply: Mailbox[ExchangeAnswer] = Mailbox()
        allocator.post(ExchangeRequested(ask, reply))
        return encode_exchange_answer(_answer(context, reply))

    def Status(
        self,
        request: peer_pb2.StatusAsk,
        context: grpc.ServicerContext,
    ) -> peer_pb2.StatusAnswer:
        """Answer with the status of this process for operators."""
        self._refuse_if_blocked(context)
        reply: Mailbox[NodeStatus] = Mailbox()
        self._outboxes.status.post(StatusRequested(reply))
        return encode_status(_answer(context, reply))

    def SetCuts(
        self,
        request: peer_pb2.CutsAsk,
        context: grpc.ServicerContext,
    ) -> peer_pb2.Acknowledgement:
        """Replace the blocked links, if the settings allow it."""
        if not self._may_block_links:
            context.abort(
                grpc.StatusCode.PERMISSION_DENIED,
                'blocking links is not allowed by the settings',
            )
        self._blocked_links.replace(frozenset(request.nodes))
        return peer_pb2.Acknowledgement()

    def _refuse_if_blocked(self, context: grpc.ServicerContext) -> None:
        for key, name in context.invocation_metadata():
            if key == NODE_KEY and name in self._blocked_links.names:
                context.abort(
                    grpc.StatusCode.UNAVAILABLE,
                    f'link from {name} is blocked at this process',
                )


def _exchange_outbox(
    context: grpc.ServicerContext,
    outbox: Outbox[ExchangeRequested] | None,
) -> Outbox[ExchangeRequested]:
    """Return the outbox for exchanges; abort the call on a router."""
    if outbox is None:
        context.abort(grpc.StatusCode.UNIMPLEMENTED, 'not a controller')
    return outbox  # type: ignore[return-value]


def _answer(
    context: grpc.ServicerContext,
    reply: Mailbox[MessageT],
) -> MessageT:
    """Wait for the task's answer; abort the call if there is none in time."""
    answer = reply.take(ANSWER_TIMEOUT_S)
    if answer is None:
        context.abort(
            grpc.StatusCode.UNAVAILABLE,
            f'task did not answer within {ANSWER_TIMEOUT_S:g} s',
        )
    return answer  # type: ignore[return-value]


def _decoded(
    context: grpc.ServicerContext,
    decode: Callable[[Any], DecodedT],
    request: object,
) -> DecodedT:
    """Decode a request; abort the call when it is malformed."""
    try:
        return decode(request)
    except ValueError as exc:
        context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(exc))
        raise

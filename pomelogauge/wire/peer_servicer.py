"""Answers peers' calls by messages to the tasks that know the answer."""

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

#: Seconds for which a call waits for its task.
ANSWER_TIMEOUT_S = 0.9


class PeerServicer(peer_pb2_grpc.PeerServicer):
    """Decodes a call, asks the task that knows and encodes its answer."""

    def __init__(
        self,
        outboxes: PeerOutboxes,
        blocked_links: BlockedLinks,
        may_block_links: bool,
    ) -> None:
        """Take the outboxes of the tasks."""
        self._outboxes = outboxes
        self._blocked_links = blocked_links
        self._may_cut = may_block_links

    def Gossip(
        self,
        request: peer_pb2.GossipAsk,
        context: grpc.ServicerContext,
    ) -> peer_pb2.GossipAnswer:
        """Take a peer's gossip and answer with the own."""
        self._refuse_cut(context)
        heard = _decoded(context, decode_gossip, request)
        reply: Mailbox[Gossip] = Mailbox()
        self._outboxes.membership.post(
            GossipReceived(heard.sender, heard.others, reply, heard.heartbeats),
        )
        return encode_gossip_answer(_answer(context, reply))

    def FetchConfiguration(
        self,
        request: peer_pb2.ConfigurationAsk,
        context: grpc.ServicerContext,
    ) -> peer_pb2.ConfigurationDocument:
        """Answer with the configuration in force."""
        self._refuse_cut(context)
        reply: Mailbox[ConfigurationDocument] = Mailbox()
        self._outboxes.configuration.post(ConfigurationRequested(reply))
        return encode_document(_answer(context, reply))

    def PushConfiguration(
        self,
        request: peer_pb2.ConfigurationDocument,
        context: grpc.ServicerContext,
    ) -> peer_pb2.Acknowledgement:
        """Take a configuration and answer with the version in force."""
        self._refuse_cut(context)
        reply: Mailbox[ConfigVersion] = Mailbox()
        document = decode_document(request)
        self._outboxes.configuration.post(ConfigurationPushed(document, reply))
        return peer_pb2.Acknowledgement(version=_answer(context, reply))

    def Exchange(
        self,
        request: peer_pb2.ExchangeAsk,
        context: grpc.ServicerContext,
    ) -> peer_pb2.ExchangeAnswer:
        """Take a router's exchange, on a controller only."""
        self._refuse_cut(context)
        desk = _offered(context, self._outboxes.exchange)
        ask = _decoded(context, decode_exchange_request, request)
        reply: Mailbox[ExchangeAnswer] = Mailbox()
        desk.post(ExchangeRequested(ask, reply))
        return encode_exchange_answer(_answer(context, reply))

    def Status(
        self,
        request: peer_pb2.StatusAsk,
        context: grpc.ServicerContext,
    ) -> peer_pb2.StatusAnswer:
        """Answer with what operators see of this process."""
        self._refuse_cut(context)
        reply: Mailbox[NodeStatus] = Mailbox()
        self._outboxes.status.post(StatusRequested(reply))
        return encode_status(_answer(context, reply))

    def SetCuts(
        self,
        request: peer_pb2.CutsAsk,
        context: grpc.ServicerContext,
    ) -> peer_pb2.Acknowledgement:
        """Replace the cuts, where the settings allow it."""
        if not self._may_cut:
            context.abort(
                grpc.StatusCode.PERMISSION_DENIED,
                'the settings allow no cuts',
            )
        self._blocked_links.replace(frozenset(request.nodes))
        return peer_pb2.Acknowledgement()

    def _refuse_cut(self, context: grpc.ServicerContext) -> None:
        for key, name in context.invocation_metadata():
            if key == NODE_KEY and name in self._blocked_links.names:
                context.abort(
                    grpc.StatusCode.UNAVAILABLE,
                    'the link is cut',
                )


def _offered(
    context: grpc.ServicerContext,
    desk: Outbox[ExchangeRequested] | None,
) -> Outbox[ExchangeRequested]:
    """Return the exchange desk; abort the call on a router."""
    if desk is None:
        context.abort(grpc.StatusCode.UNIMPLEMENTED, 'not a controller')
    return desk  # type: ignore[return-value]


def _answer(
    context: grpc.ServicerContext,
    reply: Mailbox[MessageT],
) -> MessageT:
    """Wait for the task's answer; abort the call without one."""
    answer = reply.take(ANSWER_TIMEOUT_S)
    if answer is None:
        context.abort(grpc.StatusCode.UNAVAILABLE, 'no answer in time')
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

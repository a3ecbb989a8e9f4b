"""Calls to peers over gRPC."""

from collections.abc import Callable
from typing import Any, TypeVar

import grpc
from opentelemetry.trace import SpanKind
from returns.result import Failure, Result, Success

from ..model.ids import Address, ConfigVersion, NodeName
from ..model.peers import ExchangeAnswer, ExchangeRequest
from ..tasks.links import LinkError
from ..tasks.messages import ConfigurationDocument, Gossip, NodeStatus
from ..tasks.spans import start_span, trace_parent
from . import peer_pb2
from .blocked_links import BlockedLinks
from .metadata import NODE_KEY, TRACE_KEY
from .peer_channels import PeerChannels
from .peer_codec import (
    decode_exchange_answer,
    decode_status,
    encode_exchange_request,
)
from .report_codec import (
    decode_document,
    decode_gossip,
    encode_document,
    encode_gossip_request,
)

AnswerT = TypeVar('AnswerT')


class GrpcLinks:
    """Links to peers over gRPC; owned by one task.

    Parameters
    ----------
    node
        Name of this node, sent with each call.
    timeout_s
        Deadline of each call, in seconds.
    blocked_links
        Peers to which calls fail at once.
    """

    def __init__(
        self,
        node: NodeName,
        timeout_s: float,
        blocked_links: BlockedLinks | None = None,
    ) -> None:
        """Start without channels."""
        self._node = node
        self._timeout_s = timeout_s
        self._blocked_links = blocked_links or BlockedLinks()
        self._channels = PeerChannels()
        self._names: dict[Address, NodeName] = {}

    def gossip(
        self,
        address: Address,
        gossip: Gossip,
    ) -> Result[Gossip, LinkError]:
        """Tell a peer what this process knows and learn what it knows."""
        answer = self._call(
            address, 'Gossip', encode_gossip_request(gossip), decode_gossip
        )
        return answer.bind(
            lambda heard: self._checked(address, heard.sender.node, heard),
        )

    def fetch(
        self,
        address: Address,
        at_least: ConfigVersion,
    ) -> Result[ConfigurationDocument, LinkError]:
        """Ask a peer for its configuration."""
        ask = peer_pb2.ConfigurationAsk(asker=self._node, at_least=at_least)
        with start_span('configuration fetch', SpanKind.CLIENT):
            answer = self._call(
                address, 'FetchConfiguration', ask, decode_document
            )
        return answer.bind(
            lambda heard: self._checked(address, heard.sender, heard),
        )

    def push(
        self,
        address: Address,
        document: ConfigurationDocument,
    ) -> Result[ConfigVersion, LinkError]:
        """Push a configuration; the answer is the peer's version."""
        with start_span('configuration push', SpanKind.CLIENT):
            return self._call(
                address,
                'PushConfiguration',
                encode_document(document),
                _decode_version,
            )

    def exchange(
        self,
        address: Address,
        ask: ExchangeRequest,
    ) -> Result[ExchangeAnswer, LinkError]:
        """Exchange demand for views and grants with a controller."""
        answer = self._call(
            address,
            'Exchange',
            encode_exchange_request(ask),
            decode_exchange_answer,
        )
        return answer.bind(
            lambda heard: self._checked(address, heard.sender.node, heard),
        )

    def status(self, address: Address) -> Result[NodeStatus, LinkError]:
        """Ask a peer for its status."""
        ask = peer_pb2.StatusAsk(asker=self._node)
        answer = self._call(address, 'Status', ask, decode_status)
        return answer.bind(
            lambda heard: self._checked(address, heard.sender.node, heard),
        )

    def block_links(
        self,
        address: Address,
        nodes: tuple[str, ...],
    ) -> Result[None, LinkError]:
        """Cut a peer's links to the named nodes; tests only."""
        ask = peer_pb2.CutsAsk(nodes=nodes)
        return self._call(address, 'SetCuts', ask, _decode_nothing)

    def close(self) -> None:
        """Close all channels."""
        self._channels.close()

    def _call(
        self,
        address: Address,
        method: str,
        ask: object,
        decode: Callable[[Any], AnswerT],
    ) -> Result[AnswerT, LinkError]:
        if self._is_cut(address):
            return Failure(LinkError(address, 'the link is cut'))
        call = getattr(self._channels.stub(address), method)
        try:
            answer = call(
                ask,
                timeout=self._timeout_s,
                metadata=self._metadata(),
                wait_for_ready=False,
            )
        except grpc.RpcError as exc:
            return Failure(self._failed(address, exc))
        try:
            return Success(decode(answer))
        except ValueError as malformed:
            return Failure(LinkError(address, f'bad answer: {malformed}'))

    def _failed(self, address: Address, exc: grpc.RpcError) -> LinkError:
        # A connection that missed a deadline may be dead without a sign of
        # it, as after a cable is pulled; the next call opens another one.
        if exc.code() is grpc.StatusCode.DEADLINE_EXCEEDED:
            self._channels.drop(address)
        return LinkError(address, f'{exc.code().name}: {exc.details()}')

    def _metadata(self) -> tuple[tuple[str, str], ...]:
        own = (NODE_KEY, self._node)
        trace = trace_parent()
        return (own, (TRACE_KEY, trace)) if trace else (own,)

    def _is_cut(self, address: Address) -> bool:
        blocked_links = self._blocked_links.names
        return (
            address in blocked_links
            or self._names.get(address, '') in blocked_links
        )

    def _checked(
        self,
        address: Address,
        node: NodeName,
        heard: AnswerT,
    ) -> Result[AnswerT, LinkError]:
        """Learn who answers at an address and drop what a cut peer says."""
        self._names[address] = node
        if self._is_cut(address):
            return Failure(LinkError(address, 'the link is cut'))
        return Success(heard)


def _decode_version(message: peer_pb2.Acknowledgement) -> ConfigVersion:
    return ConfigVersion(message.version)


def _decode_nothing(message: peer_pb2.Acknowledgement) -> None:
    """Take an answer that says no more than that it came."""

"""gRPC client for calls to peers."""

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
    """Calls peers by their addresses; owned by one task.

    Parameters
    ----------
    node
        Name of this node, sent as metadata of each call.
    timeout_s
        Deadline of each call, in seconds.
    blocked_links
        Peers to which calls fail at once; ``None`` for none.

    """

    def __init__(
        self,
        node: NodeName,
        timeout_s: float,
        blocked_links: BlockedLinks | None = None,
    ) -> None:
        """Start without channels; calls open them."""
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
        """Exchange knowledge of the membership with a peer.

        Parameters
        ----------
        address
            Address of the peer.
        gossip
            What this process knows of itself and of others.

        Returns
        -------
        Result
            What the peer knows, or the error.

        """
        answer = self._call(
            address, 'Gossip', encode_gossip_request(gossip), decode_gossip
        )
        return answer.bind(
            lambda received: self._unless_blocked(
                address, received.sender.node, received
            ),
        )

    def fetch(
        self,
        address: Address,
        at_least: ConfigVersion,
    ) -> Result[ConfigurationDocument, LinkError]:
        """Fetch a peer's configuration.

        Parameters
        ----------
        address
            Address of the peer.
        at_least
            Version that the peer is known to have.

        Returns
        -------
        Result
            The encoded configuration in force at the peer, or the error.

        """
        request = peer_pb2.ConfigurationAsk(asker=self._node, at_least=at_least)
        with start_span('configuration fetch', SpanKind.CLIENT):
            answer = self._call(
                address, 'FetchConfiguration', request, decode_document
            )
        return answer.bind(
            lambda received: self._unless_blocked(
                address, received.sender, received
            ),
        )

    def push(
        self,
        address: Address,
        document: ConfigurationDocument,
    ) -> Result[ConfigVersion, LinkError]:
        """Push a configuration.

        Parameters
        ----------
        address
            Address of the peer.
        document
            Encoded configuration with its version.

        Returns
        -------
        Result
            Version in force at the peer afterwards, or the error.

        """
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
        """Send a router's demand to a controller.

        Parameters
        ----------
        address
            Address of the controller.
        ask
            The router's demand, its use of replicas and its suspects.

        Returns
        -------
        Result
            Views of the controller's replicas and grants of their capacity,
            or the error.

        """
        answer = self._call(
            address,
            'Exchange',
            encode_exchange_request(ask),
            decode_exchange_answer,
        )
        return answer.bind(
            lambda received: self._unless_blocked(
                address, received.sender.node, received
            ),
        )

    def status(self, address: Address) -> Result[NodeStatus, LinkError]:
        """Request the status of a peer, as operators see it."""
        request = peer_pb2.StatusAsk(asker=self._node)
        answer = self._call(address, 'Status', request, decode_status)
        return answer.bind(
            lambda received: self._unless_blocked(
                address, received.sender.node, received
            ),
        )

    def block_links(
        self,
        address: Address,
        nodes: tuple[str, ...],
    ) -> Result[None, LinkError]:
        """Block a peer's links to the named nodes; for tests only.

        Parameters
        ----------
        address
            Address of the peer.
        nodes
            Node names or addresses; they replace those set before.

        """
        request = peer_pb2.CutsAsk(nodes=nodes)
        return self._call(address, 'SetCuts', request, _ignore_acknowledgement)

    def close(self) -> None:
        """Close all channels; a later call opens new ones."""
        self._channels.close()

    def _call(
        self,
        address: Address,
        method: str,
        request: object,
        decode: Callable[[Any], AnswerT],
    ) -> Result[AnswerT, LinkError]:
        if self._is_blocked(address):
            return Failure(LinkError(address, 'link is blocked here'))
        call = getattr(self._channels.stub(address), method)
        try:
            answer = call(
                request,
                timeout=self._timeout_s,
                metadata=self._metadata(),
                wait_for_ready=False,
            )
        except grpc.RpcError as exc:
            return Failure(self._record_failure(address, exc))
        try:
            return Success(decode(answer))
        except ValueError as malformed:
            return Failure(LinkError(address, f'malformed answer: {malformed}'))

    def _record_failure(
        self, address: Address, exc: grpc.RpcError
    ) -> LinkError:
        # After a missed deadline the connection may be dead without a sign of
        # it, as when a cable is pulled; the next call opens another one.
        if exc.code() is grpc.StatusCode.DEADLINE_EXCEEDED:
            self._channels.drop(address)
        return LinkError(address, f'{exc.code().name}: {exc.details()}')

    def _metadata(self) -> tuple[tuple[str, str], ...]:
        own = (NODE_KEY, self._node)
        trace = trace_parent()
        return (own, (TRACE_KEY, trace)) if trace else (own,)

    def _is_blocked(self, address: Address) -> bool:
        blocked = self._blocked_links.names
        return address in blocked or self._names.get(address, '') in blocked

    def _unless_blocked(
        self,
        address: Address,
        node: NodeName,
        received: AnswerT,
    ) -> Result[AnswerT, LinkError]:
        """Record the node at an address and drop a blocked peer's answer."""
        self._names[address] = node
        if self._is_blocked(address):
            return Failure(
                LinkError(address, f'link to {node} is blocked here')
            )
        return Success(received)


def _decode_version(message: peer_pb2.Acknowledgement) -> ConfigVersion:
    return ConfigVersion(message.version)


def _ignore_acknowledgement(message: peer_pb2.Acknowledgement) -> None:
    """Discard an acknowledgement, which carries no data."""

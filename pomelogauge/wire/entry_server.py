"""The gRPC interface of an entry instance towards the others."""

from concurrent.futures import ThreadPoolExecutor

import grpc

from ..entry.messages import (
    DeltaServerMessage,
    InstanceMembershipMessage,
    ReportReceived,
    WatchRequested,
)
from ..entry.owner_link import MembershipSnapshot
from ..entry.table_deltas import WATCH_HOLD_S, TableDeltas
from ..model.errors import UserError
from ..model.ids import Address
from ..tasks.mailbox import Mailbox, Outbox
from . import entry_peer_pb2
from .entry_codec import (
    decode_known_versions,
    decode_report,
    encode_deltas,
    encode_membership_snapshot,
)
from .entry_peer_pb2_grpc import (
    EntryPeerServicer,
    add_EntryPeerServicer_to_server,
)

#: Threads that serve reports and questions; started as they are needed. Each
#: waits for the register or the relay only.
POOL_THREADS = 512
#: Seconds for which a report waits for the register.
ANSWER_S = 0.3


class EntryServerError(UserError):
    """The address can't be listened on."""


class _Servicer(EntryPeerServicer):
    def __init__(
        self,
        register: Outbox[InstanceMembershipMessage],
        relay: Outbox[DeltaServerMessage],
    ) -> None:
        self._register = register
        self._relay = relay

    def Report(  # noqa: N802 - name of the generated base
        self,
        request: entry_peer_pb2.EntryReport,
        context: grpc.ServicerContext,
    ) -> entry_peer_pb2.EntryRoll:
        """Hand a report to the register and answer with its roll."""
        replies: Mailbox[MembershipSnapshot | None] = Mailbox()
        self._register.post(ReportReceived(decode_report(request), replies))
        roll = replies.take(ANSWER_S)
        if roll is not None:
            return encode_membership_snapshot(roll)
        context.abort(grpc.StatusCode.FAILED_PRECONDITION, 'is not the owner')
        return entry_peer_pb2.EntryRoll()

    def Follow(  # noqa: N802 - name of the generated base
        self,
        request: entry_peer_pb2.FollowQuestion,
        context: grpc.ServicerContext,
    ) -> entry_peer_pb2.FollowAnswer:
        """Hand a question to the relay and answer with its news."""
        replies: Mailbox[TableDeltas | None] = Mailbox()
        self._relay.post(
            WatchRequested(decode_known_versions(request), replies)
        )
        news = replies.take(WATCH_HOLD_S + ANSWER_S)
        if news is not None:
            # Bytes between data centres are dear; rows repeat themselves.
            context.set_compression(grpc.Compression.Gzip)
            return encode_deltas(news)
        context.abort(grpc.StatusCode.FAILED_PRECONDITION, 'has no news')
        return entry_peer_pb2.FollowAnswer()


class EntryServer:
    """Serves reports and questions.

    Parameters
    ----------
    address
        ``host:port`` to listen on.
    register
        The task that keeps the roll.
    relay
        The task that tells of the followed tables.

    """

    def __init__(
        self,
        address: Address,
        register: Outbox[InstanceMembershipMessage],
        relay: Outbox[DeltaServerMessage],
    ) -> None:
        """Bind the address.

        Raises
        ------
        EntryServerError
            It can't be listened on.

        """
        self._server = grpc.server(
            ThreadPoolExecutor(POOL_THREADS, thread_name_prefix='report'),
            options=(('grpc.so_reuseport', 0),),
        )
        # The generated function has no types.
        add_EntryPeerServicer_to_server(  # type: ignore[no-untyped-call]
            _Servicer(register, relay), self._server
        )
        try:
            self._server.add_insecure_port(address)
        except RuntimeError as exc:
            raise EntryServerError(f'{address}: {exc}') from exc

    def start(self) -> None:
        """Serve from now on."""
        self._server.start()

    def stop(self, timeout_s: float | None = None) -> None:
        """Refuse further reports."""
        self._server.stop(0)

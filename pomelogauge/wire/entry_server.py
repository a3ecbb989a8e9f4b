"""gRPC server for the reports and table watches of entry instances."""

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

#: Maximum number of threads that serve calls; they start on demand. A held
#: watch occupies one thread, and a thread waits only for a task's answer.
POOL_THREADS = 512
#: Seconds for which a call waits for the answer of a task.
ANSWER_TIMEOUT_S = 0.3


class EntryServerError(UserError):
    """The server can't listen on its address."""


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
        """Record a report and answer with the membership snapshot."""
        replies: Mailbox[MembershipSnapshot | None] = Mailbox()
        self._register.post(ReportReceived(decode_report(request), replies))
        snapshot = replies.take(ANSWER_TIMEOUT_S)
        if snapshot is not None:
            return encode_membership_snapshot(snapshot)
        context.abort(
            grpc.StatusCode.FAILED_PRECONDITION,
            'not the owner, or membership task did not answer in time',
        )
        return entry_peer_pb2.EntryRoll()

    def Follow(  # noqa: N802 - name of the generated base
        self,
        request: entry_peer_pb2.FollowQuestion,
        context: grpc.ServicerContext,
    ) -> entry_peer_pb2.FollowAnswer:
        """Hold a watch until a table changes and answer with the deltas."""
        replies: Mailbox[TableDeltas | None] = Mailbox()
        self._relay.post(
            WatchRequested(decode_known_versions(request), replies)
        )
        deltas = replies.take(WATCH_HOLD_S + ANSWER_TIMEOUT_S)
        if deltas is not None:
            return encode_deltas(deltas, is_packed=request.takes_packed)
        context.abort(
            grpc.StatusCode.FAILED_PRECONDITION,
            'no current tables, or delta task did not answer in time',
        )
        return entry_peer_pb2.FollowAnswer()


class EntryServer:
    """Serves the calls of other entry instances.

    Every instance runs it. Reports are answered while the instance is the
    owner, watches while its copy of the tables is current.

    Parameters
    ----------
    address
        ``host:port`` to listen on.
    register
        Task that answers reports with the membership snapshot.
    relay
        Task that answers watches with the deltas of the tables.

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
            The server can't listen on the address.

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
        """Start serving calls."""
        self._server.start()

    def stop(self, timeout_s: float | None = None) -> None:
        """Refuse new calls and cancel those in progress.

        Parameters
        ----------
        timeout_s
            Ignored: calls get no time to finish.

        """
        self._server.stop(0)

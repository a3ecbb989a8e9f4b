"""The gRPC interface of an entry instance towards the others."""

from concurrent.futures import ThreadPoolExecutor

import grpc

from ..entry.messages import RegisterMessage, ReportHeard
from ..entry.roll import Roll
from ..model.errors import UserError
from ..model.ids import Address
from ..tasks.mailbox import Mailbox, Outbox
from . import entry_peer_pb2
from .entry_codec import decode_report, encode_roll
from .entry_peer_pb2_grpc import (
    EntryPeerServicer,
    add_EntryPeerServicer_to_server,
)

#: Threads that serve reports; each waits for the register only.
POOL_THREADS = 4
#: Seconds for which a report waits for the register.
ANSWER_S = 0.3


class EntryServerError(UserError):
    """The address can't be listened on."""


class _Servicer(EntryPeerServicer):
    def __init__(self, register: Outbox[RegisterMessage]) -> None:
        self._register = register

    def Report(  # noqa: N802 - name of the generated base
        self,
        request: entry_peer_pb2.EntryReport,
        context: grpc.ServicerContext,
    ) -> entry_peer_pb2.EntryRoll:
        """Hand a report to the register and answer with its roll."""
        replies: Mailbox[Roll | None] = Mailbox()
        self._register.post(ReportHeard(decode_report(request), replies))
        roll = replies.take(ANSWER_S)
        if roll is not None:
            return encode_roll(roll)
        context.abort(grpc.StatusCode.FAILED_PRECONDITION, 'is not the owner')
        return entry_peer_pb2.EntryRoll()


class EntryServer:
    """Serves reports.

    Parameters
    ----------
    address
        ``host:port`` to listen on.
    register
        The task that keeps the roll.

    """

    def __init__(
        self,
        address: Address,
        register: Outbox[RegisterMessage],
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
            _Servicer(register), self._server
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

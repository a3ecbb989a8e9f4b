"""The gRPC interface of a process towards its peers."""

from concurrent.futures import ThreadPoolExecutor

import grpc

from .blocked_links import BlockedLinks
from .peer_channels import MAX_MESSAGE_BYTES
from .peer_outboxes import PeerOutboxes
from .peer_pb2_grpc import add_PeerServicer_to_server
from .peer_servicer import PeerServicer
from .span_interceptor import SpanInterceptor

#: Threads that serve calls; none waits longer than the servicer's deadline.
POOL_THREADS = 16
#: Calls at once; more are refused rather than queued behind slow ones.
MAX_CALLS = 64

_OPTIONS = (
    ('grpc.so_reuseport', 0),
    ('grpc.max_receive_message_length', MAX_MESSAGE_BYTES),
    ('grpc.max_send_message_length', MAX_MESSAGE_BYTES),
)


class PeerServer:
    """Serves peers until it is stopped.

    Parameters
    ----------
    may_block_links
        Calls may set the cuts; tests only.

    """

    def __init__(self, *, may_block_links: bool = False) -> None:
        """Prepare the server without a port."""
        self._pool = ThreadPoolExecutor(POOL_THREADS, thread_name_prefix='peer')
        self._may_cut = may_block_links
        self._server = grpc.server(
            self._pool,
            interceptors=(SpanInterceptor(),),
            options=_OPTIONS,
            maximum_concurrent_rpcs=MAX_CALLS,
        )

    def bind(self, host: str, port: int) -> int:
        """Bind a port without serving yet.

        Parameters
        ----------
        host
            Address to bind.
        port
            Port to bind; zero for any.

        Returns
        -------
        int
            The bound port.

        Raises
        ------
        RuntimeError
            The port can't be bound.

        """
        bound: int = self._server.add_insecure_port(f'{host}:{port}')
        return bound

    def serve(
        self, outboxes: PeerOutboxes, blocked_links: BlockedLinks
    ) -> None:
        """Serve from now on.

        Parameters
        ----------
        outboxes
            Where asks go.
        blocked_links
            Peers whose calls are refused.

        """
        servicer = PeerServicer(outboxes, blocked_links, self._may_cut)
        # The generated function has no types.
        add_PeerServicer_to_server(  # type: ignore[no-untyped-call]
            servicer, self._server
        )
        self._server.start()

    def stop(self, grace_s: float) -> None:
        """Refuse new calls and wait for those in progress."""
        self._server.stop(grace_s).wait()
        self._pool.shutdown(wait=False)

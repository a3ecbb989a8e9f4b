"""The HTTP server for callers."""

import logging
import threading
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from cheroot import wsgi

from .cheroot_connections import DeadlineConnection, SocketGateway
from .tls import ReloadingAdapter, TlsFiles
from .wsgi_types import StartResponse, WsgiApp

_log = logging.getLogger(__name__)


@dataclass(frozen=True)
class ServerSettings:
    """Settings of the HTTP server for callers.

    Parameters
    ----------
    threads
        Worker threads; each serves one request at a time.
    backlog
        Connections that the kernel queues until they are accepted.
    queued
        Readable connections that wait for a thread; the server answers those
        beyond with status 503.
    queue_timeout_s
        Seconds for which the accepting thread waits for space in a full
        queue.
    idle_timeout_s
        Seconds without a byte after which a connection is closed.
    header_limit_s, body_limit_s
        Seconds in total for the headers of a request, and for its body.
    max_header_bytes, max_body_bytes
        Largest headers and body that the server reads, in bytes; the
        application may allow less.
    idle_connections
        Connections kept open between two requests.
    stop_timeout_s
        Seconds for which a graceful stop waits for running requests.
    tls
        Certificate and key for HTTPS; ``None`` for plain HTTP.

    """

    threads: int = 256
    backlog: int = 128
    queued: int = 512
    queue_timeout_s: int = 1
    idle_timeout_s: int = 10
    header_limit_s: float = 10
    body_limit_s: float = 30
    max_header_bytes: int = 32_768
    max_body_bytes: int = 8_388_608
    idle_connections: int = 2048
    stop_timeout_s: int = 120
    tls: TlsFiles | None = None


class CallersServer:
    """Serves a WSGI application to callers over HTTP or HTTPS.

    Parameters
    ----------
    cfg
        Sizes, limits and certificate files.

    """

    def __init__(self, cfg: ServerSettings) -> None:
        """Take the settings; ``bind`` opens the socket."""
        self._cfg = cfg
        self._server: _CallersHttpServer | None = None
        self._thread: threading.Thread | None = None

    def bind(self, host: str, port: int) -> int:
        """Bind and listen; connections queue until ``serve`` is called.

        Parameters
        ----------
        host, port
            Address to listen on; port zero takes any free port.

        Returns
        -------
        int
            The bound port.

        Raises
        ------
        OSError
            The address can't be bound.

        """
        self._server = _CallersHttpServer(
            (host, port),
            _not_serving,
            numthreads=self._cfg.threads,
            request_queue_size=self._cfg.backlog,
            accepted_queue_size=self._cfg.queued,
            accepted_queue_timeout=self._cfg.queue_timeout_s,
            timeout=self._cfg.idle_timeout_s,
            shutdown_timeout=self._cfg.stop_timeout_s,
        )
        self._limit(self._server)
        if self._cfg.tls:
            self._server.ssl_adapter = ReloadingAdapter(self._cfg.tls)
        self._server.prepare()
        bound: int = self._server.bind_addr[1]
        return bound

    def _limit(self, server: '_CallersHttpServer') -> None:
        server.header_limit_s = self._cfg.header_limit_s
        server.body_limit_s = self._cfg.body_limit_s
        server.max_request_header_size = self._cfg.max_header_bytes
        server.max_request_body_size = self._cfg.max_body_bytes
        server.keep_alive_conn_limit = self._cfg.idle_connections

    def serve(self, app: WsgiApp) -> None:
        """Start the accepting thread and the worker threads.

        Parameters
        ----------
        app
            Application that answers the requests.

        Raises
        ------
        RuntimeError
            ``bind`` was not called.

        """
        server = self._server
        if server is None:
            raise RuntimeError('bind() must be called before serve()')
        server.wsgi_app = app
        self._thread = threading.Thread(
            target=server.serve, name='callers', daemon=True
        )
        self._thread.start()

    def stop(self) -> None:
        """Accept no new connection and wait for running requests."""
        if self._server:
            self._server.stop()
        if self._thread:
            self._thread.join()


def _not_serving(
    environ: Mapping[str, object],
    start_response: StartResponse,
) -> Iterable[bytes]:
    """Answer with status 503 until ``serve`` sets the application."""
    start_response('503 Service Unavailable', [('Content-Length', '0')])
    return []


class _CallersHttpServer(wsgi.Server):
    """Cheroot's server with ``DeadlineConnection`` and the project's log."""

    ConnectionClass = DeadlineConnection
    header_limit_s: float
    body_limit_s: float

    def __init__(self, *args: Any, **more: Any) -> None:
        """Install ``SocketGateway`` in place of the default gateway."""
        super().__init__(*args, **more)
        self.gateway = SocketGateway

    def process_conn(self, conn: DeadlineConnection) -> None:
        """Queue a connection for a thread only once it is readable.

        Cheroot gives a new connection to a thread at once, which then waits
        for the first byte: callers that connect and send nothing would take
        all threads.
        """
        if conn.last_used is None:
            self._connections.put(conn)  # type: ignore[attr-defined]
        else:
            super().process_conn(conn)

    def error_log(
        self,
        msg: str = '',
        level: int = logging.INFO,
        traceback: bool = False,
    ) -> None:
        """Write the library's messages to the project's log."""
        _log.log(level, 'callers: %s', msg, exc_info=traceback)

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
    """Settings of the callers' server.

    Parameters
    ----------
    threads
        Callers' tasks; each serves one request at a time.
    backlog
        Connections that wait to be accepted.
    queued
        Connections that wait for a thread; those beyond get status 503.
    queue_timeout_s
        Seconds for which a full queue holds up the others.
    idle_timeout_s
        Seconds for which a connection may be silent.
    header_limit_s, body_limit_s
        Seconds for all headers of a request, and for its body.
    max_header_bytes, max_body_bytes
        Bounds of what is read at all; the application may allow less.
    idle_connections
        Connections kept between two requests.
    stop_timeout_s
        Seconds for which a graceful stop waits for what runs.
    tls
        Certificate and key for HTTPS; ``None`` for HTTP.

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
    """Listens for callers.

    Parameters
    ----------
    cfg
        Settings.

    """

    def __init__(self, cfg: ServerSettings) -> None:
        """Open no socket yet."""
        self._cfg = cfg
        self._server: _CallersHttpServer | None = None
        self._thread: threading.Thread | None = None

    def bind(self, host: str, port: int) -> int:
        """Bind a port without serving yet.

        Parameters
        ----------
        host, port
            Where to listen; port zero takes a free one.

        Returns
        -------
        int
            Port bound.

        Raises
        ------
        OSError
            The port can't be bound.

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
        """Serve in threads of the server.

        Parameters
        ----------
        app
            Answers the requests.

        """
        server = self._server
        if server is None:
            raise RuntimeError('the server is not bound')
        server.wsgi_app = app
        self._thread = threading.Thread(
            target=server.serve, name='callers', daemon=True
        )
        self._thread.start()

    def stop(self) -> None:
        """Accept nothing new and wait for what runs."""
        if self._server:
            self._server.stop()
        if self._thread:
            self._thread.join()


def _not_serving(
    environ: Mapping[str, object],
    start_response: StartResponse,
) -> Iterable[bytes]:
    """Stand in for the application until it is wired."""
    start_response('503 Service Unavailable', [('Content-Length', '0')])
    return []


class _CallersHttpServer(wsgi.Server):
    """The library's server with the project's connections and logs."""

    ConnectionClass = DeadlineConnection
    header_limit_s: float
    body_limit_s: float

    def __init__(self, *args: Any, **more: Any) -> None:
        """Hand the callers' sockets to the application."""
        super().__init__(*args, **more)
        self.gateway = SocketGateway

    def process_conn(self, conn: DeadlineConnection) -> None:
        """Give a connection to a thread once it has sent something.

        A thread that waited for the first byte would let callers who only
        connect take all threads.
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
        """Log what the library has to say."""
        _log.log(level, 'callers: %s', msg, exc_info=traceback)

"""The HTTP server for callers."""

import logging
import threading
from dataclasses import dataclass

from cheroot import wsgi

from .callers_http import CallersApp

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
    stop_timeout_s
        Seconds for which a graceful stop waits for what runs.

    """

    threads: int = 256
    backlog: int = 128
    queued: int = 512
    queue_timeout_s: int = 1
    idle_timeout_s: int = 10
    stop_timeout_s: int = 120


class CallersServer:
    """Listens for callers.

    Parameters
    ----------
    cfg
        Settings.
    app
        Answers the requests.

    """

    def __init__(self, cfg: ServerSettings, app: CallersApp) -> None:
        """Open no socket yet."""
        self._cfg = cfg
        self._app = app
        self._server: wsgi.Server | None = None
        self._thread: threading.Thread | None = None

    def start(self, host: str, port: int) -> int:
        """Listen and serve in threads of the server.

        Parameters
        ----------
        host, port
            Where to listen; port zero takes a free one.

        Returns
        -------
        int
            Port bound.

        """
        server = _LoggedServer(
            (host, port),
            self._app,
            numthreads=self._cfg.threads,
            request_queue_size=self._cfg.backlog,
            accepted_queue_size=self._cfg.queued,
            accepted_queue_timeout=self._cfg.queue_timeout_s,
            timeout=self._cfg.idle_timeout_s,
            shutdown_timeout=self._cfg.stop_timeout_s,
        )
        server.prepare()
        self._server = server
        self._thread = threading.Thread(
            target=server.serve, name='callers', daemon=True
        )
        self._thread.start()
        bound: int = server.bind_addr[1]
        return bound

    def stop(self) -> None:
        """Accept nothing new and wait for what runs."""
        if self._server:
            self._server.stop()
        if self._thread:
            self._thread.join()


class _LoggedServer(wsgi.Server):
    """The library's server, which writes to the project's logs."""

    def error_log(
        self,
        msg: str = '',
        level: int = logging.INFO,
        traceback: bool = False,
    ) -> None:
        """Log what the library has to say."""
        _log.log(level, 'callers: %s', msg, exc_info=traceback)

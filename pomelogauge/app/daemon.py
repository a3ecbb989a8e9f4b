"""A daemon: servers that are bound first, tasks that run behind them."""

import json
import logging
import os
import signal
import sys
import threading
from collections.abc import Callable
from dataclasses import asdict, dataclass

from ..model.errors import UserError
from ..model.ids import Address
from ..model.topology import InstanceRole
from ..tasks.mailbox import Mailbox
from ..tasks.shutdown import ProcessEnd
from ..wire.blocked_links import BlockedLinks
from ..wire.callers_server import CallersServer
from ..wire.peer_outboxes import PeerOutboxes
from ..wire.peer_server import PeerServer
from ..wire.wsgi_types import WsgiApp
from .end_wait import await_end
from .identity import Identity, draw_incarnation
from .settings import CommonSettings
from .task_set import TaskSet

#: Seconds for which peers' calls in progress may go on at the end.
PEER_GRACE_S = 1.0


class BindError(UserError):
    """A port can't be bound."""


#: Seconds that the servers may take to end, whatever runs.
SERVERS_LIMIT_S = 5.0
#: Exit code of a process that cut requests at its limit.
FORCED_EXIT_CODE = 1

_log = logging.getLogger(__name__)


@dataclass(frozen=True)
class ReadyLine:
    """The line that a process prints once it listens."""

    role: InstanceRole
    name: str
    address: Address
    peer_address: Address
    ready: bool = True


class Servers:
    """The HTTP and gRPC servers of a process.

    Parameters
    ----------
    cfg
        Settings.
    role
        Router or controller.
    http
        Server for callers or monitoring.
    http_port
        Port of that server; zero for any.

    """

    def __init__(
        self,
        cfg: CommonSettings,
        role: InstanceRole,
        http: CallersServer,
        http_port: int,
    ) -> None:
        """Bind nothing yet."""
        self._cfg = cfg
        self._role = role
        self._http = http
        self._http_port = http_port
        self._peers = PeerServer(may_block_links=cfg.allow_cuts)

    def bind(self) -> Identity:
        """Bind both ports and return who the process is.

        Raises
        ------
        BindError
            A port can't be bound.

        """
        try:
            http_port = self._http.bind(self._cfg.listen, self._http_port)
            peer_port = self._peers.bind(self._cfg.listen, self._cfg.peer_port)
        except (OSError, RuntimeError) as exc:
            raise BindError(f'{self._cfg.listen}: {exc}') from exc
        return Identity(
            self._role,
            self._cfg,
            draw_incarnation(),
            self._address(http_port),
            self._address(peer_port),
        )

    def serve(
        self, app: WsgiApp, outboxes: PeerOutboxes, blocked_links: BlockedLinks
    ) -> None:
        """Serve callers and peers from now on."""
        self._peers.serve(outboxes, blocked_links)
        self._http.serve(app)

    def stop(self) -> None:
        """Finish what runs and close both servers."""
        self._http.stop()
        self._peers.stop(PEER_GRACE_S)

    def _address(self, port: int) -> Address:
        return Address(f'{self._cfg.advertised_host}:{port}')


@dataclass(frozen=True)
class Daemon:
    """A wired process.

    Parameters
    ----------
    identity
        Who it is.
    tasks
        Its tasks.
    servers
        Its servers, bound.
    serve
        Starts to serve.
    request_shutdown
        Called for every signal that asks the process to end.
    ended
        Gets a message once the process may end.

    """

    identity: Identity
    tasks: TaskSet
    servers: Servers
    serve: Callable[[], None]
    request_shutdown: Callable[[], None]
    ended: Mailbox[ProcessEnd]

    def run(self) -> None:
        """Serve until the process is asked to end and may end."""
        signal.signal(signal.SIGTERM, self._on_signal)
        signal.signal(signal.SIGINT, self._on_signal)
        self.tasks.start()
        self.serve()
        self._print_ready()
        end = await_end(self.ended)
        stopping = threading.Thread(target=self.servers.stop, daemon=True)
        stopping.start()
        stopping.join(SERVERS_LIMIT_S)
        self.tasks.stop()
        if end is ProcessEnd.CUT or stopping.is_alive():
            self._cut()

    def _cut(self) -> None:
        """End the process though a caller's task waits for a target.

        The HTTP library waits for such a task for ever, and so does the
        interpreter at its end.
        """
        _log.warning('daemon: the limit has passed, what still runs is cut')
        logging.shutdown()
        os._exit(FORCED_EXIT_CODE)

    def _on_signal(self, number: int, frame: object) -> None:
        self.request_shutdown()

    def _print_ready(self) -> None:
        line = ReadyLine(
            self.identity.role,
            self.identity.cfg.node,
            self.identity.address,
            self.identity.peer_address,
        )
        sys.stdout.write(f'{json.dumps(asdict(line))}\n')
        sys.stdout.flush()

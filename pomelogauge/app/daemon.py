"""Life cycle of a router or controller process."""

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
from .identity import Identity
from .incarnation import draw_incarnation
from .settings import CommonSettings
from .task_set import TaskSet

#: Seconds for which gRPC calls in progress may continue at shutdown.
PEER_GRACE_S = 1.0


class BindError(UserError):
    """A port can't be bound."""


#: Seconds that the servers may take to stop; after that the process exits
#: without them.
SERVERS_LIMIT_S = 5.0
#: Exit code of a process that exits while requests are still running.
FORCED_EXIT_CODE = 1

_log = logging.getLogger(__name__)


@dataclass(frozen=True)
class ReadyLine:
    """JSON line that a process prints to standard output once it listens."""

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
        Server for callers (router) or for monitoring (controller).
    http_port
        Port of that server; zero for any free one.

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
        """Bind both ports and return the identity of the process.

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
        """Let running requests finish, then close both servers."""
        self._http.stop()
        self._peers.stop(PEER_GRACE_S)

    def _address(self, port: int) -> Address:
        return Address(f'{self._cfg.advertised_host}:{port}')


@dataclass(frozen=True)
class Daemon:
    """A process whose tasks are wired but not started.

    Parameters
    ----------
    identity
        Name, incarnation and addresses of the process.
    tasks
        Started and stopped with the process.
    servers
        Already bound.
    serve
        Makes the servers accept requests.
    request_shutdown
        Called in the main thread for every SIGTERM and SIGINT.
    ended
        Receives a message once the process may exit.

    """

    identity: Identity
    tasks: TaskSet
    servers: Servers
    serve: Callable[[], None]
    request_shutdown: Callable[[], None]
    ended: Mailbox[ProcessEnd]

    def run(self) -> None:
        """Serve until shutdown is requested and complete."""
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
            self._abort()

    def _abort(self) -> None:
        """Exit although a caller's task still waits for a target.

        The HTTP library would wait for such a task without limit, and so
        would the interpreter at exit.
        """
        _log.warning(
            'daemon: shutdown limit reached, aborting running requests'
        )
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

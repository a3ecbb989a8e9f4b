"""Accepts connections and starts a task for each of them."""

import socket
import threading
from typing import Protocol

from ..model.errors import UserError
from ..model.ids import Address
from ..model.log_parts import Part
from ..tasks.log import part_logger

#: Connections that the kernel queues until they are accepted.
_BACKLOG = 512

_log = part_logger(Part.ENTRY)


class ConnectionTask(Protocol):
    """The task of one connection."""

    def start(self) -> None:
        """Start to serve in a thread of its own and return."""


class ConnectionTasks(Protocol):
    """Creates the task of a connection."""

    def __call__(self, sock: socket.socket) -> ConnectionTask:
        """Return a task, not started yet, that owns the socket from now on."""


class ListenError(UserError):
    """An address can't be listened on."""


class Listener:
    """Owns one listening socket.

    Parameters
    ----------
    address
        ``host:port`` to listen on.
    tasks
        Creates the task of each connection.

    """

    def __init__(self, address: Address, tasks: ConnectionTasks) -> None:
        """Bind the address and listen; accept nothing before the start.

        Raises
        ------
        ListenError
            The address can't be listened on.

        """
        self._tasks = tasks
        host, _, port = address.rpartition(':')
        try:
            self._sock = socket.create_server(
                (host, int(port)), backlog=_BACKLOG
            )
        except OSError as exc:
            raise ListenError(f'can not listen on {address}: {exc}') from exc

    def start(self) -> None:
        """Accept connections in a daemon thread."""
        threading.Thread(target=self._run, daemon=True).start()

    def stop(self, timeout_s: float | None = None) -> None:
        """Close the listening socket.

        Open connections go on; the thread ends.
        """
        self._sock.close()

    def _run(self) -> None:
        while True:
            try:
                sock, _ = self._sock.accept()
            except OSError as exc:
                _log.info(
                    'listening socket closed, no more connections: %s', exc
                )
                return
            self._tasks(sock).start()

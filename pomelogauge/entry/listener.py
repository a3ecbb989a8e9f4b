"""Accepts connections and starts a task for each."""

import socket
import threading
from typing import Protocol

from ..model.errors import UserError
from ..model.ids import Address
from ..model.log_parts import Part
from ..tasks.log import part_logger

#: Connections that wait to be accepted.
_BACKLOG = 512

_log = part_logger(Part.ENTRY)


class ConnectionTask(Protocol):
    """The task of one connection."""

    def start(self) -> None:
        """Serve in a thread of its own."""


class ConnectionTasks(Protocol):
    """Makes the task of a connection."""

    def __call__(self, sock: socket.socket) -> ConnectionTask:
        """Return the task that owns a socket from now on."""


class ListenError(UserError):
    """An address can't be listened on."""


class Listener:
    """Owns one listening socket.

    Parameters
    ----------
    address
        ``host:port`` to listen on.
    tasks
        Makes the task of each connection.

    """

    def __init__(self, address: Address, tasks: ConnectionTasks) -> None:
        """Listen.

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
            raise ListenError(f'{address}: {exc}') from exc

    def start(self) -> None:
        """Accept in a thread of its own."""
        threading.Thread(target=self._run, daemon=True).start()

    def stop(self, timeout_s: float | None = None) -> None:
        """Accept no more."""
        self._sock.close()

    def _run(self) -> None:
        while True:
            try:
                sock, _ = self._sock.accept()
            except OSError as exc:
                _log.info('no more connections: %s', exc)
                return
            self._tasks(sock).start()

"""The task that notices callers who close their connections.

It blocks in one call for all connections and for its messages. The kernel
reports a closed connection, also behind bytes that nobody has read yet.
"""

import os
import select
import threading
from dataclasses import dataclass

from .caller_link import CallerLeft
from .mailbox import Mailbox, Outbox

_LEFT = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR
_BYTES_OF_COUNT = 8


@dataclass(frozen=True)
class WatchCaller:
    """Asks to watch a connection, with a new reader if it is watched."""

    descriptor: int
    listener: Outbox[CallerLeft]


@dataclass(frozen=True)
class UnwatchCaller:
    """Asks to watch a connection no more, before it is closed."""

    descriptor: int


@dataclass(frozen=True)
class _Stop:
    """Asks the task to end."""


WatchMessage = WatchCaller | UnwatchCaller


class CallerWatch:
    """Watches the connections of all callers in one thread."""

    def __init__(self) -> None:
        """Prepare the thread."""
        self._mailbox: Mailbox[WatchMessage | _Stop] = Mailbox()
        self._wake = os.eventfd(0, os.EFD_NONBLOCK | os.EFD_CLOEXEC)
        self._epoll = select.epoll()
        self._epoll.register(self._wake, select.EPOLLIN)
        self._readers: dict[int, Outbox[CallerLeft]] = {}
        self._thread = threading.Thread(
            target=self._run,
            name='caller watch',
            daemon=True,
        )

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def post(self, message: WatchMessage) -> None:
        """Leave a message for the task."""
        self._mailbox.post(message)
        os.eventfd_write(self._wake, 1)

    def stop(self, timeout_s: float | None = None) -> None:
        """Ask the task to end and wait for it."""
        self._mailbox.post(_Stop())
        os.eventfd_write(self._wake, 1)
        self._thread.join(timeout_s)

    def _run(self) -> None:
        goes_on = True
        while goes_on:
            for descriptor, _ in self._epoll.poll():
                if descriptor == self._wake:
                    goes_on = self._take_messages()
                else:
                    self._tell(descriptor)
        self._epoll.close()

    def _take_messages(self) -> bool:
        os.read(self._wake, _BYTES_OF_COUNT)
        while message := self._mailbox.take(0):
            match message:
                case WatchCaller():
                    self._watch(message)
                case UnwatchCaller():
                    self._forget(message.descriptor)
                case _Stop():
                    return False
        return True

    def _watch(self, message: WatchCaller) -> None:
        self._forget(message.descriptor)
        try:
            # A connection that is closed already is reported at once.
            self._epoll.register(message.descriptor, _LEFT)
        except OSError:
            message.listener.post(CallerLeft())
        else:
            self._readers[message.descriptor] = message.listener

    def _tell(self, descriptor: int) -> None:
        reader = self._readers.get(descriptor)
        self._forget(descriptor)
        if reader:
            reader.post(CallerLeft())

    def _forget(self, descriptor: int) -> None:
        if self._readers.pop(descriptor, None) is None:
            return
        try:
            self._epoll.unregister(descriptor)
        except OSError:
            # The kernel forgets a connection by itself once it is closed.
            return

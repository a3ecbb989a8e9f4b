"""The task that detects callers who close their connections.

One ``epoll`` call waits for all connections and for messages. The kernel
reports a closed connection even while unread bytes are still buffered.
"""

import os
import select
import threading
from dataclasses import dataclass

from .caller_link import CallerLeft
from .mailbox import Mailbox, Outbox

_CLOSED_EVENTS = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR
_EVENTFD_BYTES = 8


@dataclass(frozen=True)
class WatchCaller:
    """Asks to watch a connection; replaces the listener of a watched one."""

    descriptor: int
    listener: Outbox[CallerLeft]


@dataclass(frozen=True)
class UnwatchCaller:
    """Asks to stop watching a connection, before it is closed."""

    descriptor: int


@dataclass(frozen=True)
class _Stop:
    """Asks the task to end."""


WatchMessage = WatchCaller | UnwatchCaller


class CallerWatch:
    """Watches the connections of all callers in one thread."""

    def __init__(self) -> None:
        """Create the thread and the event that wakes it for messages."""
        self._mailbox: Mailbox[WatchMessage | _Stop] = Mailbox()
        self._wake = os.eventfd(0, os.EFD_NONBLOCK | os.EFD_CLOEXEC)
        self._epoll = select.epoll()
        self._epoll.register(self._wake, select.EPOLLIN)
        self._listeners: dict[int, Outbox[CallerLeft]] = {}
        self._thread = threading.Thread(
            target=self._run,
            name='caller watch',
            daemon=True,
        )

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def post(self, message: WatchMessage) -> None:
        """Queue a message for the task and wake its thread."""
        self._mailbox.post(message)
        os.eventfd_write(self._wake, 1)

    def stop(self, timeout_s: float | None = None) -> None:
        """Ask the task to end and wait for its thread.

        Parameters
        ----------
        timeout_s
            Longest wait in seconds; ``None`` waits without limit.

        """
        self._mailbox.post(_Stop())
        os.eventfd_write(self._wake, 1)
        self._thread.join(timeout_s)

    def _run(self) -> None:
        is_running = True
        while is_running:
            for descriptor, _ in self._epoll.poll():
                if descriptor == self._wake:
                    is_running = self._handle_messages()
                else:
                    self._notify(descriptor)
        self._epoll.close()

    def _handle_messages(self) -> bool:
        os.read(self._wake, _EVENTFD_BYTES)
        while message := self._mailbox.take(0):
            match message:
                case WatchCaller():
                    self._watch(message)
                case UnwatchCaller():
                    self._unwatch(message.descriptor)
                case _Stop():
                    return False
        return True

    def _watch(self, message: WatchCaller) -> None:
        self._unwatch(message.descriptor)
        try:
            # For a connection that is already closed, epoll reports at once.
            self._epoll.register(message.descriptor, _CLOSED_EVENTS)
        except OSError:
            message.listener.post(CallerLeft())
        else:
            self._listeners[message.descriptor] = message.listener

    def _notify(self, descriptor: int) -> None:
        listener = self._listeners.get(descriptor)
        self._unwatch(descriptor)
        if listener:
            listener.post(CallerLeft())

    def _unwatch(self, descriptor: int) -> None:
        if self._listeners.pop(descriptor, None) is None:
            return
        try:
            self._epoll.unregister(descriptor)
        except OSError:
            # The kernel removes a closed connection from epoll by itself.
            return

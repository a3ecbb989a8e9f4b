"""A caller's connection, watched for its end."""

import select
import socket

from ..tasks.caller_link import CallerLeft
from ..tasks.caller_watch import UnwatchCaller, WatchCaller, WatchMessage
from ..tasks.mailbox import Outbox

_LEFT = select.POLLRDHUP | select.POLLHUP | select.POLLERR


class SocketLink:
    """Belongs to the task that serves the caller.

    Parameters
    ----------
    sock
        The caller's connection.
    watch
        Task that notices callers who leave.

    """

    def __init__(
        self,
        sock: socket.socket,
        watch: Outbox[WatchMessage],
    ) -> None:
        """Watch nothing yet."""
        self._descriptor = sock.fileno()
        self._watch = watch
        self._is_watched = False

    def watch(self, listener: Outbox[CallerLeft]) -> None:
        """Have this reader told, once, when the caller leaves."""
        self._is_watched = True
        self._watch.post(WatchCaller(self._descriptor, listener))

    def unwatch(self) -> None:
        """Tell nobody any more."""
        if self._is_watched:
            self._is_watched = False
            self._watch.post(UnwatchCaller(self._descriptor))

    def has_left(self) -> bool:
        """Return whether the caller has left."""
        poll = select.poll()
        poll.register(self._descriptor, _LEFT)
        return bool(poll.poll(0))

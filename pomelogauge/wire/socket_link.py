"""Detects that a caller has closed its connection."""

import select
import socket

from ..tasks.caller_link import CallerLeft
from ..tasks.caller_watch import UnwatchCaller, WatchCaller, WatchMessage
from ..tasks.mailbox import Outbox

_DISCONNECTED = select.POLLRDHUP | select.POLLHUP | select.POLLERR


class SocketLink:
    """Connection of one caller; used by the thread that serves the request.

    Parameters
    ----------
    sock
        Socket of the caller; stays open while the link is in use.
    watch
        Task that watches the connections of all callers.

    """

    def __init__(
        self,
        sock: socket.socket,
        watch: Outbox[WatchMessage],
    ) -> None:
        """Keep the descriptor; it is not watched yet."""
        self._descriptor = sock.fileno()
        self._watch = watch
        self._is_watched = False

    def watch(self, listener: Outbox[CallerLeft]) -> None:
        """Send ``CallerLeft`` to ``listener``, once, on a disconnection."""
        self._is_watched = True
        self._watch.post(WatchCaller(self._descriptor, listener))

    def unwatch(self) -> None:
        """Stop watching; has to be called before the socket is closed."""
        if self._is_watched:
            self._is_watched = False
            self._watch.post(UnwatchCaller(self._descriptor))

    def has_left(self) -> bool:
        """Return whether the caller has disconnected; never blocks."""
        poll = select.poll()
        poll.register(self._descriptor, _DISCONNECTED)
        return bool(poll.poll(0))

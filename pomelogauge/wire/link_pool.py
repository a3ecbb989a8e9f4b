"""Idle connections to targets, kept for their next requests."""

import threading

from ..model.ids import Address
from .target_link import TargetLink


class LinkPool:
    """Keeps connections whose last answer is complete.

    The task that takes a connection owns it until it gives it back.

    Parameters
    ----------
    size
        Connections that are kept; the one that was idle for longest is closed
        first.

    """

    def __init__(self, size: int) -> None:
        """Start without connections."""
        self._size = size
        self._lock = threading.Lock()
        self._idle: list[tuple[Address, TargetLink]] = []

    def take(self, address: Address) -> TargetLink | None:
        """Return a connection that can be used again, if there is one."""
        while True:
            link = self._pop(address)
            if link is None or link.start_next():
                return link
            link.close()

    def give(self, address: Address, link: TargetLink) -> None:
        """Keep a connection after a complete answer."""
        with self._lock:
            self._idle.append((address, link))
            surplus = self._idle[: -self._size]
            self._idle = self._idle[-self._size :]
        for _, oldest in surplus:
            oldest.close()

    def _pop(self, address: Address) -> TargetLink | None:
        """Remove the connection to an address that was used last."""
        with self._lock:
            for index in reversed(range(len(self._idle))):
                if self._idle[index][0] == address:
                    return self._idle.pop(index)[1]
        return None

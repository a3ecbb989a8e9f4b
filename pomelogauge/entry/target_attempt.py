"""One try of a request at one target."""

from enum import StrEnum

from returns.result import Failure

from ..model.entry_request import TargetAddress
from ..tasks.clock import Clock
from ..wire.caller_connection import CallerConnection, wait_readable
from ..wire.target_link import (
    LinkError,
    LinkEvent,
    RequestHead,
    TargetLink,
)

#: Seconds to connect to a target. A new connection takes about one
#: millisecond of the target's time and two on the way.
CONNECT_S = 0.4
#: Longest seconds between two looks at a silent request.
LOOK_S = 0.25


class Interruption(StrEnum):
    """Why a try ends before its answer."""

    CALLER_LEFT = 'the caller has left'
    EXPIRED = 'the time is over'
    NO_ANSWER = 'the target is silent'


class TargetAttempt:
    """Owns the connection to one target while a request is there.

    Parameters
    ----------
    destination
        The target.
    conn
        The caller's connection, watched for the caller's leaving.
    until_s
        Time of the own clock at which the answer must be there.
    clock
        Own clock.

    """

    def __init__(
        self,
        destination: TargetAddress,
        conn: CallerConnection,
        until_s: float,
        clock: Clock,
    ) -> None:
        """Connect later."""
        self.destination = destination
        self._conn = conn
        self._until_s = until_s
        self._clock = clock
        self._link: TargetLink | None = None
        self._pending: list[LinkEvent] = []

    def connect(self) -> LinkError | None:
        """Open the connection; return what failed."""
        opened = TargetLink.connect(self.destination.address, CONNECT_S)
        if isinstance(opened, Failure):
            error: LinkError = opened.failure()
            return error
        self._link = opened.unwrap()
        return None

    def send(self, head: RequestHead, body: bytes) -> LinkError | None:
        """Send the whole request; return what failed."""
        if self._link is None:
            return LinkError('is not connected')
        left_s = max(0, self._until_s - self._clock.now_s())
        return self._link.send(head, body, left_s)

    def next_event(
        self,
        stall_timeout_s: float,
    ) -> LinkEvent | Interruption:
        """Wait for the target's next event.

        Parameters
        ----------
        stall_timeout_s
            Seconds after which a silent target is given up.

        """
        silent_since_s = self._clock.now_s()
        while not self._pending:
            interruption = self._wait(silent_since_s + stall_timeout_s)
            if interruption is not None:
                return interruption
        return self._pending.pop(0)

    def close(self) -> None:
        """Close the connection; a target that still works stops."""
        if self._link is not None:
            self._link.close()
            self._link = None

    def _wait(self, silent_at_s: float) -> Interruption | None:
        link = self._link
        now_s = self._clock.now_s()
        if now_s >= self._until_s:
            return Interruption.EXPIRED
        if link is None or now_s > silent_at_s:
            return Interruption.NO_ANSWER
        watched: tuple[int, ...] = (link.fileno(),)
        if self._conn.may_have_left:
            watched = (link.fileno(), self._conn.fileno())
        ready = wait_readable(watched, min(self._until_s - now_s, LOOK_S))
        if self._conn.fileno() in ready and self._conn.has_left():
            return Interruption.CALLER_LEFT
        if link.fileno() in ready:
            self._pending.extend(link.receive())
        return None

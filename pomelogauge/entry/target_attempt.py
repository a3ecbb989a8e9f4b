"""One attempt of a request at one target."""

from enum import StrEnum

from returns.result import Failure

from ..model.entry_request import TargetAddress
from ..tasks.clock import Clock
from ..wire.caller_connection import CallerConnection, wait_readable
from ..wire.target_link import (
    HeadRead,
    LinkError,
    LinkEvent,
    RequestHead,
    TargetLink,
)

#: Seconds to connect to a target. A new connection takes about one millisecond
#: at the target and two on the network.
CONNECT_TIMEOUT_S = 0.2
#: Most seconds for which the task waits without checking the stall timeout and
#: the caller.
CALLER_CHECK_INTERVAL_S = 0.25


class Interruption(StrEnum):
    """Reasons to end an attempt before its answer is complete.

    The values are sent to callers in the body of a refusal.
    """

    CALLER_LEFT = 'the caller has left'
    EXPIRED = 'the time is over'
    STALLED = 'the target is silent'


class TargetAttempt:
    """Owns the connection to one target while a request is there.

    Parameters
    ----------
    destination
        Name and address of the target.
    conn
        The caller's connection, which is checked for the caller's leaving.
    deadline_s
        Time of the local clock at which the request's deadline passes.
    clock
        Local clock.

    """

    def __init__(
        self,
        destination: TargetAddress,
        conn: CallerConnection,
        deadline_s: float,
        clock: Clock,
    ) -> None:
        """Open nothing; ``connect`` does."""
        self.destination = destination
        self._conn = conn
        self._deadline_s = deadline_s
        self._clock = clock
        self._link: TargetLink | None = None
        self._pending: list[LinkEvent] = []

    def connect(self) -> LinkError | None:
        """Open the connection; return the error, ``None`` for success."""
        opened = TargetLink.connect(self.destination.address, CONNECT_TIMEOUT_S)
        if isinstance(opened, Failure):
            error: LinkError = opened.failure()
            return error
        self._link = opened.unwrap()
        return None

    def send(self, head: RequestHead, body: bytes) -> LinkError | None:
        """Send the whole request; return the error, ``None`` for success."""
        if self._link is None:
            return LinkError('is not connected')
        remaining_s = max(0, self._deadline_s - self._clock.now_s())
        return self._link.send(head, body, remaining_s)

    def has_early_answer(self) -> bool:
        """Return whether the head of an answer has come; never blocks.

        A target may answer and close the connection before it has read a long
        body, so that sending fails.
        """
        if self._link is not None:
            self._pending.extend(self._link.receive(0))
        return bool(self._pending) and isinstance(self._pending[0], HeadRead)

    def next_event(
        self,
        stalled_at_s: float,
    ) -> LinkEvent | Interruption:
        """Wait for the target's next event, the deadline or a stall.

        Parameters
        ----------
        stalled_at_s
            Time of the local clock from which the target counts as stalled.

        """
        while not self._pending:
            interruption = self._wait(stalled_at_s)
            if interruption is not None:
                return interruption
        return self._pending.pop(0)

    def close(self) -> None:
        """Close the connection; the target then stops work on the request."""
        if self._link is not None:
            self._link.close()
            self._link = None

    def _wait(self, stalled_at_s: float) -> Interruption | None:
        link = self._link
        now_s = self._clock.now_s()
        if now_s >= self._deadline_s:
            return Interruption.EXPIRED
        if link is None or now_s >= stalled_at_s:
            return Interruption.STALLED
        watched: tuple[int, ...] = (link.fileno(),)
        if self._conn.may_have_left:
            watched = (link.fileno(), self._conn.fileno())
        next_s = min(self._deadline_s, stalled_at_s)
        ready = wait_readable(
            watched, min(max(0, next_s - now_s), CALLER_CHECK_INTERVAL_S)
        )
        if self._conn.fileno() in ready and self._conn.has_left():
            return Interruption.CALLER_LEFT
        if link.fileno() in ready:
            self._pending.extend(link.receive())
        return None

"""The task that counts requests and, at a shutdown, admits no more of them."""

from dataclasses import dataclass

from ..model.log_parts import Part
from ..tasks.log import part_logger
from ..tasks.mailbox import Outbox
from ..tasks.shutdown_messages import (
    PhaseChanged,
    RunningCount,
    RunningCountRequested,
)

_log = part_logger(Part.ENTRY)


@dataclass(frozen=True)
class RequestCounted:
    """The reply to ``RequestRead``.

    Parameters
    ----------
    may_run
        Whether the shutdown, if any, waits for the request. Otherwise the
        process may end at any moment, and the request has to be refused.

    """

    may_run: bool


@dataclass(frozen=True)
class RequestRead:
    """A caller's request has been read.

    Parameters
    ----------
    reply
        Where ``RequestCounted`` is posted.

    """

    reply: Outbox[RequestCounted]


@dataclass(frozen=True)
class RequestFinished:
    """The answer to a request has been written, or its connection ended."""


InProgressMessage = (
    RequestRead | RequestFinished | RunningCountRequested | PhaseChanged
)


class RequestsInProgress:
    """Counts requests from their read to the end of their answers.

    A shutdown waits until there are none. So that it ends before its limit
    under load too, requests that are read after ``PhaseChanged`` are not run.
    Slots at targets don't tell: a request has none before it is dispatched,
    and a buffered answer is written after its slot has been released.
    """

    def __init__(self) -> None:
        """Start without requests."""
        self._count = 0
        self._admits = True

    def on_start(self) -> None:
        """Do nothing; this task owns no connection."""

    def on_message(self, message: InProgressMessage) -> None:
        """Count a request, reply with the count, or admit no more."""
        match message:
            case RequestRead():
                self._count += 1
                message.reply.post(RequestCounted(self._admits))
            case RequestFinished():
                self._count -= 1
            case RunningCountRequested():
                self._reply(message.reply)
            case PhaseChanged():
                self._admits = False
                _log.info('shutdown phase %s: no new requests', message.phase)

    def on_timer(self) -> float | None:
        """Return ``None``: the task only waits for messages."""
        return None

    def on_stop(self) -> None:
        """Do nothing; this task owns no connection."""

    def _reply(self, reply: Outbox[RunningCount]) -> None:
        reply.post(RunningCount(self._count))

"""The task that cancels requests at engines after their callers have left."""

from dataclasses import dataclass
from typing import Protocol

from ..model.ids import Address, RequestId
from .caller_link import CallerLeft
from .mailbox import Outbox


class RequestCanceller(Protocol):
    """Cancels requests at engines."""

    def cancel(self, address: Address, request: RequestId) -> bool:
        """Ask an engine to cancel a request.

        Returns
        -------
        bool
            Whether the engine confirmed it.

        """


@dataclass(frozen=True)
class CancelRequest:
    """Asks to cancel a request at an engine, as its caller has left."""

    address: Address
    request: RequestId


class Canceller:
    """Sends one cancellation at a time.

    A cancelled request's stream is ended by the engine, which wakes the
    caller's task that waits for the next token. A late cancellation does no
    harm, as no request identifier is used twice.

    Parameters
    ----------
    engines
        Connections to engines, owned by this task.

    """

    def __init__(self, engines: RequestCanceller) -> None:
        """Take over the connections to engines."""
        self._engines = engines

    def on_start(self) -> None:
        """Do nothing; connections are opened when they are needed."""

    def on_message(self, message: CancelRequest) -> None:
        """Send one cancellation; its result is not used."""
        self._engines.cancel(message.address, message.request)

    def on_timer(self) -> float | None:
        """Return ``None``, as only messages bring work."""
        return None

    def on_stop(self) -> None:
        """Do nothing, as nothing has to be closed."""


@dataclass(frozen=True)
class CancelOnLeave:
    """Outbox that turns the report that a caller left into a cancellation."""

    order: CancelRequest
    canceller: Outbox[CancelRequest]

    def post(self, message: CallerLeft) -> None:
        """Pass the prepared cancellation to the canceller."""
        self.canceller.post(self.order)

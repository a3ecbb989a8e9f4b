"""The task that cancels what callers who left had asked of engines."""

from dataclasses import dataclass
from typing import Protocol

from ..model.ids import Address, RequestId
from .caller_link import CallerLeft
from .mailbox import Outbox


class RequestCanceller(Protocol):
    """Cancels requests at engines."""

    def cancel(self, address: Address, request: RequestId) -> bool:
        """Ask an engine to drop a request and return whether it said so."""


@dataclass(frozen=True)
class CancelRequest:
    """A request that nobody waits for any more."""

    address: Address
    request: RequestId


class Canceller:
    """Sends one cancellation at a time.

    The engine then ends the stream, so that the caller's own task, which
    waits for its next token, wakes. A late cancellation does no harm, as a
    request identifier is never used twice.
    """

    def __init__(self, engines: RequestCanceller) -> None:
        """Own the connections to engines."""
        self._engines = engines

    def on_start(self) -> None:
        """Open no connection yet."""

    def on_message(self, message: CancelRequest) -> None:
        """Cancel a request."""
        self._engines.cancel(message.address, message.request)

    def on_timer(self) -> float | None:
        """Wait for messages only."""
        return None

    def on_stop(self) -> None:
        """Own nothing that must be closed."""


@dataclass(frozen=True)
class CancelOnLeave:
    """Turns the news that a caller has left into a cancellation."""

    order: CancelRequest
    canceller: Outbox[CancelRequest]

    def post(self, message: CallerLeft) -> None:
        """Have the request cancelled."""
        self.canceller.post(self.order)

"""Bookkeeping of calls that may run at most once."""

from typing import Protocol

from returns.result import Result, Success

from ..model.request import Refusal, ServiceRequest
from .protocols import ServiceAnswer, ServiceError

Outcome = Result[ServiceAnswer, ServiceError]


class OnceLedger(Protocol):
    """Decides whether a call may be sent, and keeps its outcome."""

    def begin(
        self,
        req: ServiceRequest,
        body: bytes,
    ) -> Result[ServiceAnswer | None, Refusal]:
        """Note the intent before the call leaves.

        Returns
        -------
        Result
            ``None`` when the call is to be sent now, the kept answer of an
            earlier run, or a refusal.

        """

    def finish(self, req: ServiceRequest, outcome: Outcome) -> None:
        """Note how the call ended."""


class PassThroughLedger:
    """Keeps nothing; for calls that are idempotent."""

    def begin(
        self,
        req: ServiceRequest,
        body: bytes,
    ) -> Result[ServiceAnswer | None, Refusal]:
        """Let every call through."""
        return Success(None)

    def finish(self, req: ServiceRequest, outcome: Outcome) -> None:
        """Forget the outcome."""

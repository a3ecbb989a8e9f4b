"""Bookkeeping of calls that may run at most once."""

from dataclasses import dataclass
from typing import Protocol

from returns.result import Result, Success

from ..decide.once import CallState
from ..model.ids import ABSENT_ROW, Incarnation, NodeName, RowVersion
from ..model.intent import Intent, IntentState
from ..model.request import Refusal, ServiceRequest
from ..tables.protocols import RowKey
from .protocols import ServiceAnswer, ServiceError

Outcome = Result[ServiceAnswer, ServiceError]


@dataclass(frozen=True)
class Permit:
    """Lets one request send its call now.

    Parameters
    ----------
    key, version
        The call's row, and its version as written; zero for none.
    intent
        Contents of that row.
    state
        State in the chart of the call.

    """

    key: RowKey
    version: RowVersion
    intent: Intent
    state: CallState = CallState.SENT


class AtMostOnceLedger(Protocol):
    """Decides whether a call may be sent, and keeps its outcome."""

    def begin(
        self,
        req: ServiceRequest,
        body: bytes,
    ) -> Result[Permit | ServiceAnswer, Refusal]:
        """Note the intent before the call leaves.

        Returns
        -------
        Result
            A permit when the call is to be sent now, the kept answer of an
            earlier run, or a refusal.

        """

    def finish(self, permit: Permit, outcome: Outcome) -> None:
        """Note how the call ended."""


class PassThroughLedger:
    """Keeps nothing; for tests of calls that are not repeated."""

    def begin(
        self,
        req: ServiceRequest,
        body: bytes,
    ) -> Result[Permit | ServiceAnswer, Refusal]:
        """Let every call through."""
        intent = Intent(
            req.request,
            '',
            NodeName(''),
            Incarnation(''),
            IntentState.INTENDED,
            0,
        )
        return Success(Permit(RowKey('', ''), ABSENT_ROW, intent))

    def finish(self, permit: Permit, outcome: Outcome) -> None:
        """Forget the outcome."""

"""Protocol of the ledger that keeps calls from running twice."""

from dataclasses import dataclass
from typing import Protocol

from returns.result import Result, Success

from ..decide.non_idempotent_call import CallState
from ..model.ids import ABSENT_ROW, Incarnation, NodeName, RowVersion
from ..model.intent import Intent, IntentState
from ..model.request import Refusal, ServiceRequest
from ..tables.protocols import RowKey
from .protocols import ServiceAnswer, ServiceError

Outcome = Result[ServiceAnswer, ServiceError]


@dataclass(frozen=True)
class Permit:
    """Permission for one request to send its call.

    Parameters
    ----------
    key, version
        Row of the call, and its version after the intent was written; zero
        when no row was written because this router minted the key.
    intent
        Contents of that row.
    state
        State in the chart of the call, from which its outcome is handled.

    """

    key: RowKey
    version: RowVersion
    intent: Intent
    state: CallState = CallState.SENT


class AtMostOnceLedger(Protocol):
    """Decides whether a call may be sent, and records its outcome."""

    def begin(
        self,
        req: ServiceRequest,
        body: bytes,
    ) -> Result[Permit | ServiceAnswer, Refusal]:
        """Record the intent before the call is sent.

        Parameters
        ----------
        req
            The call, with its idempotency key.
        body
            The caller's body. Its hash tells a retry from another call that
            reuses the key.

        Returns
        -------
        Result
            A permit if the call has to be sent now, the stored answer of an
            earlier run, or a refusal.

        """

    def finish(self, permit: Permit, outcome: Outcome) -> None:
        """Record how the call ended; called once for each permit."""


class PassThroughLedger:
    """Ledger without storage, for tests in which no call is retried."""

    def begin(
        self,
        req: ServiceRequest,
        body: bytes,
    ) -> Result[Permit | ServiceAnswer, Refusal]:
        """Return a permit without a row."""
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
        """Drop the outcome."""

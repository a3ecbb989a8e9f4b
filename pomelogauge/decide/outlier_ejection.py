"""How far a target is trusted, and for how long it rests."""

from dataclasses import dataclass, replace

from ..model.chart import Chart
from .ejection_chart import (
    EjectionAction,
    EjectionEvent,
    EjectionFacts,
    EjectionState,
)

EjectionChart = Chart[
    EjectionState, EjectionEvent, EjectionAction, EjectionFacts
]

#: Seconds for which a target that lost a request is avoided at first, and at
#: most. Each further failure before it is trusted again doubles them.
FIRST_BACKOFF_S = 1.5
MAX_BACKOFF_S = 6.0

_FACTS = EjectionFacts()


@dataclass(frozen=True)
class OutlierEjection:
    """Trust in one target.

    Parameters
    ----------
    state
        State of its chart.
    ejected_until_s
        Time of the own clock until which it rests.
    backoff_s
        Length of the present rest.

    """

    state: EjectionState = EjectionState.NOT_EJECTED
    ejected_until_s: float = 0
    backoff_s: float = 0

    def is_ejected(self, now_s: float) -> bool:
        """Return whether it rests now."""
        return (
            self.state is EjectionState.EJECTED and now_s < self.ejected_until_s
        )

    def may_receive(self, own_requests: int, now_s: float) -> bool:
        """Return whether it may take one more request.

        Parameters
        ----------
        own_requests
            Requests of this entry instance that it runs.
        now_s
            Present time of the own clock.

        """
        if self.state is EjectionState.NOT_EJECTED:
            return True
        return not self.is_ejected(now_s) and not own_requests


NOT_EJECTED = OutlierEjection()


@dataclass(frozen=True)
class EjectionStep:
    """The outcome of one event: the trust after it, and what to do."""

    ejection: OutlierEjection
    action: EjectionAction | None


def apply_event(
    chart: EjectionChart,
    ejection: OutlierEjection,
    event: EjectionEvent,
    now_s: float,
) -> EjectionStep:
    """Apply an event; a rest that has passed counts first."""
    if (
        ejection.state is EjectionState.EJECTED
        and now_s >= ejection.ejected_until_s
    ):
        rested = chart.step(ejection.state, EjectionEvent.BACKOFF_ENDED, _FACTS)
        ejection = replace(ejection, state=rested.state)
    move = chart.step(ejection.state, event, _FACTS)
    if move.state is EjectionState.NOT_EJECTED:
        return EjectionStep(NOT_EJECTED, move.action)
    if move.action is not EjectionAction.REPORT:
        return EjectionStep(replace(ejection, state=move.state), move.action)
    backoff_s = _next_rest_s(ejection, now_s)
    after = OutlierEjection(move.state, now_s + backoff_s, backoff_s)
    return EjectionStep(after, move.action)


def _next_rest_s(ejection: OutlierEjection, now_s: float) -> float:
    """Return the length of the next rest.

    Requests that were lost together, or while it rests, count once.
    """
    if not ejection.backoff_s:
        return FIRST_BACKOFF_S
    if ejection.is_ejected(now_s):
        return ejection.backoff_s
    return min(2 * ejection.backoff_s, MAX_BACKOFF_S)

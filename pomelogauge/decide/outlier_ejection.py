"""Outlier ejection: how long a target that failed gets no requests."""

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

#: Seconds for which a target is ejected after a failed request: at first, and
#: at most. Each further failure before a successful answer doubles the time.
FIRST_BACKOFF_S = 1.5
MAX_BACKOFF_S = 6.0
#: Seconds for which a target is ejected that only other instances suspect.
SUSPECTED_BACKOFF_S = 2.0

_FACTS = EjectionFacts()


@dataclass(frozen=True)
class OutlierEjection:
    """Ejection of one target by this entry instance.

    Parameters
    ----------
    state
        State of the target in the ejection chart.
    ejected_until_s
        Time of the local clock until which it is ejected; zero before the first
        failure.
    backoff_s
        Seconds of the last back-off; zero before the first failure.

    """

    state: EjectionState = EjectionState.NOT_EJECTED
    ejected_until_s: float = 0
    backoff_s: float = 0

    def is_ejected(self, now_s: float) -> bool:
        """Return whether the back-off still lasts."""
        return (
            self.state is EjectionState.EJECTED and now_s < self.ejected_until_s
        )

    def may_receive(self, own_requests: int, now_s: float) -> bool:
        """Return whether the target may get one more request.

        On probation it gets one request at a time.

        Parameters
        ----------
        own_requests
            Number of requests of this entry instance that it runs now.
        now_s
            Current time of the local clock.

        """
        if self.state is EjectionState.NOT_EJECTED:
            return True
        return not self.is_ejected(now_s) and not own_requests


#: Initial value, and the value after a successful answer.
NOT_EJECTED = OutlierEjection()


@dataclass(frozen=True)
class EjectionStep:
    """Result of one event.

    Parameters
    ----------
    ejection
        Ejection after the event.
    action
        Work for the dispatcher; ``None`` for none.

    """

    ejection: OutlierEjection
    action: EjectionAction | None


def apply_event(
    chart: EjectionChart,
    ejection: OutlierEjection,
    event: EjectionEvent,
    now_s: float,
) -> EjectionStep:
    """Apply an event of a target.

    A back-off that has ended puts the target on probation before the event is
    applied, so that no timer is needed.
    """
    if (
        ejection.state is EjectionState.EJECTED
        and now_s >= ejection.ejected_until_s
    ):
        on_probation = chart.step(
            ejection.state, EjectionEvent.BACKOFF_ENDED, _FACTS
        )
        ejection = replace(ejection, state=on_probation.state)
    move = chart.step(ejection.state, event, _FACTS)
    if move.state is EjectionState.NOT_EJECTED:
        return EjectionStep(NOT_EJECTED, move.action)
    if move.action is not EjectionAction.REPORT:
        return EjectionStep(replace(ejection, state=move.state), move.action)
    backoff_s = _next_backoff_s(ejection, now_s)
    after = OutlierEjection(move.state, now_s + backoff_s, backoff_s)
    return EjectionStep(after, move.action)


def apply_suspicion(
    chart: EjectionChart, ejection: OutlierEjection, now_s: float
) -> OutlierEjection:
    """Eject a target that other instances suspect, unless it is already.

    The back-off does not count as one of its own failures.
    """
    move = chart.step(ejection.state, EjectionEvent.SUSPECTED, _FACTS)
    if move.state is ejection.state:
        return ejection
    return OutlierEjection(move.state, now_s + SUSPECTED_BACKOFF_S)


def _next_backoff_s(ejection: OutlierEjection, now_s: float) -> float:
    """Return the back-off after a failure.

    Failures during a back-off are of requests that were sent before it; they
    extend its end but do not double its length.
    """
    if not ejection.backoff_s:
        return FIRST_BACKOFF_S
    if ejection.is_ejected(now_s):
        return ejection.backoff_s
    return min(2 * ejection.backoff_s, MAX_BACKOFF_S)

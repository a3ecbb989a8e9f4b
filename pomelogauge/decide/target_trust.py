"""How far a target is trusted, and for how long it rests."""

from dataclasses import dataclass, replace

from ..model.chart import Chart
from .trust_chart import TrustAction, TrustEvent, TrustFacts, TrustState

TrustChart = Chart[TrustState, TrustEvent, TrustAction, TrustFacts]

#: Seconds for which a target that lost a request is avoided at first, and at
#: most. Each further failure before it is trusted again doubles them.
REST_S = 1.5
MOST_REST_S = 6.0

_FACTS = TrustFacts()


@dataclass(frozen=True)
class Trust:
    """Trust in one target.

    Parameters
    ----------
    state
        State of its chart.
    until_s
        Time of the own clock until which it rests.
    rest_s
        Length of the present rest.

    """

    state: TrustState = TrustState.TRUSTED
    until_s: float = 0
    rest_s: float = 0

    def is_avoided(self, now_s: float) -> bool:
        """Return whether it rests now."""
        return self.state is TrustState.AVOIDED and now_s < self.until_s

    def may_take(self, own: int, now_s: float) -> bool:
        """Return whether it may take one more request.

        Parameters
        ----------
        own
            Requests of this entry instance that it runs.
        now_s
            Present time of the own clock.

        """
        if self.state is TrustState.TRUSTED:
            return True
        return not self.is_avoided(now_s) and not own


TRUSTED = Trust()


@dataclass(frozen=True)
class TrustStep:
    """The outcome of one event: the trust after it, and what to do."""

    trust: Trust
    action: TrustAction | None


def take(
    chart: TrustChart,
    trust: Trust,
    event: TrustEvent,
    now_s: float,
) -> TrustStep:
    """Apply an event; a rest that has passed counts first."""
    if trust.state is TrustState.AVOIDED and now_s >= trust.until_s:
        rested = chart.step(trust.state, TrustEvent.RESTED, _FACTS)
        trust = replace(trust, state=rested.state)
    move = chart.step(trust.state, event, _FACTS)
    if move.state is TrustState.TRUSTED:
        return TrustStep(TRUSTED, move.action)
    if move.action is not TrustAction.TELL:
        return TrustStep(replace(trust, state=move.state), move.action)
    rest_s = _next_rest_s(trust, now_s)
    after = Trust(move.state, now_s + rest_s, rest_s)
    return TrustStep(after, move.action)


def _next_rest_s(trust: Trust, now_s: float) -> float:
    """Return the length of the next rest.

    Requests that were lost together, or while it rests, count once.
    """
    if not trust.rest_s:
        return REST_S
    if trust.is_avoided(now_s):
        return trust.rest_s
    return min(2 * trust.rest_s, MOST_REST_S)

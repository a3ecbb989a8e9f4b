"""One router's belief of one replica's warmth."""

from dataclasses import dataclass, replace

from ..model.chart import Chart
from ..model.ids import Incarnation
from .warmth_chart import (
    WarmthAction,
    WarmthEvent,
    WarmthFacts,
    WarmthState,
)

WarmthChart = Chart[WarmthState, WarmthEvent, WarmthAction, WarmthFacts]


@dataclass(frozen=True)
class Warmth:
    """State of one warmth machine.

    Parameters
    ----------
    state
        State in the chart.
    incarnation
        Incarnation that last answered or was reported.
    replaced
        Incarnation before it; late reports still name it.
    completed
        Own requests completed in this incarnation.
    limited
        The router sends no more than a cold replica bears.

    """

    state: WarmthState = WarmthState.UNKNOWN
    incarnation: Incarnation = Incarnation('')
    replaced: Incarnation = Incarnation('')
    completed: int = 0
    limited: bool = True


@dataclass(frozen=True)
class WarmthRules:
    """Steps the warmth machines of a router.

    Parameters
    ----------
    chart
        The bound chart.
    wanted
        Completions that prove a replica warm.

    """

    chart: WarmthChart
    wanted: int

    def seen(self, warmth: Warmth, incarnation: Incarnation) -> Warmth:
        """Return the warmth after an answer of an incarnation."""
        if not incarnation or incarnation == warmth.incarnation:
            return warmth
        fresh = replace(
            warmth,
            incarnation=incarnation,
            replaced=warmth.incarnation,
            completed=0,
        )
        if not warmth.incarnation:
            return fresh
        return self.step(fresh, WarmthEvent.NEW_INCARNATION)

    def reported(self, warmth: Warmth, incarnation: Incarnation) -> Warmth:
        """Return the warmth after a report of an incarnation."""
        if incarnation != warmth.replaced:
            warmth = self.seen(warmth, incarnation)
        confirmed = incarnation in {Incarnation(''), warmth.incarnation}
        return self.step(warmth, WarmthEvent.REPORT, confirmed=confirmed)

    def completed(self, warmth: Warmth) -> Warmth:
        """Return the warmth after a request completed."""
        counted = replace(warmth, completed=warmth.completed + 1)
        return self.step(counted, WarmthEvent.COMPLETED)

    def fell_silent(self, warmth: Warmth) -> Warmth:
        """Return the warmth once load reports have stopped."""
        return self.step(warmth, WarmthEvent.FELL_SILENT)

    def step(
        self,
        warmth: Warmth,
        event: WarmthEvent,
        *,
        confirmed: bool = True,
    ) -> Warmth:
        """Return the warmth after one event of the chart."""
        facts = WarmthFacts(warmth.completed, self.wanted, confirmed)
        move = self.chart.step(warmth.state, event, facts)
        limited = warmth.limited
        if move.action is not None:
            limited = move.action is WarmthAction.LIMIT
        return replace(warmth, state=move.state, limited=limited)

"""One router's belief of one replica's warmth."""

from dataclasses import dataclass, replace

from ..model.chart import Chart
from ..model.ids import Incarnation
from ..model.placement import ReplicaView
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
    limited
        The router sends no more than a cold replica bears.

    """

    state: WarmthState = WarmthState.UNKNOWN
    incarnation: Incarnation = Incarnation('')
    replaced: Incarnation = Incarnation('')
    limited: bool = True


@dataclass(frozen=True)
class WarmthRules:
    """Steps the warmth machines of a router.

    Parameters
    ----------
    chart
        The bound chart.

    """

    chart: WarmthChart

    def after_answer(self, warmth: Warmth, incarnation: Incarnation) -> Warmth:
        """Return the warmth after an answer of an incarnation."""
        if not incarnation or incarnation == warmth.incarnation:
            return warmth
        fresh = replace(
            warmth,
            incarnation=incarnation,
            replaced=warmth.incarnation,
        )
        if not warmth.incarnation:
            return fresh
        return self._step(fresh, WarmthEvent.NEW_INCARNATION, WarmthFacts())

    def after_report(self, warmth: Warmth, view: ReplicaView) -> Warmth:
        """Return the warmth after a report."""
        incarnation = view.incarnation
        if incarnation != warmth.replaced:
            warmth = self.after_answer(warmth, incarnation)
        facts = WarmthFacts(
            confirmed=incarnation in {Incarnation(''), warmth.incarnation},
            full=0 < view.capacity <= view.current_capacity,
        )
        return self._step(warmth, WarmthEvent.REPORT, facts)

    def after_completion(self, warmth: Warmth) -> Warmth:
        """Return the warmth after a request completed."""
        return self._step(warmth, WarmthEvent.COMPLETED, WarmthFacts())

    def after_reports_stopped(self, warmth: Warmth) -> Warmth:
        """Return the warmth once load reports have stopped."""
        return self._step(warmth, WarmthEvent.REPORTS_STOPPED, WarmthFacts())

    def _step(
        self,
        warmth: Warmth,
        event: WarmthEvent,
        facts: WarmthFacts,
    ) -> Warmth:
        move = self.chart.step(warmth.state, event, facts)
        limited = warmth.limited
        if move.action is not None:
            limited = move.action is WarmthAction.LIMIT
        return replace(warmth, state=move.state, limited=limited)

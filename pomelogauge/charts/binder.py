"""Binds a parsed chart to names in the code and checks both."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Generic

from sismic.model import Transition

from ..model.chart import (
    ActionT,
    Branch,
    Chart,
    EventT,
    FactsT,
    Move,
    StateT,
    Vocabulary,
)
from ..model.errors import Finding, FindingsError, SourceLocation
from .graph import ChartGraph


@dataclass(frozen=True)
class Binder(Generic[StateT, EventT, ActionT, FactsT]):
    """One chart and the names that the code gives to it.

    Parameters
    ----------
    file_name
        Place of the findings.
    graph
        The parsed chart.
    words
        Names in the code.

    """

    file_name: str
    graph: ChartGraph
    words: Vocabulary[StateT, EventT, ActionT, FactsT]

    def chart(self, name: str) -> Chart[StateT, EventT, ActionT, FactsT]:
        """Return the bound chart.

        Raises
        ------
        FindingsError
            A name is missing on either side, a state can't be reached or an
            event is not handled in some state; all findings together.

        """
        findings = tuple(self.findings())
        if findings:
            raise FindingsError(findings)
        states = self.words.states
        return Chart(
            name,
            states(self.graph.initial),
            frozenset(states(state) for state in self.graph.finals),
            {
                (state, event): self._branches(state, event)
                for state in states
                for event in self.words.events
            },
        )

    def findings(self) -> Iterator[Finding]:
        """Yield every fault of the chart."""
        yield from self._name_findings()
        yield from self._guard_findings()
        for state in self.graph.unreachable():
            yield self._say(state, 'state is unreachable')
        yield from self._event_findings()

    def _branches(
        self,
        state: StateT,
        event: EventT,
    ) -> tuple[Branch[StateT, ActionT, FactsT], ...]:
        return tuple(
            self._branch(state, transition)
            for transition in self.graph.transitions_of(state.value)
            if transition.event == event
        )

    def _branch(
        self,
        state: StateT,
        transition: Transition,
    ) -> Branch[StateT, ActionT, FactsT]:
        guard = None
        if transition.guard:
            guard = getattr(self.words.facts, transition.guard)
        target = state
        if transition.target:
            target = self.words.states(
                self.graph.initial_leaf(transition.target)
            )
        action = None
        if transition.action:
            action = self.words.actions(transition.action)
        return Branch(guard, Move(target, action))

    def _name_findings(self) -> Iterator[Finding]:
        steps = self.graph.transitions
        events = [step.event for step in steps if step.event]
        actions = [step.action for step in steps if step.action]
        yield from self._compare('state', self.graph.leaves, self.words.states)
        yield from self._compare('event', events, self.words.events)
        yield from self._compare('action', actions, self.words.actions)

    def _compare(
        self,
        kind: str,
        in_chart: Iterable[str],
        in_code: Iterable[str],
    ) -> Iterator[Finding]:
        """Yield names that only one side knows."""
        chart_names = set(in_chart)
        code_names = {str(name) for name in in_code}
        for missing in sorted(chart_names - code_names):
            yield self._say(missing, f'{kind} is missing in the code')
        for unused in sorted(code_names - chart_names):
            yield self._say(unused, f'{kind} is missing in the chart')

    def _guard_findings(self) -> Iterator[Finding]:
        for step in self.graph.transitions:
            guard = step.guard
            if guard and not callable(getattr(self.words.facts, guard, None)):
                message = f'guard {guard} is missing in the code'
                yield self._say(step.source, message)

    def _event_findings(self) -> Iterator[Finding]:
        for state in self.graph.leaves:
            if state in self.graph.finals:
                continue
            handled = {step.event for step in self.graph.transitions_of(state)}
            for event in self.words.events:
                if event.value not in handled:
                    yield self._say(state, f'event {event} is not handled')

    def _say(self, path: str, message: str) -> Finding:
        return Finding(SourceLocation(self.file_name, path=path), message)

"""Binds a parsed chart to names in the code and checks that both agree."""

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
    """One parsed chart and the names in the code that it is bound to.

    Parameters
    ----------
    file_name
        Name of the chart file, for the locations of findings.
    graph
        The parsed chart.
    vocabulary
        States, events, actions and guards of the code.

    """

    file_name: str
    graph: ChartGraph
    vocabulary: Vocabulary[StateT, EventT, ActionT, FactsT]

    def chart(self, name: str) -> Chart[StateT, EventT, ActionT, FactsT]:
        """Check the chart and return it bound, under a name.

        Raises
        ------
        FindingsError
            A name is missing in the chart or in the code, a state is
            unreachable, or a state does not handle an event; all findings
            together.

        """
        findings = tuple(self.findings())
        if findings:
            raise FindingsError(findings)
        states = self.vocabulary.states
        return Chart(
            name,
            states(self.graph.initial),
            frozenset(states(state) for state in self.graph.finals),
            {
                (state, event): self._branches(state, event)
                for state in states
                for event in self.vocabulary.events
            },
        )

    def findings(self) -> Iterator[Finding]:
        """Yield all findings of the chart; none if it can be bound."""
        yield from self._name_findings()
        yield from self._guard_findings()
        for state in self.graph.unreachable():
            yield self._finding(state, 'state is unreachable')
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
            guard = getattr(self.vocabulary.facts, transition.guard)
        target = state
        if transition.target:
            target = self.vocabulary.states(
                self.graph.initial_leaf(transition.target)
            )
        action = None
        if transition.action:
            action = self.vocabulary.actions(transition.action)
        return Branch(guard, Move(target, action))

    def _name_findings(self) -> Iterator[Finding]:
        steps = self.graph.transitions
        events = [step.event for step in steps if step.event]
        actions = [step.action for step in steps if step.action]
        yield from self._compare(
            'state', self.graph.leaves, self.vocabulary.states
        )
        yield from self._compare('event', events, self.vocabulary.events)
        yield from self._compare('action', actions, self.vocabulary.actions)

    def _compare(
        self,
        kind: str,
        in_chart: Iterable[str],
        in_code: Iterable[str],
    ) -> Iterator[Finding]:
        """Yield a finding for each name that only one side has."""
        chart_names = set(in_chart)
        code_names = {str(name) for name in in_code}
        for missing in sorted(chart_names - code_names):
            yield self._finding(missing, f'{kind} is missing in the code')
        for unused in sorted(code_names - chart_names):
            yield self._finding(unused, f'{kind} is missing in the chart')

    def _guard_findings(self) -> Iterator[Finding]:
        for step in self.graph.transitions:
            guard = step.guard
            if guard and not callable(
                getattr(self.vocabulary.facts, guard, None)
            ):
                message = f'guard {guard} is missing in the code'
                yield self._finding(step.source, message)

    def _event_findings(self) -> Iterator[Finding]:
        for state in self.graph.leaves:
            if state in self.graph.finals:
                continue
            handled = {step.event for step in self.graph.transitions_of(state)}
            for event in self.vocabulary.events:
                if event.value not in handled:
                    yield self._finding(state, f'event {event} is not handled')

    def _finding(self, path: str, message: str) -> Finding:
        return Finding(SourceLocation(self.file_name, path=path), message)

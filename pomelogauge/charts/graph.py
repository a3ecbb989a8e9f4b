"""Questions about the structure of a parsed chart."""

from collections import deque
from collections.abc import Iterator
from functools import cached_property

from sismic.model import CompoundState, FinalState, Statechart, Transition


class ChartGraph:
    """States and transitions of a parsed chart."""

    def __init__(self, source: Statechart) -> None:
        """Take a chart that the parser has accepted."""
        self._source = source

    @cached_property
    def leaves(self) -> tuple[str, ...]:
        """States without states inside them."""
        return tuple(sorted(self._source.leaf_for(self._source.states)))

    @cached_property
    def finals(self) -> frozenset[str]:
        """States that end the machine."""
        return frozenset(
            state
            for state in self.leaves
            if isinstance(self._source.state_for(state), FinalState)
        )

    @cached_property
    def initial(self) -> str:
        """Leaf in which a machine starts."""
        return self.initial_leaf(self._source.root or '')

    @property
    def transitions(self) -> tuple[Transition, ...]:
        """All transitions of the chart."""
        return tuple(self._source.transitions)

    def initial_leaf(self, state: str) -> str:
        """Follow the initial states of a state down to a leaf."""
        node = self._source.state_for(state)
        if isinstance(node, CompoundState) and node.initial:
            return self.initial_leaf(node.initial)
        return state

    def transitions_of(self, state: str) -> Iterator[Transition]:
        """Yield the transitions of a state, then those of its ancestors."""
        for name in (state, *self._source.ancestors_for(state)):
            yield from self._source.transitions_from(name)

    def unreachable(self) -> tuple[str, ...]:
        """Return the leaves that no transition leads to."""
        reached = {self.initial}
        waiting = deque(reached)
        while waiting:
            for target in self._targets(waiting.popleft()) - reached:
                reached.add(target)
                waiting.append(target)
        return tuple(state for state in self.leaves if state not in reached)

    def _targets(self, state: str) -> set[str]:
        return {
            self.initial_leaf(transition.target)
            for transition in self.transitions_of(state)
            if transition.target
        }

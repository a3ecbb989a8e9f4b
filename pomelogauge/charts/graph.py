"""Structure of a parsed chart: leaf states, transitions, reachability."""

from collections import deque
from collections.abc import Iterator
from functools import cached_property

from sismic.model import CompoundState, FinalState, Statechart, Transition


class ChartGraph:
    """States and transitions of a parsed chart.

    A machine is always in a leaf, a state without inner states.
    """

    def __init__(self, source: Statechart) -> None:
        """Wrap a chart that the parser has accepted."""
        self._source = source

    @cached_property
    def leaves(self) -> tuple[str, ...]:
        """Names of all leaves, sorted."""
        return tuple(sorted(self._source.leaf_for(self._source.states)))

    @cached_property
    def finals(self) -> frozenset[str]:
        """Leaves in which the machine has ended."""
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
        """Transitions of all states."""
        return tuple(self._source.transitions)

    def initial_leaf(self, state: str) -> str:
        """Return the leaf that is entered with a state.

        It is found by following the initial states of compound states.
        """
        node = self._source.state_for(state)
        if isinstance(node, CompoundState) and node.initial:
            return self.initial_leaf(node.initial)
        return state

    def transitions_of(self, state: str) -> Iterator[Transition]:
        """Yield the transitions of a state, then those of its ancestors.

        Inner transitions come first, as the first that applies is taken.
        """
        for name in (state, *self._source.ancestors_for(state)):
            yield from self._source.transitions_from(name)

    def unreachable(self) -> tuple[str, ...]:
        """Return the leaves that can't be reached from the initial one."""
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

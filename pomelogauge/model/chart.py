"""State charts as transition tables, bound to names in the code."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import Generic, TypeVar

StateT = TypeVar('StateT', bound=StrEnum)
EventT = TypeVar('EventT', bound=StrEnum)
ActionT = TypeVar('ActionT', bound=StrEnum)
FactsT = TypeVar('FactsT')


@dataclass(frozen=True)
class Move(Generic[StateT, ActionT]):
    """Result of one event: the next state, and what to do.

    Parameters
    ----------
    state
        State after the event.
    action
        Action that the task which runs the machine has to carry out;
        ``None`` for none.

    """

    state: StateT
    action: ActionT | None = None


@dataclass(frozen=True)
class Branch(Generic[StateT, ActionT, FactsT]):
    """A transition, taken if its guard returns true or is ``None``."""

    guard: Callable[[FactsT], bool] | None
    move: Move[StateT, ActionT]


@dataclass(frozen=True)
class Vocabulary(Generic[StateT, EventT, ActionT, FactsT]):
    """Names in the code to which the names of a chart file are bound.

    Parameters
    ----------
    states, events, actions
        Enumerations; each value is a name in the chart file.
    facts
        Record with the data that guards read; the guards are its methods.

    """

    states: type[StateT]
    events: type[EventT]
    actions: type[ActionT]
    facts: type[FactsT]


Branches = tuple[Branch[StateT, ActionT, FactsT], ...]


class Chart(Generic[StateT, EventT, ActionT, FactsT]):
    """Transition table of a chart; the caller keeps the current state.

    It is never changed, so that all tasks can use one chart.
    """

    def __init__(
        self,
        name: str,
        initial: StateT,
        final: frozenset[StateT],
        table: Mapping[
            tuple[StateT, EventT], Branches[StateT, ActionT, FactsT]
        ],
    ) -> None:
        """Store a table that the binder has checked."""
        self.name = name
        self.initial = initial
        self.final = final
        self._table = table

    def step(
        self,
        state: StateT,
        event: EventT,
        facts: FactsT,
    ) -> Move[StateT, ActionT]:
        """Return the next state and the action for an event.

        Parameters
        ----------
        state
            Current state.
        event
            Event to handle.
        facts
            Record that the guards are called on.

        Returns
        -------
        Move
            Result of the first branch whose guard holds. If there is none,
            the state stays and there is no action.

        """
        for branch in self._table.get((state, event), ()):
            if branch.guard is None or branch.guard(facts):
                return branch.move
        return Move(state)

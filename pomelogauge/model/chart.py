"""A state chart as a table of frozen moves."""

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
    """The outcome of one event.

    Parameters
    ----------
    state
        State after the event.
    action
        What the owner of the machine has to do; ``None`` for nothing.

    """

    state: StateT
    action: ActionT | None = None


@dataclass(frozen=True)
class Branch(Generic[StateT, ActionT, FactsT]):
    """A transition that is taken when its guard holds."""

    guard: Callable[[FactsT], bool] | None
    move: Move[StateT, ActionT]


@dataclass(frozen=True)
class Vocabulary(Generic[StateT, EventT, ActionT, FactsT]):
    """Names that the code gives to a chart.

    Parameters
    ----------
    states, events, actions
        Enumerations; each value is a name in the chart file.
    facts
        Frozen record whose methods are the guards.

    """

    states: type[StateT]
    events: type[EventT]
    actions: type[ActionT]
    facts: type[FactsT]


Branches = tuple[Branch[StateT, ActionT, FactsT], ...]


class Chart(Generic[StateT, EventT, ActionT, FactsT]):
    """A chart bound to names in the code; holds no state of its own."""

    def __init__(
        self,
        name: str,
        initial: StateT,
        final: frozenset[StateT],
        table: Mapping[
            tuple[StateT, EventT], Branches[StateT, ActionT, FactsT]
        ],
    ) -> None:
        """Take the table that the reader has checked."""
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
        """Return the move for an event.

        Parameters
        ----------
        state
            Present state.
        event
            What happened.
        facts
            What the guards may ask.

        Returns
        -------
        Move
            First branch whose guard holds; else the state stays.

        """
        for branch in self._table.get((state, event), ()):
            if branch.guard is None or branch.guard(facts):
                return branch.move
        return Move(state)

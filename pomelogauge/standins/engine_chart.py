"""Vocabulary of the state chart of the stand-in engine."""

from dataclasses import dataclass
from enum import StrEnum

from ..model.chart import Vocabulary
from ..model.placement import EngineState


class EngineEvent(StrEnum):
    """Events of the chart."""

    LOAD_ORDERED = 'load_ordered'
    UNLOAD_ORDERED = 'unload_ordered'
    LOADED = 'loaded'
    FELL_OVER = 'fell_over'


class EngineAction(StrEnum):
    """Actions of the chart."""

    START_LOAD = 'start_load'
    LEAVE = 'leave'
    RESTART = 'restart'


@dataclass(frozen=True)
class EngineFacts:
    """Inputs of the guards of the chart.

    Parameters
    ----------
    names_own_replica
        Whether the order names the replica that the engine holds.

    """

    names_own_replica: bool = False

    def holds_replica(self) -> bool:
        """Guard unload orders against orders for another replica."""
        return self.names_own_replica

    def always(self) -> bool:
        """Return true; an internal transition needs a guard or an action."""
        return True


ENGINE_WORDS = Vocabulary(EngineState, EngineEvent, EngineAction, EngineFacts)

"""Names of the stand-in engine's chart."""

from dataclasses import dataclass
from enum import StrEnum

from ..model.chart import Vocabulary
from ..model.placement import EngineState


class EngineEvent(StrEnum):
    """What can happen to an engine."""

    LOAD_ORDERED = 'load_ordered'
    UNLOAD_ORDERED = 'unload_ordered'
    LOADED = 'loaded'
    FELL_OVER = 'fell_over'


class EngineAction(StrEnum):
    """What the engine has to do."""

    START_LOAD = 'start_load'
    LEAVE = 'leave'
    RESTART = 'restart'


@dataclass(frozen=True)
class EngineFacts:
    """What the guards of the chart may ask.

    Parameters
    ----------
    names_own_replica
        The order names the replica that the engine holds.

    """

    names_own_replica: bool = False

    def holds_replica(self) -> bool:
        """Return whether the order is about the engine's own replica."""
        return self.names_own_replica

    def always(self) -> bool:
        """Return true; an internal transition needs a guard or an action."""
        return True


ENGINE_WORDS = Vocabulary(EngineState, EngineEvent, EngineAction, EngineFacts)

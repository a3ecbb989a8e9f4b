"""Names of the router shutdown chart."""

from dataclasses import dataclass
from enum import StrEnum

from ..model.chart import Vocabulary


class ShutdownState(StrEnum):
    """States of a process between start and end."""

    RUNNING = 'running'
    ANNOUNCING = 'announcing'
    FINISHING = 'finishing'
    STOPPED = 'stopped'


class ShutdownEvent(StrEnum):
    """What moves a shutdown on."""

    REQUESTED = 'asked'
    ANSWERS_EXPIRED = 'answers_lapsed'
    IDLE = 'idle'
    TIME_LIMIT_REACHED = 'limit_passed'


class ShutdownAction(StrEnum):
    """What the shutdown task has to do."""

    ANNOUNCE = 'announce'
    REFUSE_NEW = 'refuse_new'
    STOP = 'stop'
    CUT = 'cut'


@dataclass(frozen=True)
class ShutdownFacts:
    """What the guards of the shutdown chart may ask."""

    def always(self) -> bool:
        """Return true; an internal transition needs a guard or an action."""
        return True


SHUTDOWN_WORDS = Vocabulary(
    ShutdownState,
    ShutdownEvent,
    ShutdownAction,
    ShutdownFacts,
)

"""Names of the router shutdown chart."""

from dataclasses import dataclass
from enum import StrEnum

from ..model.chart import Vocabulary


class ShutdownState(StrEnum):
    """States of a process from its start to its end."""

    RUNNING = 'running'
    ANNOUNCING = 'announcing'
    FINISHING = 'finishing'
    STOPPED = 'stopped'


class ShutdownEvent(StrEnum):
    """Events of a shutdown.

    ``ANSWERS_EXPIRED``: callers no longer use a list of routers that names
    this process.
    """

    REQUESTED = 'requested'
    ANSWERS_EXPIRED = 'answers_expired'
    IDLE = 'idle'
    TIME_LIMIT_REACHED = 'time_limit_reached'


class ShutdownAction(StrEnum):
    """Actions that the chart orders from the shutdown task.

    ``CUT`` ends the process though requests still run.
    """

    ANNOUNCE = 'announce'
    REFUSE_NEW = 'refuse_new'
    STOP = 'stop'
    CUT = 'cut'


@dataclass(frozen=True)
class ShutdownFacts:
    """The guards of the shutdown chart need no facts."""

    def always(self) -> bool:
        """Return true; a transition without target needs a guard or action."""
        return True


SHUTDOWN_WORDS = Vocabulary(
    ShutdownState,
    ShutdownEvent,
    ShutdownAction,
    ShutdownFacts,
)

"""Names of the target trust chart."""

from dataclasses import dataclass
from enum import StrEnum

from ..model.chart import Vocabulary


class EjectionState(StrEnum):
    """How far a target is trusted."""

    NOT_EJECTED = 'trusted'
    EJECTED = 'avoided'
    PROBATION = 'on_trial'


class EjectionEvent(StrEnum):
    """What a target's answers say of it."""

    ANSWERED = 'answered'
    FAILED = 'failed'
    BACKOFF_ENDED = 'rested'


class EjectionAction(StrEnum):
    """What the instance has to do."""

    REPORT = 'tell'


@dataclass(frozen=True)
class EjectionFacts:
    """What the guards of the target trust chart may ask."""

    def always(self) -> bool:
        """Return true; an internal transition needs a guard or an action."""
        return True


EJECTION_WORDS = Vocabulary(
    EjectionState, EjectionEvent, EjectionAction, EjectionFacts
)

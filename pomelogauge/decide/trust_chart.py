"""Names of the target trust chart."""

from dataclasses import dataclass
from enum import StrEnum

from ..model.chart import Vocabulary


class TrustState(StrEnum):
    """How far a target is trusted."""

    TRUSTED = 'trusted'
    AVOIDED = 'avoided'
    ON_TRIAL = 'on_trial'


class TrustEvent(StrEnum):
    """What a target's answers say of it."""

    ANSWERED = 'answered'
    FAILED = 'failed'
    RESTED = 'rested'


class TrustAction(StrEnum):
    """What the instance has to do."""

    TELL = 'tell'


@dataclass(frozen=True)
class TrustFacts:
    """What the guards of the target trust chart may ask."""

    def always(self) -> bool:
        """Return true; an internal transition needs a guard or an action."""
        return True


TRUST_WORDS = Vocabulary(TrustState, TrustEvent, TrustAction, TrustFacts)

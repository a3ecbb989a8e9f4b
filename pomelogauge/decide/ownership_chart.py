"""Names of the ownership chart."""

from dataclasses import dataclass
from enum import StrEnum

from ..model.chart import Vocabulary


class OwnershipState(StrEnum):
    """States of one instance's view of the ownership."""

    STANDBY = 'standby'
    HELD = 'held'
    LAPSED = 'lapsed'


class OwnershipEvent(StrEnum):
    """What can happen to the ownership."""

    OWNER_TIMED_OUT = 'silent'
    TAKEN = 'taken'
    RENEWED = 'renewed'
    LAPSED = 'lapsed'
    TAKEN_BY_OTHER = 'taken_by_other'


class OwnershipAction(StrEnum):
    """What the instance has to do."""

    TAKE = 'take'
    ADOPT = 'adopt'
    DROP = 'drop'


@dataclass(frozen=True)
class OwnershipFacts:
    """What the guards of the ownership chart may ask."""

    def always(self) -> bool:
        """Return true; an internal transition needs a guard or an action."""
        return True


OWNERSHIP_WORDS = Vocabulary(
    OwnershipState, OwnershipEvent, OwnershipAction, OwnershipFacts
)

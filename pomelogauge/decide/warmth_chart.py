"""Names of the target warmth chart."""

from dataclasses import dataclass
from enum import StrEnum

from ..model.chart import Vocabulary


class WarmthState(StrEnum):
    """What a router believes of a replica's warmth."""

    UNKNOWN = 'unknown'
    COLD = 'cold'
    WARMING = 'warming'
    WARM = 'warm'


class WarmthEvent(StrEnum):
    """What can happen to a replica's warmth."""

    REPORT = 'report'
    COMPLETED = 'completed'
    NEW_INCARNATION = 'new_incarnation'
    REPORTS_STOPPED = 'fell_silent'


class WarmthAction(StrEnum):
    """How the router bounds its own sends."""

    LIMIT = 'limit'
    FOLLOW_GRANT = 'follow_grant'


@dataclass(frozen=True)
class WarmthFacts:
    """What the guards of the warmth chart may ask.

    Parameters
    ----------
    confirmed
        The report names the incarnation that last answered.
    full
        It says that the replica bears all that it ever bears.

    """

    confirmed: bool = True
    full: bool = False

    def is_confirmed(self) -> bool:
        """Return whether the report is of the present incarnation."""
        return self.confirmed

    def is_full(self) -> bool:
        """Return whether the present incarnation bears its full load."""
        return self.confirmed and self.full

    def is_reduced(self) -> bool:
        """Return whether the present incarnation bears less than that."""
        return self.confirmed and not self.full

    def always(self) -> bool:
        """Return true; an internal transition needs a guard or an action."""
        return True


WARMTH_WORDS = Vocabulary(
    WarmthState,
    WarmthEvent,
    WarmthAction,
    WarmthFacts,
)

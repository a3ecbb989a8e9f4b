"""Names of the target warmth chart."""

from dataclasses import dataclass
from enum import StrEnum

from ..model.chart import Vocabulary


class WarmthState(StrEnum):
    """Warmth of a replica as a router knows it."""

    UNKNOWN = 'unknown'
    COLD = 'cold'
    WARMING = 'warming'
    WARM = 'warm'


class WarmthEvent(StrEnum):
    """Events of a replica's warmth."""

    REPORT = 'report'
    COMPLETED = 'completed'
    NEW_INCARNATION = 'new_incarnation'
    REPORTS_STOPPED = 'reports_stopped'


class WarmthAction(StrEnum):
    """How the router bounds the requests that it sends.

    ``LIMIT``: to the slots of a cold replica. ``FOLLOW_GRANT``: to its grant.
    """

    LIMIT = 'limit'
    FOLLOW_GRANT = 'follow_grant'


@dataclass(frozen=True)
class WarmthFacts:
    """Facts on which the guards of the warmth chart decide.

    Parameters
    ----------
    confirmed
        The report names the incarnation that last answered this router.
    full
        By the report, the replica can run as many requests as when warm.

    """

    confirmed: bool = True
    full: bool = False

    def is_confirmed(self) -> bool:
        """Return whether the report is from the present incarnation."""
        return self.confirmed

    def is_full(self) -> bool:
        """Return whether the present incarnation has its full capacity."""
        return self.confirmed and self.full

    def is_reduced(self) -> bool:
        """Return whether the present incarnation has less than that."""
        return self.confirmed and not self.full

    def always(self) -> bool:
        """Return true; a transition without target needs a guard or action."""
        return True


WARMTH_WORDS = Vocabulary(
    WarmthState,
    WarmthEvent,
    WarmthAction,
    WarmthFacts,
)

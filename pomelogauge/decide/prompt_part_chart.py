"""States, events and guards of the prompt part chart."""

from dataclasses import dataclass
from enum import StrEnum

from ..model.chart import Vocabulary

#: Crashes under a part, and targets that crashed, before it is quarantined.
MIN_CRASHES = 3
MIN_TARGETS = 2
#: Moments of these crashes, also under a part that is doubtful. Crashes of one
#: moment may have another cause in common.
MIN_MOMENTS = 2
MIN_MOMENTS_IN_DOUBT = 4


class PartState(StrEnum):
    """What the owner holds of a part; the values stand in log lines."""

    SUSPECTED = 'suspected'
    QUARANTINED = 'quarantined'
    CLEARED = 'cleared'


class PartEvent(StrEnum):
    """Events of a part.

    ``CHECKED``: time has passed, or more is known. ``SERVED``: a request with
    the part was answered wholly, and no crash followed. ``EXPIRED``: its last
    crash is long ago.
    """

    CHECKED = 'checked'
    SERVED = 'served'
    EXPIRED = 'expired'


class PartAction(StrEnum):
    """Actions of the chart; there are none."""


@dataclass(frozen=True)
class PartFacts:
    """Facts on which the guards of the prompt part chart decide.

    Parameters
    ----------
    crashes, targets, moments
        Number of crashes that count, of different targets that crashed, and
        of moments at which they did.
    is_doubtful
        Requests with the part were served before its first crash, or no
        request at all has been answered since.
    is_settled
        All instances have had the time to say that they served the part.

    """

    crashes: int
    targets: int
    moments: int
    is_doubtful: bool
    is_settled: bool

    def is_proven(self) -> bool:
        """Return whether the part crashes targets."""
        return (
            self.is_settled
            and self.crashes >= MIN_CRASHES
            and self.targets >= MIN_TARGETS
            and self.moments >= self._min_moments()
        )

    def is_disputed(self) -> bool:
        """Return whether the part is doubtful, and has crashed too little."""
        return self.is_doubtful and self.moments < self._min_moments()

    def always(self) -> bool:
        """Return true: the guard of events that a state ignores."""
        return True

    def _min_moments(self) -> int:
        return MIN_MOMENTS_IN_DOUBT if self.is_doubtful else MIN_MOMENTS


PART_WORDS = Vocabulary(PartState, PartEvent, PartAction, PartFacts)

"""Names of the shard lease chart."""

from dataclasses import dataclass
from enum import StrEnum

from ..model.chart import Vocabulary


class LeaseState(StrEnum):
    """States of one controller's view of a lease."""

    ABSENT = 'absent'
    TAKING = 'taking'
    HELD = 'held'
    LAPSED = 'lapsed'


class LeaseEvent(StrEnum):
    """What can happen to a lease."""

    WANTED = 'wanted'
    UNWANTED = 'unwanted'
    TAKEN = 'taken'
    TAKE_FAILED = 'take_failed'
    TAKEN_BY_OTHER = 'taken_by_other'
    RENEWED = 'renewed'
    LAPSED = 'lapsed'


class LeaseAction(StrEnum):
    """What the lease keeper has to do."""

    TAKE = 'take'
    START_OWNER = 'start_owner'
    STOP_OWNER = 'stop_owner'
    PAUSE_OWNER = 'pause_owner'
    RESUME_OWNER = 'resume_owner'
    HAND_OVER = 'hand_over'


@dataclass(frozen=True)
class LeaseFacts:
    """What the guards of the lease chart may ask.

    Parameters
    ----------
    holder_expired
        The holder has not renewed for the term and the margin.
    unheld
        The lease names no holder.

    """

    holder_expired: bool = False
    unheld: bool = False

    def may_take(self) -> bool:
        """Return whether a conditional write may be tried."""
        return self.unheld or self.holder_expired

    def always(self) -> bool:
        """Return true; an internal transition needs a guard or an action."""
        return True


LEASE_WORDS = Vocabulary(LeaseState, LeaseEvent, LeaseAction, LeaseFacts)

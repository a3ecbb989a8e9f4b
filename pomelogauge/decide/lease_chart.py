"""Names of the shard lease chart."""

from dataclasses import dataclass
from enum import StrEnum

from ..model.chart import Vocabulary


class LeaseState(StrEnum):
    """State of a shard's lease as one controller knows it."""

    ABSENT = 'absent'
    TAKING = 'taking'
    HELD = 'held'
    LAPSED = 'lapsed'


class LeaseEvent(StrEnum):
    """Events of a lease.

    ``LAPSED``: this controller has not renewed in time and may not act.
    """

    WANTED = 'wanted'
    UNWANTED = 'unwanted'
    TAKEN = 'taken'
    TAKE_FAILED = 'take_failed'
    TAKEN_BY_OTHER = 'taken_by_other'
    RENEWED = 'renewed'
    LAPSED = 'lapsed'


class LeaseAction(StrEnum):
    """Actions that the chart orders from the lease keeper.

    The owner is the task that acts on the shard while the lease is held.
    """

    TAKE = 'take'
    START_OWNER = 'start_owner'
    STOP_OWNER = 'stop_owner'
    PAUSE_OWNER = 'pause_owner'
    RESUME_OWNER = 'resume_owner'
    HAND_OVER = 'hand_over'


@dataclass(frozen=True)
class LeaseFacts:
    """Facts on which the guards of the lease chart decide.

    Parameters
    ----------
    holder_expired
        The holder has not renewed for the lease term and the margin.
    unheld
        The lease names no holder.

    """

    holder_expired: bool = False
    unheld: bool = False

    def may_take(self) -> bool:
        """Return whether the controller may try to take the lease."""
        return self.unheld or self.holder_expired

    def always(self) -> bool:
        """Return true; a transition without target needs a guard or action."""
        return True


LEASE_WORDS = Vocabulary(LeaseState, LeaseEvent, LeaseAction, LeaseFacts)

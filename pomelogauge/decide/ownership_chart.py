"""States, events, actions and guards of the ownership chart."""

from dataclasses import dataclass
from enum import StrEnum

from ..model.chart import Vocabulary


class OwnershipState(StrEnum):
    """What one instance may do as owner; the values stand in log lines.

    ``STANDBY``: another instance owns the groups, or none does. ``HELD``:
    this instance holds the lease and may act. ``LAPSED``: this instance held
    it last, but its renewals fail; it must not act.
    """

    STANDBY = 'standby'
    HELD = 'held'
    LAPSED = 'lapsed'


class OwnershipEvent(StrEnum):
    """Events of the owner lease; the values stand in log lines.

    ``OWNER_TIMED_OUT``: the owner has not renewed its lease in time.
    ``TAKEN``: this instance has taken the lease. ``LAPSED``: the hold time of
    the last renewal is over. ``TAKEN_BY_OTHER``: another instance has taken
    the lease. ``STORE_RESTORED``: the lease is of an earlier era of the store.
    """

    OWNER_TIMED_OUT = 'owner_timed_out'
    TAKEN = 'taken'
    RENEWED = 'renewed'
    LAPSED = 'lapsed'
    TAKEN_BY_OTHER = 'taken_by_other'
    STORE_RESTORED = 'store_restored'


class OwnershipAction(StrEnum):
    """Work of the owner's task.

    ``TAKE``: try to take the lease. ``ADOPT``: load the recorded groups.
    ``DROP``: forget them.
    """

    TAKE = 'take'
    ADOPT = 'adopt'
    DROP = 'drop'


@dataclass(frozen=True)
class OwnershipFacts:
    """Facts for the guards of the ownership chart; none are needed."""

    def always(self) -> bool:
        """Return true: the guard of events that a state ignores.

        The chart format needs a guard or an action on a transition without a
        target.
        """
        return True


OWNERSHIP_WORDS = Vocabulary(
    OwnershipState, OwnershipEvent, OwnershipAction, OwnershipFacts
)

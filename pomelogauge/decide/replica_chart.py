"""Names of the replica chart."""

from dataclasses import dataclass
from enum import StrEnum

from ..model.chart import Chart, Vocabulary
from ..model.placement import ReplicaState


class ReplicaEvent(StrEnum):
    """Events of a replica.

    ``MEMBER_DISAGREES``: a member reports another replica, epoch or state.
    """

    ORDERS_DUE = 'orders_due'
    ORDERS_ACCEPTED = 'orders_accepted'
    ORDER_REFUSED = 'order_refused'
    ALL_READY = 'all_ready'
    MEMBER_LOST = 'member_lost'
    MEMBER_DISAGREES = 'member_disagrees'
    LOAD_TIMED_OUT = 'load_timed_out'
    UNWANTED = 'unwanted'
    RELEASE_DUE = 'release_due'
    RELEASED = 'released'


class ReplicaAction(StrEnum):
    """Actions that the chart orders from the owner of the shard."""

    ORDER_MEMBERS = 'order_members'
    SERVE = 'serve'
    WITHDRAW = 'withdraw'
    RELEASE = 'release'


@dataclass(frozen=True)
class ReplicaFacts:
    """Facts on which the guards of the replica chart decide.

    Parameters
    ----------
    drained
        No request is in progress, or the time limit of draining has passed.
    held
        This controller holds the lease of the shard.
    release_tried
        A write was sent that may have released the rows.

    """

    drained: bool = False
    held: bool = True
    release_tried: bool = False

    def is_drained(self) -> bool:
        """Return whether the replica may be released."""
        return self.drained

    def may_return(self) -> bool:
        """Return whether the rows are certain to name the members still."""
        return not (self.held or self.release_tried)

    def always(self) -> bool:
        """Return true; a transition without target needs a guard or action."""
        return True


REPLICA_WORDS = Vocabulary(
    ReplicaState, ReplicaEvent, ReplicaAction, ReplicaFacts
)
ReplicaChart = Chart[ReplicaState, ReplicaEvent, ReplicaAction, ReplicaFacts]

"""Names of the replica chart."""

from dataclasses import dataclass
from enum import StrEnum

from ..model.chart import Chart, Vocabulary
from ..model.placement import ReplicaState


class ReplicaEvent(StrEnum):
    """What can happen to a replica."""

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
    """What the owner of the shard has to do."""

    ORDER_MEMBERS = 'order_members'
    SERVE = 'serve'
    WITHDRAW = 'withdraw'
    RELEASE = 'release'


@dataclass(frozen=True)
class ReplicaFacts:
    """What the guards of the replica chart may ask.

    Parameters
    ----------
    drained
        Nothing runs any more, or the time to drain is over.
    held
        The lease of the shard is held.
    release_tried
        A write may have released the rows.

    """

    drained: bool = False
    held: bool = True
    release_tried: bool = False

    def is_drained(self) -> bool:
        """Return whether a release cuts off no request in progress."""
        return self.drained

    def may_return(self) -> bool:
        """Return whether the rows are sure to name the members still."""
        return not (self.held or self.release_tried)

    def always(self) -> bool:
        """Return true; an internal transition needs a guard or an action."""
        return True


REPLICA_WORDS = Vocabulary(
    ReplicaState, ReplicaEvent, ReplicaAction, ReplicaFacts
)
ReplicaChart = Chart[ReplicaState, ReplicaEvent, ReplicaAction, ReplicaFacts]

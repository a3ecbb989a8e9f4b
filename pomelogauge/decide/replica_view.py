"""What routers learn of a replica."""

from ..model.placement import Replica, ReplicaState, ReplicaView
from .engine_observation import EngineObservation, EngineObservations


def view_of(
    replica: Replica,
    observations: EngineObservations,
    now_s: float,
) -> ReplicaView:
    """Return the view of a replica from its leading member's report.

    An engine that does not say what it bears gets one request at a time.
    """
    leader = replica.members[0].instance
    observation = observations.get(leader, EngineObservation())
    if observation.status is None:
        return ReplicaView(replica, serving=False)
    return ReplicaView(
        replica,
        replica.state == ReplicaState.SERVING,
        observation.status.running,
        max(observation.status.current_capacity, 1),
        max(now_s - observation.polled_at_s, 0),
        observation.status.incarnation,
        observation.status.capacity,
    )

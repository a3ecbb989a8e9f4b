"""What routers learn of a replica."""

from ..model.placement import Replica, ReplicaState, ReplicaView
from .sightings import Sighting, Sightings


def view_of(
    replica: Replica,
    sightings: Sightings,
    now_s: float,
) -> ReplicaView:
    """Return the view of a replica from its leading member's report.

    An engine that does not say what it bears gets one request at a time.
    """
    leader = replica.members[0].instance
    sighting = sightings.get(leader, Sighting())
    if sighting.status is None:
        return ReplicaView(replica, serving=False)
    return ReplicaView(
        replica,
        replica.state == ReplicaState.SERVING,
        sighting.status.running,
        max(sighting.status.current_capacity, 1),
        max(now_s - sighting.seen_at_s, 0),
        sighting.status.incarnation,
        sighting.status.capacity,
    )

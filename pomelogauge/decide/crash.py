"""Tells a crashed target from one that shuts down."""

from ..model.fleet import Fleet, TargetState
from ..model.ids import TargetName

#: Seconds for which the target list must have been read without a gap. A
#: target that shuts down is listed as draining, or removed, at least two
#: seconds before it stops listening, so that a list read for this long shows
#: it.
MIN_STEADY_S = 4.0
#: Longest age in seconds of the newest read of the list: the time that the
#: store may hold a read, and its delay.
MAX_LIST_AGE_S = 2.0


def has_crashed(target: TargetName, fleet: Fleet, now_s: float) -> bool:
    """Return whether a target that refuses connections has crashed.

    A target that shuts down refuses connections too, but goes on with its
    running requests for some seconds. Before it stops listening it is listed
    as draining, or no longer listed. A target that is still listed as ready,
    in a list that is fresh and was read without a gap, has crashed.

    Parameters
    ----------
    target
        Target at whose address nothing listens.
    fleet
        Targets as listed, with the times of the reads.
    now_s
        Current time of the local clock.

    """
    listed = fleet.targets.get(target)
    if listed is None or listed.state is TargetState.DRAINING:
        return False
    is_steady = now_s - fleet.listed_since_s > MIN_STEADY_S
    return is_steady and now_s - fleet.listed_s <= MAX_LIST_AGE_S

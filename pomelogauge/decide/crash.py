"""Decides whether a target that no longer listens has crashed."""

from ..model.fleet import Fleet, TargetState
from ..model.ids import TargetName

#: Seconds for which the list must have been read without a gap. A target
#: that leaves is listed as draining, or removed, at least two seconds before
#: it stops listening.
STEADY_S = 4.0
#: Longest age of the newest read: one held by the store and its delay.
FRESH_S = 2.0


def has_crashed(target: TargetName, fleet: Fleet, now_s: float) -> bool:
    """Return whether a target at whose address nothing listens has crashed.

    One that leaves stops listening too, and works on for seconds. It is
    listed as draining, or not at all, before it does.

    Parameters
    ----------
    target
        The target.
    fleet
        What is known.
    now_s
        Present time of the own clock.

    """
    listed = fleet.targets.get(target)
    if listed is None or listed.state is TargetState.DRAINING:
        return False
    is_steady = now_s - fleet.listed_since_s > STEADY_S
    return is_steady and now_s - fleet.listed_s <= FRESH_S

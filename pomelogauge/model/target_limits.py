"""Rate limits that targets name in their answers."""

from dataclasses import dataclass

from .ids import TargetName


@dataclass(frozen=True)
class TargetLimit:
    """What a target has last said of its rate limit.

    Parameters
    ----------
    target
        Name of the target.
    per_s
        Requests a second that it takes from all entry instances together;
        ``None`` if it names no limit any more.
    age_s
        Seconds since the answer.

    """

    target: TargetName
    per_s: float | None
    age_s: float = 0

"""Tracks the rate limits that targets name in their answers."""

from collections.abc import Container
from dataclasses import dataclass

from ..model.ids import TargetName
from ..model.target_limits import TargetLimit

#: Seconds for which the limit of a target that is not listed is kept: it may be
#: listed again after an outage of the store.
UNLISTED_LIMIT_S = 600.0
#: Seconds for which the end of a limit is kept, as an older word that is still
#: on its way must not bring the limit back.
ENDED_LIMIT_S = 10.0


@dataclass(frozen=True)
class _KnownLimit:
    """A limit and the time of the local clock at which it was named."""

    per_s: float | None
    named_s: float


class TargetLimits:
    """The newest word of each target on its limit; used by one task.

    A target that has never named a limit has no entry. One that has ended its
    limit keeps an entry for some time.
    """

    def __init__(self) -> None:
        """Start without limits."""
        self._limits: dict[TargetName, _KnownLimit] = {}

    def record(self, limit: TargetLimit, now_s: float) -> bool:
        """Record a limit unless a newer one is known.

        Returns
        -------
        bool
            Whether the limit of the target has changed.

        """
        known = self._limits.get(limit.target)
        new = _KnownLimit(limit.per_s, now_s - limit.age_s)
        if known is None:
            if new.per_s is None:
                return False
        elif new.named_s < known.named_s:
            return False
        elif new.per_s is None and _has_ended(known, now_s):
            self._limits.pop(limit.target)
            return False
        self._limits[limit.target] = new
        return known is None or known.per_s != new.per_s

    def per_s(self, target: TargetName) -> float | None:
        """Return the limit of a target; ``None`` if it has none."""
        known = self._limits.get(target)
        return None if known is None else known.per_s

    def is_known(self, target: TargetName) -> bool:
        """Return whether a target has a limit, or had one shortly before."""
        return target in self._limits

    def current(self, now_s: float) -> tuple[TargetLimit, ...]:
        """Return all limits and their ends as of the present time."""
        return tuple(
            TargetLimit(name, known.per_s, now_s - known.named_s)
            for name, known in self._limits.items()
        )

    def newer_than(
        self, other: 'TargetLimits', now_s: float
    ) -> tuple[TargetLimit, ...]:
        """Return the limits that others know differently, from an older word.

        Parameters
        ----------
        other
            What the others know.
        now_s
            Current time of the local clock.

        """
        return tuple(
            limit for limit in self.current(now_s) if other.lacks(limit, now_s)
        )

    def lacks(self, limit: TargetLimit, now_s: float) -> bool:
        """Return whether ``record`` would change the limit of the target."""
        known = self._limits.get(limit.target)
        if known is None:
            return limit.per_s is not None
        if known.per_s == limit.per_s:
            return False
        return now_s - limit.age_s >= known.named_s

    def forget_old(self, listed: Container[TargetName], now_s: float) -> None:
        """Forget ended limits and those of targets that are long gone.

        Parameters
        ----------
        listed
            Targets that are listed now.
        now_s
            Current time of the local clock.

        """
        self._limits = {
            name: known
            for name, known in self._limits.items()
            if not _has_ended(known, now_s)
            and (name in listed or now_s - known.named_s <= UNLISTED_LIMIT_S)
        }


def _has_ended(known: _KnownLimit, now_s: float) -> bool:
    """Return whether a limit ended so long ago that it need not be kept."""
    return known.per_s is None and now_s - known.named_s > ENDED_LIMIT_S

"""Decides which suspected targets all entry instances are told of.

Answers the load pattern of a group that stands still: each of many instances
sends it a few requests, and without the others' reports each would lose some
before it avoids the group.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from ..model.ids import NodeName, TargetName
from .eligible_targets import EligibleTarget

#: Instances that must suspect a target before all others avoid it. One alone
#: may have a fault of its own.
MIN_REPORTERS = 2
#: Seconds within which their reports must come.
REPORT_WINDOW_S = 1.0
#: Seconds for which a target that instances suspect is told to others.
SUSPECT_S = 1.0
#: Largest part of the targets of a model that is avoided for the reports of
#: other instances. Under overload many targets are slow, and the others would
#: get too much if all of those were avoided.
MAX_AVOIDED_SHARE = 0.25


@dataclass(frozen=True)
class _Report:
    """An instance that suspects a target, and when it said so."""

    reporter: NodeName
    target: TargetName
    at_s: float


class SuspicionTally:
    """Counts how many instances suspect each target; used by one task."""

    def __init__(self) -> None:
        """Start without reports."""
        self._reports: tuple[_Report, ...] = ()

    def record(
        self,
        reporter: NodeName,
        targets: Iterable[TargetName],
        now_s: float,
    ) -> frozenset[TargetName]:
        """Record the suspects of one instance.

        Parameters
        ----------
        reporter
            The instance.
        targets
            Targets that it suspects.
        now_s
            Current time of the local clock.

        Returns
        -------
        frozenset
            Those of the targets that enough instances suspect now.

        """
        named = frozenset(targets)
        recent = tuple(
            report
            for report in self._reports
            if report.at_s > now_s - REPORT_WINDOW_S
        )
        new = tuple(_Report(reporter, target, now_s) for target in named)
        self._reports = recent + new
        return frozenset(
            target
            for target in named
            if len(self._reporters(target)) >= MIN_REPORTERS
        )

    def _reporters(self, target: TargetName) -> frozenset[NodeName]:
        return frozenset(
            report.reporter
            for report in self._reports
            if report.target == target
        )


class SuspectList:
    """Targets that others are told of now; used by one task."""

    def __init__(self) -> None:
        """Start without targets."""
        self._until: dict[TargetName, float] = {}
        #: Time at which the newest target was added.
        self.last_added_s = float('-inf')

    def add(self, targets: frozenset[TargetName], now_s: float) -> bool:
        """Add targets; return whether any of them is new."""
        known = self.current(now_s)
        added = targets - known
        if not added:
            return False
        kept = {name: self._until[name] for name in known}
        self._until = kept | dict.fromkeys(added, now_s + SUSPECT_S)
        self.last_added_s = now_s
        return True

    def current(self, now_s: float) -> frozenset[TargetName]:
        """Return the targets that were added lately."""
        return frozenset(
            name for name, until_s in self._until.items() if now_s < until_s
        )


def may_avoid(
    candidates: Sequence[EligibleTarget], avoided: frozenset[TargetName]
) -> bool:
    """Return whether one more target of a model may be avoided.

    Parameters
    ----------
    candidates
        Eligible targets of the model.
    avoided
        Targets that are avoided already.

    """
    count = sum(candidate.target.name in avoided for candidate in candidates)
    return count + 1 <= MAX_AVOIDED_SHARE * len(candidates)

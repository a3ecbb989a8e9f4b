"""The evidence against one part of prompts, as the owner holds it."""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace

from ..model.fleet import Target
from ..model.ids import NodeName, PromptPart, TargetName
from ..model.prompt_parts import PartCrash
from .prompt_part_chart import PartFacts, PartState

#: Crashes under a part from which on other instances are told of it.
SUSPICIOUS_CRASHES = 2
#: Instances that must have lost answers with a part before a crash counts that
#: nothing else shows: one instance may lose its connections to sound targets.
MIN_REPORTERS = 2
#: Seconds within which losses at one target are one crash, however often they
#: are reported; a target takes longer to come back.
CRASH_SPAN_S = 2.5
#: Seconds within which several crashes are of one moment.
MOMENT_S = 0.2
#: Seconds after the last crash for which a part is suspected, and quarantined.
SUSPICION_S = 120.0
QUARANTINE_S = 3600.0
#: Target of the crashes that another owner has judged.
_UNKNOWN = TargetName('')


@dataclass(frozen=True)
class Surroundings:
    """What the owner knows beside the reports of crashes.

    Parameters
    ----------
    targets
        Targets as listed.
    instances
        Number of living entry instances.

    """

    targets: Mapping[TargetName, Target]
    instances: int

    def has_restarted(self, crash: PartCrash) -> bool:
        """Return whether the target is listed with a later start."""
        listed = self.targets.get(crash.target)
        return listed is not None and listed.started_at_ms > crash.started_at_ms

    def are_enough(self, reporters: frozenset[NodeName]) -> bool:
        """Return whether crashes count that these instances report."""
        return len(reporters) >= min(MIN_REPORTERS, self.instances)


@dataclass(frozen=True)
class _Crash:
    """A target that crashed under a part, and when."""

    crash: PartCrash
    at_s: float

    @property
    def target(self) -> TargetName:
        """The target."""
        return self.crash.target

    def is_same(self, crash: PartCrash, at_s: float) -> bool:
        """Return whether another report is of this crash."""
        return (
            self.target == crash.target and abs(at_s - self.at_s) < CRASH_SPAN_S
        )


@dataclass(frozen=True)
class PartCase:
    """What is known of one part that has not been cleared.

    Parameters
    ----------
    state
        State of its chart.
    crashes
        Crashes under it since it was last served.
    told_s
        Time since which the instances know of it; infinite if they don't.
    served_s
        Time at which the latest answer began that was served wholly, or for
        some time.
    reporters
        Instances that have lost answers with it.

    """

    state: PartState
    crashes: tuple[_Crash, ...] = ()
    told_s: float = math.inf
    served_s: float = -math.inf
    reporters: frozenset[NodeName] = frozenset()

    @classmethod
    def restored(cls, part: PromptPart, now_s: float) -> 'PartCase':
        """Return a part that another owner has quarantined."""
        crash = _Crash(PartCrash(part, _UNKNOWN, 0), now_s)
        return cls(PartState.QUARANTINED, (crash,), now_s)

    def with_crash(
        self, crash: PartCrash, reporter: NodeName, now_s: float
    ) -> 'PartCase':
        """Add a crash unless it was reported before."""
        at_s = now_s - crash.age_s
        if at_s <= self.served_s:
            return self
        after = replace(self, reporters=self.reporters | {reporter})
        for known in self.crashes:
            if known.is_same(crash, at_s):
                return after._with_later_report(known, crash)
        crashes = (*after.crashes, _Crash(crash, at_s))
        told_s = self.told_s
        if len(crashes) >= SUSPICIOUS_CRASHES:
            told_s = min(told_s, now_s)
        return replace(after, crashes=crashes, told_s=told_s)

    def _with_later_report(self, known: _Crash, crash: PartCrash) -> 'PartCase':
        if known.crash.others_answered or not crash.others_answered:
            return self
        later = _Crash(crash, known.at_s)
        crashes = [later if one is known else one for one in self.crashes]
        return replace(self, crashes=tuple(crashes))

    def with_service(self, at_s: float) -> 'PartCase':
        """Forget the crashes before an answer that shows the part sound."""
        crashes = tuple(crash for crash in self.crashes if crash.at_s > at_s)
        is_told = crashes == self.crashes or len(crashes) >= SUSPICIOUS_CRASHES
        return replace(
            self,
            crashes=crashes,
            told_s=self.told_s if is_told else math.inf,
            served_s=max(self.served_s, at_s),
        )

    def is_cleared(self) -> bool:
        """Return whether no crash is known since the part was served.

        A part without crashes was suspected by another owner.
        """
        return not self.crashes and not (
            self.is_told() and self.served_s < self.told_s
        )

    def facts(
        self,
        most_crashes: Mapping[TargetName, int],
        surroundings: Surroundings,
        *,
        is_settled: bool,
    ) -> PartFacts:
        """Return the facts for the guards of the chart.

        Parameters
        ----------
        most_crashes
            For each target, the crashes under that of its parts which has
            most. A crash is laid to that part alone.
        surroundings
            What else shows that targets have crashed.
        is_settled
            All instances could say that they have served the part.

        """
        is_confirmed = surroundings.are_enough(self.reporters)
        was_served = math.isfinite(self.served_s)
        counted = [
            known
            for known in self.crashes
            if most_crashes[known.target] <= len(self.crashes)
            and (is_confirmed or surroundings.has_restarted(known.crash))
            and (known.crash.others_answered or not was_served)
        ]
        others_answered = any(known.crash.others_answered for known in counted)
        is_doubtful = was_served or not others_answered
        return PartFacts(
            len(counted),
            len({known.target for known in counted}),
            _count_moments(known.at_s for known in counted),
            is_doubtful=is_doubtful and not self._is_restored(),
            is_settled=is_settled,
        )

    def _is_restored(self) -> bool:
        return any(known.target == _UNKNOWN for known in self.crashes)

    def is_told(self) -> bool:
        """Return whether other instances are told of the part."""
        return math.isfinite(self.told_s)

    def is_over(self, now_s: float) -> bool:
        """Return whether the last crash is too long ago."""
        is_suspected = self.state is PartState.SUSPECTED
        life_s = SUSPICION_S if is_suspected else QUARANTINE_S
        latest_s = max(
            (crash.at_s for crash in self.crashes), default=self.told_s
        )
        return now_s - latest_s > life_s


def _count_moments(times_s: Iterable[float]) -> int:
    """Return the number of times, without those soon after another one."""
    count = 0
    latest_s = -math.inf
    for at_s in sorted(times_s):
        if at_s - latest_s >= MOMENT_S:
            count += 1
            latest_s = at_s
    return count

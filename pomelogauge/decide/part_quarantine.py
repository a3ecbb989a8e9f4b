"""Finds parts of prompts that crash each target that answers them.

Answers the load pattern of a query of death: requests that have a part in
common come at all instances and crash one target after the other, and each
crash takes the requests with it that the target answered beside them. All of
their parts are suspected; the sound ones are cleared by requests that are
served.
"""

import math
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, replace

from ..model.chart import Chart
from ..model.fleet import Target
from ..model.ids import NodeName, PromptPart, TargetName
from ..model.prompt_parts import PartCrash, PartService, PartVerdicts
from .prompt_part_chart import PartAction, PartEvent, PartFacts, PartState

PartChart = Chart[PartState, PartEvent, PartAction, PartFacts]

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
#: Cases that are kept, the newest ones: of parts with one crash, of suspected
#: parts that other instances are told of, and of quarantined parts.
MAX_CASES = 512

#: Target of the crashes that another owner has judged.
_UNKNOWN = TargetName('')
_NO_FACTS = PartFacts(0, 0, 0, is_doubtful=False, is_settled=False)


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
class _Case:
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
        Time at which the latest answer began that was served wholly.
    reporters
        Instances that have lost answers with it.

    """

    state: PartState
    crashes: tuple[_Crash, ...] = ()
    told_s: float = math.inf
    served_s: float = -math.inf
    reporters: frozenset[NodeName] = frozenset()

    def with_crash(
        self, crash: PartCrash, reporter: NodeName, now_s: float
    ) -> '_Case':
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

    def _with_later_report(self, known: _Crash, crash: PartCrash) -> '_Case':
        if known.crash.others_answered or not crash.others_answered:
            return self
        later = _Crash(crash, known.at_s)
        crashes = [later if one is known else one for one in self.crashes]
        return replace(self, crashes=tuple(crashes))

    def with_service(self, at_s: float) -> '_Case':
        """Forget the crashes before an answer that was served wholly."""
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


class PartQuarantine:
    """Parts that are suspected or quarantined; used by one task.

    Parameters
    ----------
    chart
        The prompt part chart.

    """

    def __init__(self, chart: PartChart) -> None:
        """Start without suspicion."""
        self._chart = chart
        self._cases: dict[PromptPart, _Case] = {}

    def restore(self, parts: Iterable[PromptPart], now_s: float) -> None:
        """Quarantine parts that were quarantined by another owner."""
        for part in parts:
            crash = _Crash(PartCrash(part, _UNKNOWN, 0), now_s)
            self._cases[part] = _Case(PartState.QUARANTINED, (crash,), now_s)

    def suspect(self, parts: Iterable[PromptPart], told_s: float) -> None:
        """Suspect parts that another owner told the instances of.

        Parameters
        ----------
        parts
            Parts whose crashes are still to be reported.
        told_s
            Time of the local clock since which the instances know of them.

        """
        suspected = _Case(PartState.SUSPECTED, told_s=told_s)
        for part in parts:
            self._cases[part] = suspected

    def record_crashes(
        self,
        crashes: Iterable[PartCrash],
        reporter: NodeName,
        now_s: float,
    ) -> None:
        """Record targets that were lost while they answered parts.

        Parameters
        ----------
        crashes
            Parts that the reporting instance has not served since.
        reporter
            The instance.
        now_s
            Present time of the local clock.

        """
        for crash in sorted(crashes):
            case = self._cases.pop(crash.part, _Case(PartState.SUSPECTED))
            self._cases[crash.part] = case.with_crash(crash, reporter, now_s)
        self._keep_newest(self._suspected(is_told=False))
        self._keep_newest(self._suspected(is_told=True))

    def record_served(
        self, services: Iterable[PartService], now_s: float
    ) -> None:
        """Clear parts that were served since the last crash."""
        for service in services:
            case = self._cases.get(service.part)
            if case is None:
                continue
            case = case.with_service(now_s - service.age_s)
            self._cases[service.part] = case
            if case.is_cleared():
                self._step(service.part, PartEvent.SERVED, _NO_FACTS)

    def verdicts(
        self, settle_s: float, surroundings: Surroundings, now_s: float
    ) -> PartVerdicts:
        """Return the parts that are suspected and quarantined now.

        Parameters
        ----------
        settle_s
            Seconds within which all instances learn of a suspected part and
            say whether they have served it.
        surroundings
            What else shows that targets have crashed.
        now_s
            Present time of the local clock.

        """
        most_crashes = self._most_crashes()
        for part, case in tuple(self._cases.items()):
            event = (
                PartEvent.EXPIRED if case.is_over(now_s) else PartEvent.CHECKED
            )
            is_settled = now_s - case.told_s >= settle_s
            facts = case.facts(
                most_crashes, surroundings, is_settled=is_settled
            )
            self._step(part, event, facts)
        self._keep_newest(self._quarantined())
        return PartVerdicts(
            self._told(PartState.SUSPECTED), self._told(PartState.QUARANTINED)
        )

    def _most_crashes(self) -> dict[TargetName, int]:
        most: dict[TargetName, int] = {}
        for case in self._cases.values():
            count = len(case.crashes)
            for crash in case.crashes:
                most[crash.target] = max(count, most.get(crash.target, 0))
        return most

    def _suspected(self, *, is_told: bool) -> tuple[PromptPart, ...]:
        return tuple(
            part
            for part, case in self._cases.items()
            if case.state is PartState.SUSPECTED and case.is_told() is is_told
        )

    def _quarantined(self) -> tuple[PromptPart, ...]:
        return tuple(
            part
            for part, case in self._cases.items()
            if case.state is PartState.QUARANTINED
        )

    def _keep_newest(self, parts: Sequence[PromptPart]) -> None:
        for part in parts[:-MAX_CASES]:
            self._cases.pop(part)

    def _told(self, state: PartState) -> frozenset[PromptPart]:
        return frozenset(
            part
            for part, case in self._cases.items()
            if case.state is state and case.is_told()
        )

    def _step(
        self, part: PromptPart, event: PartEvent, facts: PartFacts
    ) -> None:
        case = self._cases[part]
        move = self._chart.step(case.state, event, facts)
        if move.state in self._chart.final:
            self._cases.pop(part)
        else:
            self._cases[part] = replace(case, state=move.state)


def _count_moments(times_s: Iterable[float]) -> int:
    """Return the number of times, without those soon after another one."""
    count = 0
    latest_s = -math.inf
    for at_s in sorted(times_s):
        if at_s - latest_s >= MOMENT_S:
            count += 1
            latest_s = at_s
    return count

"""Finds parts of prompts that crash each target that answers them.

Answers the load pattern of a query of death: requests that have a part in
common come at all instances and crash one target after the other, and each
crash takes the requests with it that the target answered beside them. All of
their parts are suspected; the sound ones are cleared by requests that are
served.
"""

from collections.abc import Iterable, Sequence
from dataclasses import replace

from ..model.chart import Chart
from ..model.ids import NodeName, PromptPart, TargetName
from ..model.prompt_parts import PartCrash, PartService, PartVerdicts
from .part_case import PartCase, Surroundings
from .prompt_part_chart import PartAction, PartEvent, PartFacts, PartState

PartChart = Chart[PartState, PartEvent, PartAction, PartFacts]

#: Cases that are kept, the newest ones: of parts with one crash, of suspected
#: parts that other instances are told of, and of quarantined parts.
MAX_CASES = 512

_NO_FACTS = PartFacts(0, 0, 0, is_doubtful=False, is_settled=False)


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
        self._cases: dict[PromptPart, PartCase] = {}

    def restore(self, parts: Iterable[PromptPart], now_s: float) -> None:
        """Quarantine parts that were quarantined by another owner."""
        for part in parts:
            self._cases[part] = PartCase.restored(part, now_s)

    def suspect(self, parts: Iterable[PromptPart], told_s: float) -> None:
        """Suspect parts that another owner told the instances of.

        Parameters
        ----------
        parts
            Parts whose crashes are still to be reported.
        told_s
            Time of the local clock since which the instances know of them.

        """
        suspected = PartCase(PartState.SUSPECTED, told_s=told_s)
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
            case = self._cases.pop(crash.part, PartCase(PartState.SUSPECTED))
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

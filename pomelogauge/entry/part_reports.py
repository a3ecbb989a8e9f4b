"""What the membership task exchanges with the owner on parts of prompts."""

import math
from dataclasses import dataclass

from ..charts.reader import load_chart
from ..decide.part_case import Surroundings
from ..decide.part_quarantine import PartQuarantine
from ..decide.prompt_part_chart import PART_WORDS
from ..decide.report_interval import report_interval_s
from ..model.ids import NodeName, PromptPart
from ..model.log_parts import Part
from ..model.prompt_parts import (
    PartCrash,
    PartEvidence,
    PartService,
    PartVerdicts,
)
from ..tasks.log import part_logger
from ..tasks.mailbox import Outbox
from .messages import PartsJudged

#: Seconds beyond a report interval in which an instance that learns of a
#: suspected part answers that it has served it.
ANSWER_DELAY_S = 0.25
#: Seconds between two judgements of the owner without new evidence, as each
#: goes through all suspected parts.
JUDGEMENT_INTERVAL_S = 0.1
#: Pieces of evidence in one report at most, so that a report stays small when
#: many targets are lost at once; the next reports have the others.
MAX_EVIDENCE = 64
#: Seconds for which evidence is kept for the next owner, and how many messages
#: of it, the newest ones.
RECENT_S = 10.0
MAX_RECENT = 256

_log = part_logger(Part.REQUEST)


@dataclass(frozen=True)
class _SeenEvidence:
    """Evidence of this instance and its time."""

    evidence: PartEvidence
    at_s: float


@dataclass(frozen=True)
class ReceivedEvidence:
    """Evidence in the report of one instance."""

    reporter: NodeName
    evidence: PartEvidence


class PartReports:
    """Evidence for the owner, and the verdicts of the owner.

    Used by the membership task. On the owner it also judges the evidence of
    all instances.
    """

    def __init__(self) -> None:
        """Start without evidence."""
        self._chart = load_chart('prompt_part', PART_WORDS)
        self._listeners: tuple[Outbox[PartsJudged], ...] = ()
        self._pending = PartEvidence()
        self._pending_s = 0.0
        self._recent: tuple[_SeenEvidence, ...] = ()
        self._reported_term = 0
        self._quarantine = PartQuarantine(self._chart)
        self._term = 0
        self._next_judgement_s = -math.inf
        self._verdicts = PartVerdicts()

    def share_with(self, *listeners: Outbox[PartsJudged]) -> None:
        """Set who learns of new verdicts."""
        self._listeners = listeners

    def record(self, evidence: PartEvidence, now_s: float) -> None:
        """Record what this instance has seen, for the next report."""
        self.add(evidence, now_s)
        self._recent = tuple(
            seen for seen in self._recent if now_s - seen.at_s <= RECENT_S
        )[1 - MAX_RECENT :]
        self._recent = (*self._recent, _SeenEvidence(evidence, now_s))

    def repeat_for(self, term: int, now_s: float) -> None:
        """Add the latest evidence once more if the owner's term is a new one.

        What its predecessor had of it is lost.
        """
        if term == self._reported_term:
            return
        self._reported_term = term
        for seen in self._recent:
            if now_s - seen.at_s <= RECENT_S:
                self.add(seen.evidence.aged(now_s - seen.at_s), now_s)

    def add(self, evidence: PartEvidence, now_s: float) -> None:
        """Add evidence, as of the present time, to the next report."""
        self._pending = self._pending.aged(now_s - self._pending_s) | evidence
        self._pending_s = now_s

    def has_suspicion(self) -> bool:
        """Return whether a part is suspected now."""
        return bool(self._verdicts.suspected)

    def take(self, now_s: float) -> PartEvidence:
        """Return the newest evidence for the next report, and forget it."""
        pending = self._pending.aged(now_s - self._pending_s)
        crashes = sorted(pending.crashes, key=_age_s)
        served = sorted(pending.served, key=_age_s)
        self._pending_s = now_s
        self._pending = PartEvidence(
            frozenset(crashes[MAX_EVIDENCE:]), frozenset(served[MAX_EVIDENCE:])
        )
        return PartEvidence(
            frozenset(crashes[:MAX_EVIDENCE]), frozenset(served[:MAX_EVIDENCE])
        )

    def judge(
        self,
        received: ReceivedEvidence,
        term: int,
        surroundings: Surroundings,
        now_s: float,
    ) -> PartVerdicts:
        """Add evidence of one instance and return the owner's verdicts.

        Parameters
        ----------
        received
            From a report of any instance, this one included.
        term
            Term in which this instance is the owner. In a new term it starts
            with the parts that its predecessor had quarantined or suspected.
        surroundings
            What else shows that targets have crashed.
        now_s
            Present time of the local clock.

        """
        if term != self._term:
            self._term = term
            self._quarantine = PartQuarantine(self._chart)
            self._quarantine.restore(self._verdicts.quarantined, now_s)
            # The instances repeat within a report interval what they answered.
            told_s = now_s - ANSWER_DELAY_S
            self._quarantine.suspect(self._verdicts.suspected, told_s)
            self._next_judgement_s = now_s
        evidence = received.evidence
        if evidence == PartEvidence() and now_s < self._next_judgement_s:
            return self._verdicts
        self._next_judgement_s = now_s + JUDGEMENT_INTERVAL_S
        self._quarantine.record_crashes(
            evidence.crashes, received.reporter, now_s
        )
        self._quarantine.record_served(evidence.served, now_s)
        settle_s = report_interval_s(surroundings.instances) + ANSWER_DELAY_S
        self.follow(self._quarantine.verdicts(settle_s, surroundings, now_s))
        return self._verdicts

    def restore(self, parts: frozenset[PromptPart], now_s: float) -> None:
        """Quarantine parts that an earlier owner had stored."""
        self._quarantine.restore(parts, now_s)
        known = self._verdicts
        self.follow(
            PartVerdicts(known.suspected - parts, known.quarantined | parts)
        )

    def follow(self, verdicts: PartVerdicts) -> None:
        """Take over verdicts and notify the listeners of changes."""
        if verdicts == self._verdicts:
            return
        _log.info(
            'suspected parts of prompts: %s, quarantined: %s',
            len(verdicts.suspected),
            len(verdicts.quarantined),
            extra={
                'suspected': sorted(verdicts.suspected)[:MAX_EVIDENCE],
                'quarantined': sorted(verdicts.quarantined)[:MAX_EVIDENCE],
            },
        )
        self._verdicts = verdicts
        for listener in self._listeners:
            listener.post(PartsJudged(verdicts))


def _age_s(seen: PartCrash | PartService) -> float:
    return seen.age_s

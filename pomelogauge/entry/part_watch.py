"""The task that watches under which parts of prompts targets crash."""

import math

from ..decide.served_parts import ServedParts
from ..model.ids import PromptPart
from ..model.prompt_parts import PartEvidence, PartVerdicts
from ..tasks.clock import Clock
from ..tasks.mailbox import Outbox
from .messages import (
    AnswerLost,
    AnswerUnderWay,
    PartMessage,
    PartsJudged,
    PartsServed,
)

#: Least seconds between two checks of what is known of lost parts, as a check
#: goes through all of them.
MIN_CHECK_INTERVAL_S = 0.1


class PartWatch:
    """Tells the owner what the requests of this instance show of parts.

    A part that was served lately is not named for one lost answer, so that
    few parts are.

    Parameters
    ----------
    membership
        The membership task, which reports to the owner.
    clock
        Local clock.

    """

    def __init__(self, membership: Outbox[PartEvidence], clock: Clock) -> None:
        """Start without knowledge of any part."""
        self._membership = membership
        self._clock = clock
        self._parts = ServedParts()
        self._verdicts = PartVerdicts()
        self._asked: frozenset[PromptPart] = frozenset()
        self._is_due = False
        self._next_s = -math.inf

    def on_start(self) -> None:
        """Do nothing; this task owns no connection."""

    def on_message(self, message: PartMessage) -> None:
        """Record an answer, or the owner's suspicion."""
        now_s = self._clock.now_s()
        self._is_due = True
        match message:
            case AnswerLost():
                self._parts.record_lost(
                    message.parts, message.destination, now_s
                )
            case AnswerUnderWay():
                self._parts.record_under_way(
                    message.parts, message.began_s, now_s
                )
                self._asked |= self._accused().intersection(message.parts)
            case PartsServed():
                self._parts.record_served(message.parts, message.began_s, now_s)
                self._asked |= self._accused().intersection(message.parts)
            case PartsJudged():
                self._verdicts = message.verdicts
                self._asked = self._accused()

    def on_timer(self) -> float | None:
        """Report what is new, with some time between two reports.

        Returns
        -------
        float or None
            Seconds until the next report; ``None`` if nothing is new.

        """
        if not self._is_due:
            return None
        now_s = self._clock.now_s()
        if now_s < self._next_s:
            return self._next_s - now_s
        self._report(now_s)
        self._is_due = False
        self._asked = frozenset()
        self._next_s = now_s + MIN_CHECK_INTERVAL_S
        return None

    def on_stop(self) -> None:
        """Do nothing; this task owns no connection."""

    def _report(self, now_s: float) -> None:
        """Report new crashes, and whether parts were served."""
        evidence = PartEvidence(
            self._parts.take_crashes(self._accused(), now_s),
            self._parts.services(self._asked, now_s),
        )
        if evidence != PartEvidence():
            self._membership.post(evidence)

    def _accused(self) -> frozenset[PromptPart]:
        return self._verdicts.suspected | self._verdicts.quarantined

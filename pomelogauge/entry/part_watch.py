"""The task that watches under which parts of prompts targets crash."""

from ..decide.served_parts import ServedParts
from ..model.ids import PromptPart
from ..model.prompt_parts import PartEvidence, PartVerdicts
from ..tasks.clock import Clock
from ..tasks.mailbox import Outbox
from .messages import (
    AnswerLost,
    PartMessage,
    PartsJudged,
    PartsServed,
)


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

    def on_start(self) -> None:
        """Do nothing; this task owns no connection."""

    def on_message(self, message: PartMessage) -> None:
        """Record an answer, or answer to the owner's suspicion."""
        now_s = self._clock.now_s()
        match message:
            case AnswerLost():
                self._parts.record_lost(
                    message.parts, message.destination, now_s
                )
                self._report(frozenset())
            case PartsServed():
                self._parts.record_served(message.parts, message.began_s, now_s)
                self._report(self._accused().intersection(message.parts))
            case PartsJudged():
                self._verdicts = message.verdicts
                self._report(self._accused())

    def on_timer(self) -> float | None:
        """Return ``None``: the task only waits for messages."""
        return None

    def on_stop(self) -> None:
        """Do nothing; this task owns no connection."""

    def _report(self, asked: frozenset[PromptPart]) -> None:
        """Report new crashes, and whether parts were served."""
        now_s = self._clock.now_s()
        evidence = PartEvidence(
            self._parts.take_crashes(self._accused(), now_s),
            self._parts.services(asked, now_s),
        )
        if evidence != PartEvidence():
            self._membership.post(evidence)

    def _accused(self) -> frozenset[PromptPart]:
        return self._verdicts.suspected | self._verdicts.quarantined

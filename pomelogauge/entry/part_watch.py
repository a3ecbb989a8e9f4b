"""The task that watches under which parts of prompts targets crash."""

from ..decide.served_parts import ServedParts
from ..model.prompt_parts import PartCrash, PartEvidence, PartVerdicts
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

    A part that was served lately is not named when a target is lost, so that
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
        self._served = ServedParts()
        self._verdicts = PartVerdicts()

    def on_start(self) -> None:
        """Do nothing; this task owns no connection."""

    def on_message(self, message: PartMessage) -> None:
        """Record a part, or answer to the owner's suspicion."""
        match message:
            case AnswerLost():
                self._record_loss(message)
            case PartsServed():
                self._served.record(message.parts, self._clock.now_s())
                self._report_served()
            case PartsJudged():
                self._verdicts = message.verdicts
                self._report_served()

    def on_timer(self) -> float | None:
        """Return ``None``: the task only waits for messages."""
        return None

    def on_stop(self) -> None:
        """Do nothing; this task owns no connection."""

    def _record_loss(self, lost: AnswerLost) -> None:
        served = self._served.among(lost.parts, self._clock.now_s())
        crashes = frozenset(
            PartCrash(
                part, lost.destination.target, lost.destination.started_at_ms
            )
            for part in lost.parts
            if part not in served
        )
        if crashes:
            self._membership.post(PartEvidence(crashes=crashes))

    def _report_served(self) -> None:
        accused = self._verdicts.suspected | self._verdicts.quarantined
        served = self._served.among(accused, self._clock.now_s())
        if served:
            self._membership.post(PartEvidence(served=served))

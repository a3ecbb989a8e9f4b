"""Which targets several instances suspect, as their reports to the owner say."""

from ..decide.shared_suspicion import SuspicionTally
from ..model.ids import NodeName, TargetName
from ..model.log_parts import Part
from ..tasks.log import part_logger
from ..tasks.mailbox import Outbox
from .messages import SuspectsShared

_log = part_logger(Part.ENTRY)


class SuspectReports:
    """Counts suspects on the owner; used by the membership task."""

    def __init__(self) -> None:
        """Start without suspects."""
        self._tally = SuspicionTally()
        self._listeners: tuple[Outbox[SuspectsShared], ...] = ()

    def share_with(self, *listeners: Outbox[SuspectsShared]) -> None:
        """Set who learns of targets that several instances suspect."""
        self._listeners = listeners

    def collect(
        self,
        reporter: NodeName,
        suspects: frozenset[TargetName],
        now_s: float,
    ) -> None:
        """Take in the suspects that a report has brought."""
        shared = self._tally.record(reporter, suspects, now_s)
        if not shared:
            return
        _log.info(
            'several instances suspect targets: %s',
            sorted(shared),
            extra={'last_reporter': reporter},
        )
        for listener in self._listeners:
            listener.post(SuspectsShared(shared))

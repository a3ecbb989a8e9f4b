"""The phase of a router, which a late confirmation changes at once."""

import math

from ..model.peers import NodePhase


class ConfirmedPhase:
    """Holds the phase that was told and until when it is confirmed.

    Owned by the dispatcher. A process that was paused asks here before it
    has read any message, so that it takes no work under an old version.
    """

    def __init__(self) -> None:
        """Start unconfirmed, as the process does."""
        self._reported_phase = NodePhase.STARTING
        self._confirmed_until_s = math.inf

    def set_phase(self, phase: NodePhase) -> None:
        """Take a phase; a process that leaves stays leaving."""
        if self._reported_phase is not NodePhase.LEAVING:
            self._reported_phase = phase

    def set_confirmed_until(self, until_s: float) -> None:
        """Take until when the version in force is confirmed."""
        self._confirmed_until_s = until_s

    def phase_at(self, now_s: float) -> NodePhase:
        """Return the phase at a time of the own clock."""
        if (
            self._reported_phase is NodePhase.READY
            and now_s > self._confirmed_until_s
        ):
            return NodePhase.CUT_OFF
        return self._reported_phase

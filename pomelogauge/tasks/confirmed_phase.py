"""The phase of a router, cut off as soon as its confirmation expires."""

import math

from ..model.phase import NodePhase


class ConfirmedPhase:
    """Combines the reported phase with the time until which it is confirmed.

    Part of the dispatcher's task. A process that was paused evaluates the
    phase before it reads its messages, so that it accepts no work under a
    configuration that may have been replaced meanwhile.
    """

    def __init__(self) -> None:
        """Start in phase ``STARTING``, which needs no confirmation."""
        self._reported_phase = NodePhase.STARTING
        self._confirmed_until_s = math.inf

    def set_phase(self, phase: NodePhase) -> None:
        """Set the reported phase; ``LEAVING`` is final."""
        if self._reported_phase is not NodePhase.LEAVING:
            self._reported_phase = phase

    def set_confirmed_until(self, until_s: float) -> None:
        """Set when the confirmation of the version in force expires."""
        self._confirmed_until_s = until_s

    def phase_at(self, now_s: float) -> NodePhase:
        """Return the phase at a time of this process's monotonic clock."""
        if (
            self._reported_phase is NodePhase.READY
            and now_s > self._confirmed_until_s
        ):
            return NodePhase.CUT_OFF
        return self._reported_phase

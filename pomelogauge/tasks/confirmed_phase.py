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
        self._told = NodePhase.STARTING
        self._until_s = math.inf

    def tell(self, phase: NodePhase) -> None:
        """Take a phase; a process that leaves stays leaving."""
        if self._told is not NodePhase.LEAVING:
            self._told = phase

    def confirm(self, until_s: float) -> None:
        """Take until when the version in force is confirmed."""
        self._until_s = until_s

    def at(self, now_s: float) -> NodePhase:
        """Return the phase at a time of the own clock."""
        if self._told is NodePhase.READY and now_s > self._until_s:
            return NodePhase.CUT_OFF
        return self._told

"""Publishes the phase of the process for its monitoring."""

from ..model.peers import NodePhase
from .messages import PhaseChanged
from .published import Published


class PhasePublisher:
    """Takes phases as they change; only its poster writes."""

    def __init__(self, published: Published[NodePhase]) -> None:
        """Take where the phase is published."""
        self._published = published

    def post(self, message: PhaseChanged) -> None:
        """Publish a phase."""
        self._published.publish(message.phase)

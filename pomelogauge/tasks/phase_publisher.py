"""Publishes the phase of the process for its health checks."""

from ..model.phase import NodePhase
from .published import Published
from .shutdown_messages import PhaseChanged


class PhasePublisher:
    """Outbox that publishes each phase it receives.

    Only one task may post to it, as a published record has one writer.

    Parameters
    ----------
    published
        Reference in which the phase is published.

    """

    def __init__(self, published: Published[NodePhase]) -> None:
        """Start with the phase that is already published."""
        self._published = published

    def post(self, message: PhaseChanged) -> None:
        """Publish the new phase."""
        self._published.publish(message.phase)

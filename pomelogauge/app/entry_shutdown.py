"""Tells the other tasks of an entry instance that it shuts down."""

from ..entry.messages import InstanceLeaving
from ..model.log_parts import Part
from ..tasks.log import part_logger
from ..tasks.mailbox import Outbox
from ..tasks.published import Published
from ..tasks.shutdown_messages import PhaseChanged

_log = part_logger(Part.ENTRY)


class ShutdownNotifier:
    """Marks this instance as leaving once its shutdown begins."""

    def __init__(
        self,
        leaving: Published[bool],
        membership: Outbox[InstanceLeaving],
    ) -> None:
        self._leaving = leaving
        self._membership = membership

    def post(self, message: PhaseChanged) -> None:
        """Mark this instance as leaving, on its pages and to the owner."""
        _log.info(
            'stop: instance is leaving, callers are directed to other instances'
        )
        self._leaving.publish(True)
        self._membership.post(InstanceLeaving())

"""Messages of a shutdown between the tasks of a process."""

from dataclasses import dataclass

from ..model.phase import NodePhase
from .mailbox import Outbox


@dataclass(frozen=True)
class PhaseChanged:
    """The process has entered another phase."""

    phase: NodePhase


@dataclass(frozen=True)
class RunningCount:
    """Number of requests in progress, waiting ones included."""

    running: int


@dataclass(frozen=True)
class RunningCountRequested:
    """A shutdown requests the number of requests in progress."""

    reply: Outbox[RunningCount]

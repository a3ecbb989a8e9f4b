"""Names of the table source chart."""

from dataclasses import dataclass
from enum import StrEnum

from ..model.chart import Vocabulary


class SourceState(StrEnum):
    """Where an instance learns what a table holds."""

    UNREAD = 'unread'
    READING_CHANGES = 'following'
    PAUSED = 'resting'
    STORE_UNREACHABLE = 'away'


class SourceEvent(StrEnum):
    """What can happen to the reading of a table."""

    READS_PAUSED = 'told'
    READS_RESUMED = 'untold'
    READ_SUCCEEDED = 'answered'
    READ_FAILED = 'failed'
    HISTORY_LOST = 'forgotten'


class SourceAction(StrEnum):
    """What the reader has to say."""

    LOG_UNREACHABLE = 'tell_lost'
    LOG_RECOVERED = 'tell_regained'
    LOG_HISTORY_LOST = 'tell_forgotten'


@dataclass(frozen=True)
class SourceFacts:
    """What the guards of the table source chart may ask.

    Parameters
    ----------
    knows_version
        A version is known from which changes can be read.

    """

    knows_version: bool = False

    def can_read_changes(self) -> bool:
        """Return whether changes can be read."""
        return self.knows_version

    def always(self) -> bool:
        """Return true; an internal transition needs a guard or an action."""
        return True


SOURCE_WORDS = Vocabulary(SourceState, SourceEvent, SourceAction, SourceFacts)

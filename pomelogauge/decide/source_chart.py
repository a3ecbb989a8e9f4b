"""Names of the table source chart."""

from dataclasses import dataclass
from enum import StrEnum

from ..model.chart import Vocabulary


class SourceState(StrEnum):
    """Where an instance learns what a table holds."""

    UNREAD = 'unread'
    FOLLOWING = 'following'
    RESTING = 'resting'
    AWAY = 'away'


class SourceEvent(StrEnum):
    """What can happen to the reading of a table."""

    TOLD = 'told'
    UNTOLD = 'untold'
    ANSWERED = 'answered'
    FAILED = 'failed'
    FORGOTTEN = 'forgotten'


class SourceAction(StrEnum):
    """What the reader has to say."""

    TELL_LOST = 'tell_lost'
    TELL_REGAINED = 'tell_regained'
    TELL_FORGOTTEN = 'tell_forgotten'


@dataclass(frozen=True)
class SourceFacts:
    """What the guards of the table source chart may ask.

    Parameters
    ----------
    knows_version
        A version is known from which changes can be read.

    """

    knows_version: bool = False

    def has_place(self) -> bool:
        """Return whether changes can be read."""
        return self.knows_version

    def always(self) -> bool:
        """Return true; an internal transition needs a guard or an action."""
        return True


SOURCE_WORDS = Vocabulary(SourceState, SourceEvent, SourceAction, SourceFacts)

"""Names of the caller's request chart."""

from dataclasses import dataclass
from enum import StrEnum

from ..model.chart import Vocabulary


class RequestState(StrEnum):
    """States of a caller's request in one router."""

    RECEIVED = 'received'
    WAITING = 'waiting'
    OPENING_STREAM = 'placed'
    STREAMING = 'streaming'
    RESUMING = 'resuming'
    ENDED = 'ended'
    REFUSED = 'refused'
    CANCELLED = 'cancelled'


class RequestEvent(StrEnum):
    """What can happen to a caller's request."""

    SUBMITTED = 'asked'
    SLOT_GRANTED = 'place_given'
    SLOT_DENIED = 'turned_away'
    STREAM_OPENED = 'stream_opened'
    TARGET_LOST = 'target_lost'
    COMPLETED = 'completed'
    CALLER_LEFT = 'caller_left'


class RequestAction(StrEnum):
    """What the caller's task has to do."""

    REQUEST_SLOT = 'ask_place'
    OPEN_STREAM = 'open_stream'
    RELAY = 'relay'
    FINISH = 'finish'
    REFUSE = 'refuse'
    CANCEL = 'cancel'


@dataclass(frozen=True)
class RequestFacts:
    """What the guards of the request chart may ask.

    Parameters
    ----------
    tries_left
        Targets that may still be tried for this request.

    """

    tries_left: int = 0

    def may_try_again(self) -> bool:
        """Return whether another target may be tried."""
        return self.tries_left > 0

    def is_exhausted(self) -> bool:
        """Return whether all tries are spent."""
        return self.tries_left <= 0

    def always(self) -> bool:
        """Return true; an internal transition needs a guard or an action."""
        return True


REQUEST_WORDS = Vocabulary(
    RequestState,
    RequestEvent,
    RequestAction,
    RequestFacts,
)

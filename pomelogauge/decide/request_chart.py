"""Names of the caller's request chart."""

from dataclasses import dataclass
from enum import StrEnum

from ..model.chart import Vocabulary


class RequestState(StrEnum):
    """States of a caller's request in one router."""

    RECEIVED = 'received'
    WAITING = 'waiting'
    OPENING_STREAM = 'opening_stream'
    STREAMING = 'streaming'
    RESUMING = 'resuming'
    ENDED = 'ended'
    REFUSED = 'refused'
    CANCELLED = 'cancelled'


class RequestEvent(StrEnum):
    """Events of a caller's request."""

    SUBMITTED = 'submitted'
    SLOT_GRANTED = 'slot_granted'
    SLOT_DENIED = 'slot_denied'
    STREAM_OPENED = 'stream_opened'
    TARGET_LOST = 'target_lost'
    COMPLETED = 'completed'
    CALLER_LEFT = 'caller_left'


class RequestAction(StrEnum):
    """Actions that the chart orders from the caller's task."""

    REQUEST_SLOT = 'request_slot'
    OPEN_STREAM = 'open_stream'
    RELAY = 'relay'
    FINISH = 'finish'
    REFUSE = 'refuse'
    CANCEL = 'cancel'


@dataclass(frozen=True)
class RequestFacts:
    """Facts on which the guards of the request chart decide.

    Parameters
    ----------
    attempts_left
        Number of further targets to which this request may be sent.

    """

    attempts_left: int = 0

    def may_retry(self) -> bool:
        """Return whether the request may be sent to another target."""
        return self.attempts_left > 0

    def is_exhausted(self) -> bool:
        """Return whether no attempt is left, so that the request is refused."""
        return self.attempts_left <= 0

    def always(self) -> bool:
        """Return true; a transition without target needs a guard or action."""
        return True


REQUEST_WORDS = Vocabulary(
    RequestState,
    RequestEvent,
    RequestAction,
    RequestFacts,
)

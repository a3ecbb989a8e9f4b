"""Names of the chart of a request at an entry instance."""

from dataclasses import dataclass
from enum import StrEnum

from ..model.chart import Vocabulary


class RequestState(StrEnum):
    """States of a request."""

    AWAITING_SLOT = 'placing'
    WAITING = 'waiting'
    RELAYING = 'relaying'
    ANSWERED = 'answered'
    REFUSED = 'refused'
    FAILED = 'failed'
    CUT = 'cut'
    CALLER_LEFT = 'left'


class RequestEvent(StrEnum):
    """What can happen to a request."""

    SLOT_GRANTED = 'placed'
    SLOT_DENIED = 'no_place'
    CONNECT_FAILED = 'unreached'
    REJECTED = 'turned_away'
    ATTEMPT_FAILED = 'lost'
    HEAD_RECEIVED = 'head'
    ANSWER_COMPLETED = 'ended'
    CALLER_LEFT = 'caller_left'
    EXPIRED = 'expired'


class RequestAction(StrEnum):
    """What the connection's task has to do."""

    REQUEST_SLOT = 'place'
    SEND = 'send'
    RELAY = 'relay'
    FINISH = 'finish'
    REFUSE = 'refuse'
    FAIL = 'fail'
    TIME_OUT = 'time_out'
    CUT = 'cut'
    CANCEL = 'cancel'


@dataclass(frozen=True)
class RequestFacts:
    """What the guards of the request chart may ask.

    Parameters
    ----------
    started
        The caller has got the head of an answer.
    retryable
        The request may run more than once.
    targets_left
        Further targets to which it may be sent.
    may_have_run
        A target has been sent it and did not say that it had not run.

    """

    started: bool = False
    retryable: bool = False
    targets_left: int = 0
    may_have_run: bool = False

    def may_retry(self) -> bool:
        """Return whether another target may be sent a lost request."""
        return self.retryable and self.targets_left > 0

    def has_other_targets(self) -> bool:
        """Return whether another target may be sent one that has not run."""
        return self.targets_left > 0

    def has_started(self) -> bool:
        """Return whether the answer has begun."""
        return self.started

    def may_refuse(self) -> bool:
        """Return whether a refusal would be true."""
        return not self.may_have_run

    def always(self) -> bool:
        """Return true; an internal transition needs a guard or an action."""
        return True


REQUEST_WORDS = Vocabulary(
    RequestState, RequestEvent, RequestAction, RequestFacts
)

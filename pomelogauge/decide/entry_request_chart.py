"""States, events, actions and guards of the entry request chart."""

from dataclasses import dataclass
from enum import StrEnum

from ..model.chart import Vocabulary


class RequestState(StrEnum):
    """States of a caller's request at an entry instance.

    The values of the final states are labels of a metric.
    """

    AWAITING_SLOT = 'awaiting_slot'
    AWAITING_HEAD = 'awaiting_head'
    RELAYING = 'relaying'
    STALLED_BEFORE_HEAD = 'stalled_before_head'
    STALLED_IN_ANSWER = 'stalled_in_answer'
    ANSWERED = 'answered'
    REFUSED = 'refused'
    FAILED = 'failed'
    CUT = 'cut'
    CALLER_LEFT = 'left'


class RequestEvent(StrEnum):
    """Events of a request.

    ``CONNECT_FAILED``: no connection to the target; nothing was sent.
    ``ADMISSION_LAPSED``: the request must not be sent any more.
    ``REJECTED``: the target says that it has not run the request.
    ``ATTEMPT_FAILED``: no usable answer, or the end of one is missing; the
    target may have run the request. ``ATTEMPT_STALLED``: the target is silent;
    its answer may still come. ``EXPIRED``: the caller's time is over.
    """

    SLOT_GRANTED = 'slot_granted'
    SLOT_DENIED = 'slot_denied'
    CONNECT_FAILED = 'connect_failed'
    ADMISSION_LAPSED = 'admission_lapsed'
    REJECTED = 'rejected'
    ATTEMPT_FAILED = 'attempt_failed'
    ATTEMPT_STALLED = 'attempt_stalled'
    HEAD_RECEIVED = 'head_received'
    ANSWER_COMPLETED = 'answer_completed'
    CALLER_LEFT = 'caller_left'
    EXPIRED = 'expired'


class RequestAction(StrEnum):
    """Work of the task that serves the caller's connection.

    ``REQUEST_OTHER_SLOT``: request a slot while the target that is silent keeps
    the request; it is left once the slot is granted. ``REFUSE``: tell the
    caller that nothing has run. ``FAIL``, ``TIME_OUT``: report a failed
    attempt, or that the caller's time is over. ``CUT``: break off an answer
    that has begun. ``CANCEL``: the caller is gone; only close the attempt.
    """

    REQUEST_SLOT = 'request_slot'
    REQUEST_OTHER_SLOT = 'request_other_slot'
    SEND = 'send'
    AWAIT_HEAD = 'await_head'
    RELAY = 'relay'
    FINISH = 'finish'
    REFUSE = 'refuse'
    FAIL = 'fail'
    TIME_OUT = 'time_out'
    CUT = 'cut'
    CANCEL = 'cancel'


@dataclass(frozen=True)
class RequestFacts:
    """Progress of a request, for the guards of the chart.

    Parameters
    ----------
    started
        The caller has received the head of an answer.
    retryable
        The request may run more than once; once the answer has begun: the
        stream may be resumed at another target.
    targets_left
        Number of further targets that the route lets the request be sent to.
    may_have_run
        A target was sent the request and has not said that it was not run.

    """

    started: bool = False
    retryable: bool = False
    targets_left: int = 0
    may_have_run: bool = False

    def may_retry(self) -> bool:
        """Return whether a request that may have run may be sent again."""
        return self.retryable and self.targets_left > 0

    def has_other_targets(self) -> bool:
        """Return whether a request that was not run may be sent again."""
        return self.targets_left > 0

    def has_started(self) -> bool:
        """Return whether the caller has received the head of an answer."""
        return self.started

    def may_refuse(self) -> bool:
        """Return whether no target can have run the request."""
        return not self.may_have_run

    def always(self) -> bool:
        """Return true: the guard of events that a state ignores.

        The chart format needs a guard or an action on a transition without a
        target.
        """
        return True


REQUEST_WORDS = Vocabulary(
    RequestState, RequestEvent, RequestAction, RequestFacts
)

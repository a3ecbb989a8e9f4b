"""Decides what the head of a target's answer means for the request."""

from dataclasses import dataclass

from ..model.entry_request import CallerRequest, TargetAnswer
from .entry_request_chart import RequestEvent, RequestFacts

#: Lowest HTTP status that reports a failure of the target itself.
_MIN_SERVER_ERROR = 500


@dataclass(frozen=True)
class Verdict:
    """The chart event that an answer stands for.

    Parameters
    ----------
    event
        ``HEAD_RECEIVED`` when the answer may be relayed to the caller.
    reason
        Text for the log and the caller; empty when the answer is relayed.

    """

    event: RequestEvent
    reason: str = ''


def judge(
    answer: TargetAnswer,
    req: CallerRequest,
    facts: RequestFacts,
) -> Verdict:
    """Return whether an answer is relayed, or why the attempt is over.

    A success needs the target's stamp and no content encoding; without them
    the answer may not come from the target itself. Another status is relayed
    as it is, but fails the attempt if the caller has already received a head,
    or if it is 500 or more and the request may be sent to another target.

    Parameters
    ----------
    answer
        Head of the answer, decoded.
    req
        The caller's request; an answer that names the attempt of another
        request is not used.
    facts
        Progress of the request before this answer. Unless the answer says
        that the request was not run, the caller of this function counts it as
        possibly run.

    """
    if answer.was_not_run:
        reason = f'target rejected the request with status {answer.status}'
        return Verdict(RequestEvent.REJECTED, reason)
    if answer.attempt and answer.attempt != req.attempt:
        return Verdict(
            RequestEvent.ATTEMPT_FAILED,
            'answer names the attempt of another request',
        )
    if answer.is_success():
        if answer.is_stamped and not answer.is_encoded:
            return Verdict(RequestEvent.HEAD_RECEIVED)
        return Verdict(
            RequestEvent.ATTEMPT_FAILED,
            'answer without the stamp of the target, or encoded on the way',
        )
    is_failure = answer.status >= _MIN_SERVER_ERROR
    if facts.started or (is_failure and facts.may_retry()):
        reason = f'target answered with status {answer.status}'
        return Verdict(RequestEvent.ATTEMPT_FAILED, reason)
    return Verdict(RequestEvent.HEAD_RECEIVED)

"""Judges the head of a target's answer."""

from dataclasses import dataclass

from ..model.entry_request import CallerRequest, TargetAnswer
from .entry_request_chart import RequestEvent, RequestFacts

#: Lowest status of a failure of the target itself.
_SERVER_ERROR = 500


@dataclass(frozen=True)
class Verdict:
    """What an answer means for its request, and why."""

    event: RequestEvent
    reason: str = ''


def judge(
    answer: TargetAnswer,
    req: CallerRequest,
    facts: RequestFacts,
) -> Verdict:
    """Judge the head of an answer.

    Parameters
    ----------
    answer
        The head.
    req
        The request that was sent.
    facts
        How far the request is; the target may have run it unless the answer
        says that it has not.

    """
    if answer.was_not_run:
        reason = f'turned away with {answer.status}'
        return Verdict(RequestEvent.REJECTED, reason)
    if answer.attempt and answer.attempt != req.attempt:
        return Verdict(RequestEvent.ATTEMPT_FAILED, 'answer to another request')
    if answer.is_success():
        if answer.is_stamped and not answer.is_encoded:
            return Verdict(RequestEvent.HEAD_RECEIVED)
        return Verdict(RequestEvent.ATTEMPT_FAILED, 'answer is not the own one')
    is_failure = answer.status >= _SERVER_ERROR
    if facts.started or (is_failure and facts.may_retry()):
        reason = f'target answered {answer.status}'
        return Verdict(RequestEvent.ATTEMPT_FAILED, reason)
    return Verdict(RequestEvent.HEAD_RECEIVED)

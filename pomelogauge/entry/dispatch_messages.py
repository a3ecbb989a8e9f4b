"""Messages to and from the task that chooses targets."""

from dataclasses import dataclass
from enum import StrEnum

from ..decide.serving_rules import Denial
from ..model.entry_request import (
    AdmittedRequest,
    TargetAddress,
    TargetLoad,
    TargetNotice,
)
from ..model.ids import TargetName
from ..model.target_limits import TargetLimit
from ..tasks.mailbox import Outbox
from .messages import SuspectsShared


@dataclass(frozen=True)
class SlotGranted:
    """The request has a slot at this target until it is released."""

    destination: TargetAddress


@dataclass(frozen=True)
class SlotDenied:
    """No target has a slot for the request now.

    Parameters
    ----------
    denial
        Reason; the caller gets it as the body of the answer.
    retry_after_s
        Seconds after which the caller should try again.

    """

    denial: Denial
    retry_after_s: float


SlotAnswer = SlotGranted | SlotDenied


@dataclass(frozen=True)
class SlotRequested:
    """A request needs a slot at a target.

    Parameters
    ----------
    admitted
        The request.
    tried
        Targets that had a slot for the request already; they are left out.
    is_retry
        Whether the request has been sent to a target before. It then counts
        against the retry budget.
    reply
        Where the answer is posted.

    """

    admitted: AdmittedRequest
    tried: frozenset[TargetName]
    is_retry: bool
    reply: Outbox[SlotAnswer]


class Outcome(StrEnum):
    """How an attempt at a target ended.

    ``ANSWERED``: nothing went wrong at the target. ``TURNED_AWAY``: the
    target refused the request. ``UNREACHED``: no connection could be opened.
    ``LOST``: the connection or the answer was broken. ``STALLED``: no byte
    came within the stall timeout. ``LEFT``: the caller left or the deadline
    passed, which says nothing about the target.
    """

    ANSWERED = 'answered'
    TURNED_AWAY = 'turned_away'
    UNREACHED = 'unreached'
    LOST = 'lost'
    STALLED = 'silent'
    LEFT = 'left'


@dataclass(frozen=True)
class LoadReceived:
    """A target reported its load in the headers of an answer."""

    target: TargetName
    load: TargetLoad


@dataclass(frozen=True)
class NoticeReceived:
    """A target asked in an answer for fewer requests, or none."""

    destination: TargetAddress
    notice: TargetNotice


@dataclass(frozen=True)
class LimitNamed:
    """A target's answer names a rate limit, or none.

    Parameters
    ----------
    target
        Name of the target.
    per_s
        Requests a second that it takes from all entry instances together;
        ``None`` for no limit.

    """

    target: TargetName
    per_s: float | None


@dataclass(frozen=True)
class LimitsShared:
    """Other instances have read limits of targets.

    Parameters
    ----------
    limits
        The limits.
    as_of_s
        Time of the local clock from which their ages count.

    """

    limits: tuple[TargetLimit, ...]
    as_of_s: float


@dataclass(frozen=True)
class SlotReleased:
    """An attempt has ended and its slot is free again."""

    target: TargetName
    outcome: Outcome


@dataclass(frozen=True)
class TargetStalled:
    """A target is silent but keeps its slot, as no other one is free."""

    target: TargetName


DispatchMessage = (
    SlotRequested
    | LoadReceived
    | NoticeReceived
    | LimitNamed
    | LimitsShared
    | SlotReleased
    | TargetStalled
    | SuspectsShared
)

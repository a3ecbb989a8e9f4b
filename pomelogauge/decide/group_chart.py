"""Names of the chart of a group."""

from dataclasses import dataclass
from enum import StrEnum

from ..model.chart import Vocabulary


class GroupState(StrEnum):
    """States of a group in the eyes of its owner."""

    JOINING = 'joining'
    OPENING = 'opening'
    SERVING = 'serving'
    CLOSING = 'closing'
    LEAVING = 'leaving'
    STALLING = 'stalling'
    RELEASED = 'released'


#: States of a group that counts as standing.
LIVE_STATES = frozenset(
    (GroupState.JOINING, GroupState.OPENING, GroupState.SERVING)
)


class GroupEvent(StrEnum):
    """What can happen to a group."""

    ALL_JOINED = 'all_joined'
    OPENED = 'opened'
    MEMBER_LOST = 'member_lost'
    UNWANTED = 'unwanted'
    CLOSED = 'closed'
    HEAD_LEFT = 'head_left'
    HEAD_SILENT = 'head_silent'
    EXPIRED = 'expired'
    UNCONFIRMED = 'unconfirmed'


class GroupAction(StrEnum):
    """What the owner has to do."""

    OPEN = 'open'
    CLOSE = 'close'
    LEAVE_HEAD = 'leave_head'
    LEAVE_MEMBERS = 'leave_members'
    RELEASE = 'release'


@dataclass(frozen=True)
class GroupFacts:
    """What the guards of the group chart may ask."""

    def always(self) -> bool:
        """Return true; an internal transition needs a guard or an action."""
        return True


GROUP_WORDS = Vocabulary(GroupState, GroupEvent, GroupAction, GroupFacts)

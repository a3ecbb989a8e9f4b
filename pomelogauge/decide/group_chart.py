"""States, events, actions and guards of the group chart."""

from dataclasses import dataclass
from enum import StrEnum

from ..model.chart import Vocabulary


class GroupState(StrEnum):
    """States of a group as the owner tracks it.

    ``JOINING``: members load the model and join. ``OPENING``: the head was
    ordered to take requests. ``CLOSING``: running requests may end.
    ``LEAVING``: the head was ordered to leave. ``STALLING``: the head does
    not answer; the members leave, and the head gives up without them. The
    values stand in log lines.
    """

    JOINING = 'joining'
    OPENING = 'opening'
    SERVING = 'serving'
    CLOSING = 'closing'
    LEAVING = 'leaving'
    STALLING = 'stalling'
    RELEASED = 'released'


#: States of a group that is formed or being formed; the planner counts it.
LIVE_STATES = frozenset(
    (GroupState.JOINING, GroupState.OPENING, GroupState.SERVING)
)


class GroupEvent(StrEnum):
    """Events of a group; the values stand in log lines.

    ``MEMBER_LOST``: a member crashed, restarted or left. ``UNWANTED``: the
    model is no longer configured, or a member drains. ``HEAD_SILENT``: the
    head did not answer the order to leave. ``EXPIRED``: the time limit of the
    state is over. ``UNCONFIRMED``: no member has confirmed that it left.
    """

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
    """Work of the owner's task.

    All but ``RELEASE`` send orders; the owner removes the records of released
    groups by their state.
    """

    OPEN = 'open'
    CLOSE = 'close'
    LEAVE_HEAD = 'leave_head'
    LEAVE_MEMBERS = 'leave_members'
    RELEASE = 'release'


@dataclass(frozen=True)
class GroupFacts:
    """Facts for the guards of the group chart; none are needed."""

    def always(self) -> bool:
        """Return true: the guard of events that a state ignores.

        The chart format needs a guard or an action on a transition without a
        target.
        """
        return True


GROUP_WORDS = Vocabulary(GroupState, GroupEvent, GroupAction, GroupFacts)

"""States, events, actions and guards of the outlier ejection chart."""

from dataclasses import dataclass
from enum import StrEnum

from ..model.chart import Vocabulary


class EjectionState(StrEnum):
    """Whether an entry instance sends requests to a target.

    ``EJECTED``: only when all other targets are full. ``PROBATION``: one
    request at a time until one succeeds. The values stand in log lines.
    """

    NOT_EJECTED = 'trusted'
    EJECTED = 'avoided'
    PROBATION = 'on_trial'


class EjectionEvent(StrEnum):
    """Events of a target.

    ``FAILED``: a request had no usable answer. ``SUSPECTED``: requests of
    other instances had none. ``BACKOFF_ENDED``: the time of the ejection is
    over.
    """

    ANSWERED = 'answered'
    FAILED = 'failed'
    SUSPECTED = 'suspected'
    BACKOFF_ENDED = 'backoff_ended'


class EjectionAction(StrEnum):
    """Work of the dispatcher.

    ``REPORT``: name the target to the owner as suspected, so that the owner
    checks the members of its group.
    """

    REPORT = 'report'


@dataclass(frozen=True)
class EjectionFacts:
    """Facts for the guards of the ejection chart; none are needed."""

    def always(self) -> bool:
        """Return true: the guard of events that a state ignores.

        The chart format needs a guard or an action on a transition without a
        target.
        """
        return True


EJECTION_WORDS = Vocabulary(
    EjectionState, EjectionEvent, EjectionAction, EjectionFacts
)

"""Times after which the state of a group counts as overdue."""

import math
from dataclasses import dataclass

from ..model.fleet import Fleet, GroupRecord
from ..model.serving import EngineSpec
from .group_chart import GroupState

#: Seconds within which a member's report of its state reaches this instance,
#: after the time that the load or the opening takes.
MEMBER_REPORT_S = 3.0
#: Seconds for which running requests may finish before the members are
#: ordered to leave.
CLOSING_TIMEOUT_S = 3.0
#: Seconds after which the order to the head to leave is sent again.
LEAVING_RETRY_S = 1.5


@dataclass(frozen=True)
class StateTimeouts:
    """Time-out of each state in seconds; only serving has none.

    Parameters
    ----------
    joining_s
        Load or warm-up of the slowest member, and the delay of its report.
    opening_s
        Time until the order to open is sent again.
    closing_s
        Time for running requests to finish.
    leaving_s
        Time until the order to leave is sent again.
    stalling_s
        Time until a head that has taken an order to open, and has lost its
        first member, has given up the group by itself.

    """

    joining_s: float
    opening_s: float
    closing_s: float
    leaving_s: float
    stalling_s: float

    def of(self, state: GroupState) -> float:
        """Return the time-out of a state; infinite for one that has none."""
        limits = {
            GroupState.JOINING: self.joining_s,
            GroupState.OPENING: self.opening_s,
            GroupState.CLOSING: self.closing_s,
            GroupState.LEAVING: self.leaving_s,
        }
        return limits.get(state, math.inf)


def state_timeouts(
    record: GroupRecord,
    engine: EngineSpec | None,
    stall_s: float,
) -> StateTimeouts:
    """Return the time-outs of a group.

    Parameters
    ----------
    record
        The group.
    engine
        Engine of its service; ``None`` if it is no longer configured.
    stall_s
        Seconds after which the head of a group that has lost a member gives
        the group up.

    """
    join_s = 0.0
    formation_s = 0.0
    if engine is not None:
        formation_s = engine.formation_s
        spec = engine.model(record.model)
        join_s = spec.load_s if spec else 0
    return StateTimeouts(
        joining_s=join_s + MEMBER_REPORT_S,
        opening_s=formation_s + MEMBER_REPORT_S,
        closing_s=CLOSING_TIMEOUT_S,
        leaving_s=LEAVING_RETRY_S,
        stalling_s=formation_s + stall_s + 1,
    )


def engine_of(record: GroupRecord, fleet: Fleet) -> EngineSpec | None:
    """Return the engine of a group's service; ``None`` if not configured."""
    if fleet.config is None:
        return None
    service = fleet.config.services.get(record.service)
    return service.engine if service else None

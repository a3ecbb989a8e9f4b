"""What the members' own reports mean for their replica."""

from collections.abc import Callable
from dataclasses import dataclass

from ..model.placement import (
    EngineState,
    EngineStatus,
    Member,
    Replica,
    ReplicaState,
)
from ..model.times import ControlTimes
from .engine_observation import EngineObservation, EngineObservations, is_lost
from .replica_chart import ReplicaEvent

_FORMING = frozenset((ReplicaState.CLAIMED, ReplicaState.LOADING))
_IN_SERVICE = frozenset((ReplicaState.SERVING, ReplicaState.DRAINING))


@dataclass(frozen=True)
class ReplicaCheck:
    """A replica and what is known when it is checked.

    Parameters
    ----------
    replica
        With its state in the chart.
    since_s
        Own clock when it entered the state, or when it was last acted on.
    wanted
        The configuration and the instance list still ask for it.
    observations
        Of its members.
    now_s
        Own clock.

    """

    replica: Replica
    since_s: float
    wanted: bool
    observations: EngineObservations
    now_s: float


def assess(case: ReplicaCheck, times: ControlTimes) -> ReplicaEvent | None:
    """Return the most urgent event of a replica; ``None`` for none."""
    if case.replica.state == ReplicaState.BROKEN:
        return _assess_broken(case, times)
    harm = _harm(case, times)
    if harm is not None:
        return harm
    if not case.wanted:
        return ReplicaEvent.UNWANTED
    if _all(case, _is_ready):
        return ReplicaEvent.ALL_READY
    if case.replica.state in _FORMING:
        return _assess_forming(case, times)
    return None


def accepted(replica: Replica, status: EngineStatus) -> bool:
    """Return whether an engine names the replica and its epoch."""
    named = (status.replica, status.epoch)
    return named == (replica.replica, replica.epoch)


def is_drained(case: ReplicaCheck, times: ControlTimes) -> bool:
    """Return whether a draining replica may be released."""
    drained_s = case.now_s - case.since_s
    if drained_s < times.drain_min_s:
        return False
    status = _report(case, case.replica.members[0])
    is_idle = status is not None and status.running == 0
    return is_idle or drained_s >= times.drain_max_s


def _harm(case: ReplicaCheck, times: ControlTimes) -> ReplicaEvent | None:
    if _any_lost(case, times):
        return ReplicaEvent.MEMBER_LOST
    if _any_disagrees(case):
        return ReplicaEvent.MEMBER_DISAGREES
    return None


def _assess_broken(
    case: ReplicaCheck,
    times: ControlTimes,
) -> ReplicaEvent | None:
    if case.now_s - case.since_s >= times.scan_interval_s:
        return ReplicaEvent.RELEASE_DUE
    if _all(case, _is_ready):
        return ReplicaEvent.ALL_READY
    return None


def _assess_forming(
    case: ReplicaCheck,
    times: ControlTimes,
) -> ReplicaEvent | None:
    if case.now_s - case.since_s >= times.load_timeout_s:
        return ReplicaEvent.LOAD_TIMED_OUT
    if case.replica.state == ReplicaState.LOADING:
        return None
    if _all(case, accepted):
        return ReplicaEvent.ORDERS_ACCEPTED
    if _all(case, _is_known):
        return ReplicaEvent.ORDERS_DUE
    return None


def _any_lost(case: ReplicaCheck, times: ControlTimes) -> bool:
    return any(
        is_lost(
            case.observations.get(member.instance, EngineObservation()),
            case.now_s,
            times,
        )
        for member in case.replica.members
    )


def _any_disagrees(case: ReplicaCheck) -> bool:
    if case.replica.state == ReplicaState.CLAIMED:
        # Its members may not have been ordered yet.
        return False
    agrees = accepted
    if case.replica.state in _IN_SERVICE:
        agrees = _is_ready
    reports = [_report(case, member) for member in case.replica.members]
    return any(
        report is not None and not agrees(case.replica, report)
        for report in reports
    )


def _all(
    case: ReplicaCheck,
    holds: Callable[[Replica, EngineStatus], bool],
) -> bool:
    reports = [_report(case, member) for member in case.replica.members]
    return all(
        report is not None and holds(case.replica, report) for report in reports
    )


def _report(case: ReplicaCheck, member: Member) -> EngineStatus | None:
    """Return a member's report made since the state was entered."""
    observation = case.observations.get(member.instance)
    if observation is None or observation.polled_at_s < case.since_s:
        return None
    if observation.status and observation.status.instance == member.instance:
        return observation.status
    return None


def _is_ready(replica: Replica, status: EngineStatus) -> bool:
    is_loaded = status.state == EngineState.READY
    return is_loaded and accepted(replica, status)


def _is_known(replica: Replica, status: EngineStatus) -> bool:
    return bool(replica.members) and bool(status.instance)

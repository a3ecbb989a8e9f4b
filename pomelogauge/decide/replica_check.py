"""Derives a replica's next event from the reports of its members."""

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
    """Input of the check of one replica.

    Parameters
    ----------
    replica
        Replica with its state in the chart.
    since_s
        Local clock when it entered the state, or at the last action on it.
    wanted
        The configuration and the instance list still call for it.
    observations
        Observations of engines by instance, those of its members among them.
    now_s
        Local clock.

    """

    replica: Replica
    since_s: float
    wanted: bool
    observations: EngineObservations
    now_s: float


def assess(check: ReplicaCheck, times: ControlTimes) -> ReplicaEvent | None:
    """Return the most urgent event of a replica; ``None`` without any."""
    if check.replica.state == ReplicaState.BROKEN:
        return _assess_broken(check, times)
    failure = _member_failure(check, times)
    if failure is not None:
        return failure
    if not check.wanted:
        return ReplicaEvent.UNWANTED
    if _all(check, _is_ready):
        return ReplicaEvent.ALL_READY
    if check.replica.state in _FORMING:
        return _assess_forming(check, times)
    return None


def has_accepted(replica: Replica, status: EngineStatus) -> bool:
    """Return whether an engine reports the replica and its epoch."""
    reported = (status.replica, status.epoch)
    return reported == (replica.replica, replica.epoch)


def is_drained(check: ReplicaCheck, times: ControlTimes) -> bool:
    """Return whether a draining replica may be released.

    It may after ``drain_min_s`` once its leading member reports no request in
    progress, and after ``drain_max_s`` in any case.
    """
    drained_s = check.now_s - check.since_s
    if drained_s < times.drain_min_s:
        return False
    status = _report(check, check.replica.members[0])
    is_idle = status is not None and status.running == 0
    return is_idle or drained_s >= times.drain_max_s


def _member_failure(
    check: ReplicaCheck, times: ControlTimes
) -> ReplicaEvent | None:
    if _any_lost(check, times):
        return ReplicaEvent.MEMBER_LOST
    if _any_disagrees(check):
        return ReplicaEvent.MEMBER_DISAGREES
    return None


def _assess_broken(
    check: ReplicaCheck,
    times: ControlTimes,
) -> ReplicaEvent | None:
    if check.now_s - check.since_s >= times.scan_interval_s:
        return ReplicaEvent.RELEASE_DUE
    if _all(check, _is_ready):
        return ReplicaEvent.ALL_READY
    return None


def _assess_forming(
    check: ReplicaCheck,
    times: ControlTimes,
) -> ReplicaEvent | None:
    if check.now_s - check.since_s >= times.load_timeout_s:
        return ReplicaEvent.LOAD_TIMED_OUT
    if check.replica.state == ReplicaState.LOADING:
        return None
    if _all(check, has_accepted):
        return ReplicaEvent.ORDERS_ACCEPTED
    if _all(check, _has_report):
        return ReplicaEvent.ORDERS_DUE
    return None


def _any_lost(check: ReplicaCheck, times: ControlTimes) -> bool:
    return any(
        is_lost(
            check.observations.get(member.instance, EngineObservation()),
            check.now_s,
            times,
        )
        for member in check.replica.members
    )


def _any_disagrees(check: ReplicaCheck) -> bool:
    if check.replica.state == ReplicaState.CLAIMED:
        # Its members may not have got their orders yet.
        return False
    agrees = has_accepted
    if check.replica.state in _IN_SERVICE:
        agrees = _is_ready
    reports = [_report(check, member) for member in check.replica.members]
    return any(
        report is not None and not agrees(check.replica, report)
        for report in reports
    )


def _all(
    check: ReplicaCheck,
    predicate: Callable[[Replica, EngineStatus], bool],
) -> bool:
    reports = [_report(check, member) for member in check.replica.members]
    return all(
        report is not None and predicate(check.replica, report)
        for report in reports
    )


def _report(check: ReplicaCheck, member: Member) -> EngineStatus | None:
    """Return a member's own report, if polled since the state was entered."""
    observation = check.observations.get(member.instance)
    if observation is None or observation.polled_at_s < check.since_s:
        return None
    if observation.status and observation.status.instance == member.instance:
        return observation.status
    return None


def _is_ready(replica: Replica, status: EngineStatus) -> bool:
    is_loaded = status.state == EngineState.READY
    return is_loaded and has_accepted(replica, status)


def _has_report(replica: Replica, status: EngineStatus) -> bool:
    return bool(replica.members) and bool(status.instance)

"""Observations of engines from polls of their status."""

from collections.abc import Mapping
from dataclasses import dataclass, replace

from ..model.ids import InstanceName
from ..model.placement import EngineStatus
from ..model.times import ControlTimes

#: A single failed poll may be due to a pause of the polling process itself.
_MIN_FAILURES = 2


@dataclass(frozen=True)
class EngineObservation:
    """The newest report of an engine and the failed polls since then.

    Parameters
    ----------
    status
        Newest report; ``None`` if it has never answered.
    polled_at_s
        Local clock before the poll that returned this report.
    failures
        Failed polls since that report.
    failed_since_s
        Local clock before the first failed poll.
    refused
        The last poll failed as its connection was refused.
    suspected_at_s
        Local clock when a router last reported that it lost a request there.

    """

    status: EngineStatus | None = None
    polled_at_s: float = float('-inf')
    failures: int = 0
    failed_since_s: float = float('inf')
    refused: bool = False
    suspected_at_s: float = float('-inf')


EngineObservations = Mapping[InstanceName, EngineObservation]


def after_poll(
    before: EngineObservation,
    status: EngineStatus | None,
    asked_at_s: float,
    *,
    refused: bool = False,
) -> EngineObservation:
    """Return the observation after one poll.

    Parameters
    ----------
    before
        Observation before the poll.
    status
        Report of the engine; ``None`` if the poll failed.
    asked_at_s
        Local clock before the poll.
    refused
        The connection was refused.

    """
    if status is not None:
        suspected_at_s = before.suspected_at_s
        return EngineObservation(
            status, asked_at_s, suspected_at_s=suspected_at_s
        )
    return replace(
        before,
        failures=before.failures + 1,
        failed_since_s=min(before.failed_since_s, asked_at_s),
        refused=refused,
    )


def suspect(before: EngineObservation, now_s: float) -> EngineObservation:
    """Return the observation after a router lost a request there."""
    return replace(before, suspected_at_s=now_s)


def is_lost(
    observation: EngineObservation, now_s: float, times: ControlTimes
) -> bool:
    """Return whether an engine counts as lost.

    At least two polls have to fail; a request that a router lost there counts
    as one of them. The engine is then lost at once if its host refuses
    connections, which slowness does not explain, or if both a poll and a
    router's request have failed; otherwise after ``lost_after_s``.
    """
    is_suspected = observation.suspected_at_s >= observation.polled_at_s
    if observation.failures + int(is_suspected) < _MIN_FAILURES:
        return False
    if observation.refused or (observation.failures and is_suspected):
        return True
    return now_s - observation.failed_since_s >= times.lost_after_s


def usable_status(
    instance: InstanceName,
    observation: EngineObservation | None,
) -> EngineStatus | None:
    """Return the report of an engine whose last poll succeeded.

    ``None`` without such a report, or if it names another instance, as another
    engine may now listen at the address.
    """
    if (
        observation is None
        or observation.failures
        or observation.status is None
    ):
        return None
    if observation.status.instance != instance:
        return None
    return observation.status

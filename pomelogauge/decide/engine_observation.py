"""What polls tell of an engine."""

from collections.abc import Mapping
from dataclasses import dataclass, replace

from ..model.ids import InstanceName
from ..model.placement import EngineStatus
from ..model.times import ControlTimes

#: One failed poll may be the watcher's own pause.
_LEAST_FAILURES = 2


@dataclass(frozen=True)
class EngineObservation:
    """The newest report of an engine and the failed polls since.

    Parameters
    ----------
    status
        Newest report; ``None`` when it never answered.
    polled_at_s
        Own clock before that report was asked for.
    failures
        Failed polls since.
    failed_since_s
        Own clock before the first of them.
    refused
        Nobody listened at the last of them.
    suspected_at_s
        Own clock when a router lost a request there, since that report.

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
    """Return what is known after one poll."""
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
    """Return what is known after a router lost a request there."""
    return replace(before, suspected_at_s=now_s)


def is_lost(
    observation: EngineObservation, now_s: float, times: ControlTimes
) -> bool:
    """Return whether an engine has failed beyond doubt.

    A refusal comes from the engine's host and not from a slow one, so that
    two are enough. A router's loss counts as a failed poll.
    """
    is_suspected = observation.suspected_at_s >= observation.polled_at_s
    if observation.failures + int(is_suspected) < _LEAST_FAILURES:
        return False
    if observation.refused or (observation.failures and is_suspected):
        return True
    return now_s - observation.failed_since_s >= times.lost_after_s


def usable_status(
    instance: InstanceName,
    observation: EngineObservation | None,
) -> EngineStatus | None:
    """Return the report of an engine whose last poll succeeded.

    The report must be the instance's own: another engine may listen at an
    address that was used before.
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

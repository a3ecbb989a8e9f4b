"""Chooses the least loaded of the targets that may take a request."""

from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass

from ..model.entry_request import TargetLoad
from ..model.ids import DataCentreName, TargetName
from .eligible_targets import EligibleTarget
from .outlier_ejection import NOT_EJECTED, OutlierEjection

#: Seconds after which a reported load no longer counts.
MAX_LOAD_AGE_S = 2.0
#: Requests that may queue at a target beyond its slots, as a share of them.
MAX_QUEUE_SHARE = 0.25


@dataclass(frozen=True)
class ReportedLoad:
    """Load that a target reported in an answer.

    Parameters
    ----------
    own_requests
        Requests of this entry instance that the target ran at that time; they
        are part of the reported load.
    received_s
        Time of the local clock when the report was received.

    """

    load: TargetLoad
    own_requests: int
    received_s: float


@dataclass(frozen=True)
class TargetView:
    """What one entry instance knows of a target's load and health.

    Parameters
    ----------
    own_requests
        Number of requests of this entry instance that the target runs now.
    reported
        Newest reported load; ``None`` before the first report.
    ejection
        Whether the target is ejected because its answers failed.

    """

    own_requests: int = 0
    reported: ReportedLoad | None = None
    ejection: OutlierEjection = NOT_EJECTED


#: View of a target to which this instance has sent nothing yet.
NO_VIEW = TargetView()


@dataclass(frozen=True)
class TargetChoice:
    """Result of a choice.

    Parameters
    ----------
    load
        Estimated number of requests that the target holds.

    """

    candidate: EligibleTarget
    load: float


def estimate_load(view: TargetView, now_s: float) -> float:
    """Estimate how many requests a target holds.

    The own requests are counted exactly. Those of other entry instances are
    taken from the newest reported load and lose weight linearly with its age,
    down to zero after ``MAX_LOAD_AGE_S``.
    """
    reported = view.reported
    if reported is None:
        return view.own_requests
    others = (
        reported.load.running + reported.load.waiting - reported.own_requests
    )
    freshness = 1 - (now_s - reported.received_s) / MAX_LOAD_AGE_S
    return view.own_requests + max(0, others) * max(0, freshness)


def choose_target(
    candidates: Sequence[EligibleTarget],
    views: Mapping[TargetName, TargetView],
    now_s: float,
    draw: Callable[[], float],
    local_data_centre: DataCentreName,
) -> TargetChoice | None:
    """Choose the target with the least load in proportion to its slots.

    Of targets with the same load, one in the data centre of this instance is
    preferred, since traffic between data centres is expensive. Ejected
    targets, and those on probation that already run a request, are chosen
    only when all others are full.

    Parameters
    ----------
    candidates
        Eligible targets that the request has not been sent to.
    views
        Load and health by target; ``NO_VIEW`` is used for others.
    now_s
        Current time of the local clock.
    draw
        Returns a random number that breaks ties.
    local_data_centre
        Data centre of this entry instance.

    Returns
    -------
    TargetChoice or None
        ``None`` when all candidates are full, or there are none.

    """
    preferred, others = _split_by_health(candidates, views, now_s)
    for group in (preferred, others):
        chosen = _least_loaded(group, views, now_s, draw, local_data_centre)
        if chosen is not None:
            return chosen
    return None


def _least_loaded(
    candidates: Sequence[EligibleTarget],
    views: Mapping[TargetName, TargetView],
    now_s: float,
    draw: Callable[[], float],
    local_data_centre: DataCentreName,
) -> TargetChoice | None:
    ranked = sorted(
        (
            (
                estimate_load(views.get(candidate.target.name, NO_VIEW), now_s),
                candidate,
            )
            for candidate in candidates
        ),
        key=lambda pair: (
            pair[0] / pair[1].slots,
            pair[1].target.data_centre != local_data_centre,
            draw(),
        ),
    )
    for load, candidate in ranked:
        if load < candidate.slots * (1 + MAX_QUEUE_SHARE):
            return TargetChoice(candidate, load)
        break
    return None


def _split_by_health(
    candidates: Iterable[EligibleTarget],
    views: Mapping[TargetName, TargetView],
    now_s: float,
) -> tuple[list[EligibleTarget], list[EligibleTarget]]:
    """Split off the candidates that are used only when all others are full."""
    preferred: list[EligibleTarget] = []
    others: list[EligibleTarget] = []
    for candidate in candidates:
        view = views.get(candidate.target.name, NO_VIEW)
        (preferred if _may_receive(view, now_s) else others).append(candidate)
    return preferred, others


def _may_receive(view: TargetView, now_s: float) -> bool:
    return view.ejection.may_receive(view.own_requests, now_s)

"""Chooses the target of a request by the load that is known of each."""

from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass

from ..model.entry_request import TargetLoad
from ..model.ids import DataCentreName, TargetName
from .eligible_targets import EligibleTarget
from .outlier_ejection import NOT_EJECTED, OutlierEjection

#: Seconds after which a stated load counts for nothing.
LOAD_LIFE_S = 2.0
#: Places beyond the slots that a target may be given, as a part of them.
QUEUE_SHARE = 0.25


@dataclass(frozen=True)
class ReportedLoad:
    """A load that a target stated.

    Parameters
    ----------
    load
        What it said.
    own_requests
        Requests of this entry instance among them.
    at_s
        When it was heard, by the own clock.

    """

    load: TargetLoad
    own_requests: int
    at_s: float


@dataclass(frozen=True)
class TargetView:
    """What one entry instance knows of a target's load.

    Parameters
    ----------
    own_requests
        Requests of this entry instance that it runs.
    reported
        Newest stated load; ``None`` before the first.
    ejection
        How far its answers let it be trusted.

    """

    own_requests: int = 0
    reported: ReportedLoad | None = None
    ejection: OutlierEjection = NOT_EJECTED


NO_VIEW = TargetView()


@dataclass(frozen=True)
class TargetChoice:
    """The target that was chosen and its estimated load."""

    candidate: EligibleTarget
    load: float


def estimate_load(view: TargetView, now_s: float) -> float:
    """Estimate how many requests a target holds.

    What others have there is taken from the newest stated load and fades with
    its age.
    """
    reported = view.reported
    if reported is None:
        return view.own_requests
    others = (
        reported.load.running + reported.load.waiting - reported.own_requests
    )
    freshness = 1 - (now_s - reported.at_s) / LOAD_LIFE_S
    return view.own_requests + max(0, others) * max(0, freshness)


def choose_target(
    candidates: Sequence[EligibleTarget],
    views: Mapping[TargetName, TargetView],
    now_s: float,
    draw: Callable[[], float],
    near: DataCentreName,
) -> TargetChoice | None:
    """Choose the target with the least load for its slots.

    Of those with the same load one in the same data centre is chosen: bytes
    between data centres are dear.

    Parameters
    ----------
    candidates
        Targets that may take the request.
    views
        What is known of their load.
    now_s
        Present time of the own clock.
    draw
        Random number that settles ties.
    near
        Data centre of this entry instance.

    Returns
    -------
    Chosen or None
        ``None`` when all are full.

    """
    trusted, others = _by_trust(candidates, views, now_s)
    for group in (trusted, others):
        chosen = _least_loaded(group, views, now_s, draw, near)
        if chosen is not None:
            return chosen
    return None


def _least_loaded(
    candidates: Sequence[EligibleTarget],
    views: Mapping[TargetName, TargetView],
    now_s: float,
    draw: Callable[[], float],
    near: DataCentreName,
) -> TargetChoice | None:
    ranked = sorted(
        (
            (estimate_load(views.get(one.target.name, NO_VIEW), now_s), one)
            for one in candidates
        ),
        key=lambda pair: (
            pair[0] / pair[1].slots,
            pair[1].target.data_centre != near,
            draw(),
        ),
    )
    for load, candidate in ranked:
        if load < candidate.slots * (1 + QUEUE_SHARE):
            return TargetChoice(candidate, load)
        break
    return None


def _by_trust(
    candidates: Iterable[EligibleTarget],
    views: Mapping[TargetName, TargetView],
    now_s: float,
) -> tuple[list[EligibleTarget], list[EligibleTarget]]:
    """Part the trusted from those that serve when all these are full."""
    trusted: list[EligibleTarget] = []
    others: list[EligibleTarget] = []
    for one in candidates:
        view = views.get(one.target.name, NO_VIEW)
        (trusted if _is_trusted(view, now_s) else others).append(one)
    return trusted, others


def _is_trusted(view: TargetView, now_s: float) -> bool:
    return view.ejection.may_receive(view.own_requests, now_s)

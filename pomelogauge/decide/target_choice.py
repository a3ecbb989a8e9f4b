"""Chooses the target of a request by the load that is known of each."""

from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass

from ..model.entry_request import TargetLoad
from ..model.ids import DataCentreName, TargetName
from .offers import Offer
from .target_trust import TRUSTED, Trust

#: Seconds after which a stated load counts for nothing.
LOAD_LIFE_S = 2.0
#: Places beyond the slots that a target may be given, as a part of them.
QUEUE_SHARE = 0.25


@dataclass(frozen=True)
class StatedLoad:
    """A load that a target stated.

    Parameters
    ----------
    load
        What it said.
    own
        Requests of this entry instance among them.
    at_s
        When it was heard, by the own clock.

    """

    load: TargetLoad
    own: int
    at_s: float


@dataclass(frozen=True)
class TargetView:
    """What one entry instance knows of a target's load.

    Parameters
    ----------
    own
        Requests of this entry instance that it runs.
    stated
        Newest stated load; ``None`` before the first.
    trust
        How far its answers let it be trusted.

    """

    own: int = 0
    stated: StatedLoad | None = None
    trust: Trust = TRUSTED


NO_VIEW = TargetView()


@dataclass(frozen=True)
class Chosen:
    """The target that was chosen and its estimated load."""

    offer: Offer
    load: float


def estimate_load(view: TargetView, now_s: float) -> float:
    """Estimate how many requests a target holds.

    What others have there is taken from the newest stated load and fades with
    its age.
    """
    stated = view.stated
    if stated is None:
        return view.own
    others = stated.load.running + stated.load.waiting - stated.own
    freshness = 1 - (now_s - stated.at_s) / LOAD_LIFE_S
    return view.own + max(0, others) * max(0, freshness)


def choose(
    offers: Sequence[Offer],
    views: Mapping[TargetName, TargetView],
    now_s: float,
    draw: Callable[[], float],
    near: DataCentreName,
) -> Chosen | None:
    """Choose the target with the least load for its slots.

    Of those with the same load one in the same data centre is chosen: bytes
    between data centres are dear.

    Parameters
    ----------
    offers
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
    trusted, others = _by_trust(offers, views, now_s)
    for group in (trusted, others):
        chosen = _least_loaded(group, views, now_s, draw, near)
        if chosen is not None:
            return chosen
    return None


def _least_loaded(
    offers: Sequence[Offer],
    views: Mapping[TargetName, TargetView],
    now_s: float,
    draw: Callable[[], float],
    near: DataCentreName,
) -> Chosen | None:
    ranked = sorted(
        (
            (estimate_load(views.get(one.target.name, NO_VIEW), now_s), one)
            for one in offers
        ),
        key=lambda pair: (
            pair[0] / pair[1].slots,
            pair[1].target.data_centre != near,
            draw(),
        ),
    )
    for load, offer in ranked:
        if load < offer.slots * (1 + QUEUE_SHARE):
            return Chosen(offer, load)
        break
    return None


def _by_trust(
    offers: Iterable[Offer],
    views: Mapping[TargetName, TargetView],
    now_s: float,
) -> tuple[list[Offer], list[Offer]]:
    """Part the trusted from those that serve when all these are full."""
    trusted: list[Offer] = []
    others: list[Offer] = []
    for one in offers:
        view = views.get(one.target.name, NO_VIEW)
        (trusted if _is_trusted(view, now_s) else others).append(one)
    return trusted, others


def _is_trusted(view: TargetView, now_s: float) -> bool:
    return view.trust.may_take(view.own, now_s)

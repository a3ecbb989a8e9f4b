"""Estimates how long a request would wait for a place."""

from collections.abc import Iterable
from dataclasses import dataclass

from .queue import WaitingRequest


@dataclass(frozen=True)
class EstimateRules:
    """When an estimate counts.

    Parameters
    ----------
    window_s
        Seconds for which an ended request counts.
    min_ended
        Fewer ended requests than this say nothing.

    """

    window_s: float = 10
    min_ended: int = 20


def requests_ahead(
    entry: WaitingRequest, queued: Iterable[WaitingRequest]
) -> int:
    """Return how many waiting requests go before another.

    Organisations take turns, so that one's long queue does not hold up
    another's short one.

    Parameters
    ----------
    entry
        The request.
    queued
        The requests that wait for the same deployments.

    """
    priority = entry.priority
    before = [one for one in queued if one.priority >= priority]
    organisations = {one.request.organisation for one in before}
    own = entry.request.organisation
    of_own = sum(one.request.organisation == own for one in before)
    turns = (of_own + 1) * len(organisations | {own}) - 1
    return min(len(before), turns)


def estimated_wait_s(
    before: int,
    ended: int,
    rules: EstimateRules,
) -> float:
    """Return seconds until a place; zero when too little is known.

    Parameters
    ----------
    before
        Requests that go first.
    ended
        Requests that ended within the window, and so freed their places.
    rules
        When an estimate counts.

    """
    if ended < rules.min_ended:
        return 0
    return before * rules.window_s / ended

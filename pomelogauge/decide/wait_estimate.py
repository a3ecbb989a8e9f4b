"""Estimates how long a request would wait for a slot."""

from collections.abc import Iterable
from dataclasses import dataclass

from .queue import WaitingRequest


@dataclass(frozen=True)
class EstimateRules:
    """Data that an estimate of the wait needs.

    Parameters
    ----------
    window_s
        Seconds for which the end of a request counts.
    min_ended
        With fewer requests in the window there is no estimate.

    """

    window_s: float = 10
    min_ended: int = 20


def requests_ahead(
    entry: WaitingRequest, queued: Iterable[WaitingRequest]
) -> int:
    """Return how many waiting requests are served before another.

    Only requests of at least the same priority are. Organisations take turns,
    so that one's long queue does not hold up another's short one.

    Parameters
    ----------
    entry
        Request whose wait is estimated.
    queued
        Other requests that wait for the same deployments.

    """
    priority = entry.priority
    ahead = [other for other in queued if other.priority >= priority]
    organisations = {other.request.organisation for other in ahead}
    own = entry.request.organisation
    of_own = sum(other.request.organisation == own for other in ahead)
    turns = (of_own + 1) * len(organisations | {own}) - 1
    return min(len(ahead), turns)


def estimated_wait_s(
    ahead: int,
    ended: int,
    rules: EstimateRules,
) -> float:
    """Return the seconds until a slot is free; zero without an estimate.

    Parameters
    ----------
    ahead
        Requests that are served before this one.
    ended
        Requests that ended within the window and freed their slots.
    rules
        Window and least number of requests in it.

    """
    if ended < rules.min_ended:
        return 0
    return ahead * rules.window_s / ended

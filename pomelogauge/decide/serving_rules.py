"""Admits requests by the configuration and picks the service for each."""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum

from ..model.entry_request import AdmittedRequest, CallerRequest
from ..model.fleet import Fleet
from ..model.serving import Organisation, Route, ServingConfig, Share

#: Seconds within which a request is answered if the caller sets no time.
DEFAULT_TIME_BUDGET_S = 10.0


class Denial(StrEnum):
    """Reasons for which a request is not sent to a target.

    The values are labels of a metric and texts of answers.
    """

    NO_CONFIGURATION = 'no configuration is known yet'
    UNCONFIRMED = 'the configuration could not be confirmed in time'
    NO_ROUTE = 'no route matches'
    NO_KEY = 'the key is unknown'
    NO_SERVICE = 'the service of the route is unknown'
    NO_TARGET = 'no target can take the request now'
    NO_RETRY = 'no repeat is left in the budget'
    SUSPECTED = 'a part of the prompt may crash targets'
    QUARANTINED = 'a part of the prompt crashes targets'
    LEAVING = 'this instance is shutting down'


@dataclass(frozen=True)
class AdmissionBounds:
    """Longest ages of the data with which requests are admitted.

    Parameters
    ----------
    key_age_s
        Seconds since the configuration was last confirmed after which keys
        are no longer accepted, since they may have been revoked. Requests are
        then denied as ``UNCONFIRMED`` only, which the caller may retry.

    """

    key_age_s: float


def admit(
    req: CallerRequest,
    fleet: Fleet,
    bounds: AdmissionBounds,
    draw: float,
) -> AdmittedRequest | Denial:
    """Find the route, the organisation and the service of a request.

    Parameters
    ----------
    req
        Request as read from the caller.
    fleet
        Configuration and the time at which it was confirmed.
    bounds
        Longest age of the configuration.
    draw
        Random number from zero to one that picks a service of a traffic
        split.

    Returns
    -------
    AdmittedRequest or Denial
        A denial where the configuration is missing, too old or does not
        allow the request.

    """
    config = fleet.config
    if config is None:
        return Denial.NO_CONFIGURATION
    is_old = req.received_at_s - fleet.confirmed_s > bounds.key_age_s
    route = find_route(config, req.host, req.path)
    if route is None:
        return Denial.UNCONFIRMED if is_old else Denial.NO_ROUTE
    organisation = None
    if config.has_organisations and not route.is_public:
        if is_old:
            return Denial.UNCONFIRMED
        organisation = config.keys.get(req.key)
        if organisation is None:
            return Denial.NO_KEY
    service = config.services.get(pick_share(route.shares, draw).service)
    if service is None:
        return Denial.NO_SERVICE
    return AdmittedRequest(
        req=req,
        route=route,
        service=service,
        organisation=organisation,
        priority=_priority(route, organisation),
        deadline_s=req.received_at_s + _budget_s(req, route),
    )


def recheck(
    admitted: AdmittedRequest,
    fleet: Fleet,
    bounds: AdmissionBounds,
    now_s: float,
) -> Denial | None:
    """Return why an admitted request must not be sent to a target any more.

    An admission holds for as long as a confirmed configuration does. After
    that, because the process was suspended or the request had to wait, the
    newest configuration decides.

    Parameters
    ----------
    admitted
        The request with the organisation that its key had.
    fleet
        Newest configuration and the time at which it was confirmed.
    bounds
        Longest age of the configuration.
    now_s
        Present time of the local clock.

    """
    age_s = now_s - admitted.req.received_at_s
    if admitted.organisation is None or age_s <= bounds.key_age_s:
        return None
    if fleet.config is None:
        return Denial.NO_CONFIGURATION
    if now_s - fleet.confirmed_s > bounds.key_age_s:
        return Denial.UNCONFIRMED
    if admitted.req.key not in fleet.config.keys:
        return Denial.NO_KEY
    return None


def check_parts(
    req: CallerRequest, fleet: Fleet, *, is_retry: bool
) -> Denial | None:
    """Return why the prompt of a request keeps it from being sent.

    Parameters
    ----------
    req
        The request.
    fleet
        Parts that are suspected and quarantined now.
    is_retry
        Whether it was sent to another target before.

    """
    if not fleet.parts.quarantined.isdisjoint(req.shared_parts):
        return Denial.QUARANTINED
    if is_retry and not fleet.parts.suspected.isdisjoint(req.shared_parts):
        return Denial.SUSPECTED
    return None


def find_route(config: ServingConfig, host: str, path: str) -> Route | None:
    """Return the route of a path; ``None`` if no prefix matches.

    The routes of a host are ordered by length, so that the longest prefix
    wins.
    """
    for route in config.routes.get(host, ()):
        if path.startswith(route.prefix):
            return route
    return None


def pick_share(shares: Sequence[Share], draw: float) -> Share:
    """Pick a service of a traffic split in proportion to its weight."""
    remaining = draw * sum(share.weight for share in shares)
    for share in shares:
        remaining -= share.weight
        if remaining < 0:
            return share
    return shares[-1]


def _priority(route: Route, organisation: Organisation | None) -> int:
    if organisation is None or organisation.priority is None:
        return route.priority
    return organisation.priority


def _budget_s(req: CallerRequest, route: Route) -> float:
    budget_s = DEFAULT_TIME_BUDGET_S if req.budget_s is None else req.budget_s
    return min(budget_s, route.timeout_s) if route.timeout_s else budget_s

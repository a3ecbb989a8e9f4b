"""Decides whether the configuration allows a request, and where it goes."""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum

from ..model.entry_request import AdmittedRequest, CallerRequest
from ..model.fleet import Fleet
from ..model.serving import Organisation, Route, ServingConfig, Share

#: Seconds that a caller waits who does not say how long.
USUAL_BUDGET_S = 10.0


class Denial(StrEnum):
    """Why a request is not passed on."""

    NO_CONFIGURATION = 'no configuration is known yet'
    UNCONFIRMED = 'the configuration could not be confirmed in time'
    NO_ROUTE = 'no route matches'
    NO_KEY = 'the key is unknown'
    NO_SERVICE = 'the service of the route is unknown'
    NO_TARGET = 'no target can take the request now'
    NO_RETRY = 'no repeat is left in the budget'


@dataclass(frozen=True)
class AdmissionBounds:
    """Ages of knowledge that requests bear.

    Parameters
    ----------
    key_age_s
        Age of the configuration beyond which no key is used and nothing is
        denied for good.

    """

    key_age_s: float


def admit(
    req: CallerRequest,
    fleet: Fleet,
    bounds: AdmissionBounds,
    draw: float,
) -> AdmittedRequest | Denial:
    """Apply the configuration to a request.

    Parameters
    ----------
    req
        The request.
    fleet
        What is known.
    bounds
        Ages of knowledge.
    draw
        Random number from zero to one that picks a service of a split.

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


def find_route(config: ServingConfig, host: str, path: str) -> Route | None:
    """Return the route with the longest prefix that begins the path."""
    for route in config.routes.get(host, ()):
        if path.startswith(route.prefix):
            return route
    return None


def pick_share(shares: Sequence[Share], draw: float) -> Share:
    """Pick a service of a split by its weight."""
    left = draw * sum(share.weight for share in shares)
    for share in shares:
        left -= share.weight
        if left < 0:
            return share
    return shares[-1]


def _priority(route: Route, organisation: Organisation | None) -> int:
    if organisation is None or organisation.priority is None:
        return route.priority
    return organisation.priority


def _budget_s(req: CallerRequest, route: Route) -> float:
    budget_s = USUAL_BUDGET_S if req.budget_s is None else req.budget_s
    return min(budget_s, route.timeout_s) if route.timeout_s else budget_s

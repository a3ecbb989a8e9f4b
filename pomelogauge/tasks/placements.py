"""Requests that have a place on a replica."""

from collections import Counter
from dataclasses import dataclass

from ..model.ids import DeploymentName, OrganisationName, RequestId
from ..model.request import Place


@dataclass(frozen=True)
class Placed:
    """A request and its place."""

    organisation: OrganisationName
    place: Place


class Placements:
    """Places given and not yet free; state of the dispatcher's task."""

    def __init__(self) -> None:
        """Start empty."""
        self._placed: dict[RequestId, Placed] = {}

    def add(self, placed: Placed) -> None:
        """Note a place."""
        self._placed[placed.place.request] = placed

    def pop(self, request: RequestId) -> Placed | None:
        """Forget a place and return it."""
        return self._placed.pop(request, None)

    def by_organisation(self) -> Counter[OrganisationName]:
        """Count the requests of each organisation."""
        return Counter(one.organisation for one in self._placed.values())

    def by_deployment(self) -> Counter[DeploymentName]:
        """Count the requests on each deployment."""
        return Counter(one.place.deployment for one in self._placed.values())

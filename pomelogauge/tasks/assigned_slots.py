"""Requests that have a place on a replica."""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass

from ..model.ids import DeploymentName, OrganisationName, RequestId
from ..model.request import Slot


@dataclass(frozen=True)
class AssignedSlot:
    """A request and its place."""

    organisation: OrganisationName
    slot: Slot


class AssignedSlots:
    """Places given and not yet free; state of the dispatcher's task."""

    def __init__(self) -> None:
        """Start empty."""
        self._placed: dict[RequestId, AssignedSlot] = {}
        self._organisations: Counter[OrganisationName] = Counter()

    def add(self, placed: AssignedSlot) -> None:
        """Note a place."""
        self._placed[placed.slot.request] = placed
        self._organisations[placed.organisation] += 1

    def pop(self, request: RequestId) -> AssignedSlot | None:
        """Forget a place and return it."""
        placed = self._placed.pop(request, None)
        if placed:
            self._organisations[placed.organisation] -= 1
        return placed

    def by_organisation(self) -> Mapping[OrganisationName, int]:
        """Return the number of requests of each organisation."""
        return self._organisations

    def by_deployment(self) -> Counter[DeploymentName]:
        """Count the requests on each deployment."""
        return Counter(one.slot.deployment for one in self._placed.values())

"""Slots of replicas that requests have at present."""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass

from ..model.ids import DeploymentName, OrganisationName, RequestId
from ..model.request import Slot


@dataclass(frozen=True)
class AssignedSlot:
    """A slot and the organisation whose request has it."""

    organisation: OrganisationName
    slot: Slot


class AssignedSlots:
    """Slots granted and not yet released; state of the dispatcher's task."""

    def __init__(self) -> None:
        """Start without assigned slots."""
        self._assigned: dict[RequestId, AssignedSlot] = {}
        self._organisations: Counter[OrganisationName] = Counter()

    def add(self, assigned: AssignedSlot) -> None:
        """Add the slot that a request was granted."""
        self._assigned[assigned.slot.request] = assigned
        self._organisations[assigned.organisation] += 1

    def pop(self, request: RequestId) -> AssignedSlot | None:
        """Remove a request's slot and return it; ``None`` if it has none."""
        assigned = self._assigned.pop(request, None)
        if assigned:
            self._organisations[assigned.organisation] -= 1
        return assigned

    def by_organisation(self) -> Mapping[OrganisationName, int]:
        """Return the number of slots of each organisation.

        The mapping is live: it follows later changes.
        """
        return self._organisations

    def by_deployment(self) -> Counter[DeploymentName]:
        """Count the assigned slots of each deployment."""
        return Counter(held.slot.deployment for held in self._assigned.values())

"""Allocation of calls to the instances of services."""

from ..model.ids import RequestId
from ..model.request import Refusal, RefusalCode, ServiceSlot, SlotOutcome
from .messages import RequestServiceSlot
from .router_state import RouterState
from .service_fleet import ServiceFleet


class ServiceAllocator:
    """Allocates instances to calls; state of the dispatcher's task.

    Parameters
    ----------
    fleet
        Instances of services.
    retry_after_s
        Seconds after which a refused caller may try again.

    """

    def __init__(self, fleet: ServiceFleet, retry_after_s: float) -> None:
        """Start without allocated calls."""
        self.fleet = fleet
        self._retry_after_s = retry_after_s
        self._calls: dict[RequestId, ServiceSlot] = {}

    def allocate(
        self,
        slot_request: RequestServiceSlot,
        state: RouterState,
        now_s: float,
    ) -> None:
        """Reply with an instance or a refusal."""
        req = slot_request.request
        # A call that had an instance before is work in progress, which a
        # router that is leaving or cut off still completes.
        refusal = None
        if not slot_request.avoid:
            refusal = state.readiness_refusal(req.request, self._retry_after_s)
        slot_request.reply.post(
            refusal or self._choose(slot_request, state, now_s)
        )

    def release(
        self, request: RequestId, end: SlotOutcome, now_s: float
    ) -> None:
        """Release the instance of a call, if it has one."""
        slot = self._calls.pop(request, None)
        if slot is None:
            return
        self.fleet.record_ended(slot.instance)
        if end is SlotOutcome.LOST:
            self.fleet.record_lost(slot.instance, now_s)

    def running(self) -> int:
        """Return the number of calls that have an instance."""
        return len(self._calls)

    def _choose(
        self,
        slot_request: RequestServiceSlot,
        state: RouterState,
        now_s: float,
    ) -> ServiceSlot | Refusal:
        req = slot_request.request
        instance = self.fleet.choose(
            req.service, state.configuration.drained, slot_request.avoid, now_s
        )
        if instance is None:
            return Refusal(
                RefusalCode.NO_CAPACITY,
                f'no instance of service {req.service} is available',
                retry_after_s=self._retry_after_s,
                request=req.request,
            )
        slot = ServiceSlot(req.request, instance.name, instance.address)
        self._calls[req.request] = slot
        self.fleet.record_sent(instance.name)
        return slot

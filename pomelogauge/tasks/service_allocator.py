"""Places on the instances of plain services."""

from ..model.ids import RequestId
from ..model.request import Refusal, RefusalCode, ServiceSlot, SlotOutcome
from .messages import RequestServiceSlot
from .router_state import RouterState
from .service_fleet import ServiceFleet


class ServiceAllocator:
    """Gives instances to calls; state of the dispatcher's task.

    Parameters
    ----------
    fleet
        Instances.
    retry_after_s
        Hint for those refused.

    """

    def __init__(self, fleet: ServiceFleet, retry_after_s: float) -> None:
        """Have given no place yet."""
        self.fleet = fleet
        self._retry_after_s = retry_after_s
        self._calls: dict[RequestId, ServiceSlot] = {}

    def allocate(
        self,
        slot_request: RequestServiceSlot,
        state: RouterState,
        now_s: float,
    ) -> None:
        """Answer an ask."""
        req = slot_request.request
        # A call that was already placed once is work in progress.
        refusal = None
        if not slot_request.avoid:
            refusal = state.readiness_refusal(req.request, self._retry_after_s)
        slot_request.reply.post(
            refusal or self._choose(slot_request, state, now_s)
        )

    def release(
        self, request: RequestId, end: SlotOutcome, now_s: float
    ) -> None:
        """Take a place back if the request has one."""
        slot = self._calls.pop(request, None)
        if slot is None:
            return
        self.fleet.record_ended(slot.instance)
        if end is SlotOutcome.LOST:
            self.fleet.record_lost(slot.instance, now_s)

    def running(self) -> int:
        """Return how many calls have a place."""
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
                f'no instance of {req.service} takes calls',
                retry_after_s=self._retry_after_s,
                request=req.request,
            )
        slot = ServiceSlot(req.request, instance.name, instance.address)
        self._calls[req.request] = slot
        self.fleet.record_sent(instance.name)
        return slot

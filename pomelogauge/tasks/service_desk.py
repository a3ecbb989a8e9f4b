"""Places on the instances of plain services."""

from ..model.ids import RequestId
from ..model.request import Refusal, RefusalCode, ServiceSlot, SlotOutcome
from .messages import AskServicePlace
from .router_state import RouterState
from .service_fleet import ServiceFleet


class ServiceDesk:
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

    def place(
        self,
        ask: AskServicePlace,
        state: RouterState,
        now_s: float,
    ) -> None:
        """Answer an ask."""
        req = ask.request
        # A call that was already placed once is work in progress.
        refusal = None
        if not ask.avoid:
            refusal = state.closed(req.request, self._retry_after_s)
        ask.reply.post(refusal or self._choose(ask, state, now_s))

    def free(self, request: RequestId, end: SlotOutcome, now_s: float) -> None:
        """Take a place back if the request has one."""
        place = self._calls.pop(request, None)
        if place is None:
            return
        self.fleet.note_freed(place.instance)
        if end is SlotOutcome.LOST:
            self.fleet.note_lost(place.instance, now_s)

    def running(self) -> int:
        """Return how many calls have a place."""
        return len(self._calls)

    def _choose(
        self,
        ask: AskServicePlace,
        state: RouterState,
        now_s: float,
    ) -> ServiceSlot | Refusal:
        req = ask.request
        instance = self.fleet.choose(
            req.service, state.configuration.drained, ask.avoid, now_s
        )
        if instance is None:
            return Refusal(
                RefusalCode.NO_CAPACITY,
                f'no instance of {req.service} takes calls',
                retry_after_s=self._retry_after_s,
                request=req.request,
            )
        place = ServiceSlot(req.request, instance.name, instance.address)
        self._calls[req.request] = place
        self.fleet.note_sent(instance.name)
        return place

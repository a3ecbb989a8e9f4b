"""Allocation of slots on replicas to model requests."""

import math
from collections.abc import Iterator

from returns.result import Failure

from ..decide.access import deployments_for
from ..decide.queue import OrganisationLoad, QueueLimits
from ..decide.routing import CandidateReplica, Policy, eligible_replicas
from ..model.ids import OrganisationName, RequestId
from ..model.peers import Demand
from ..model.request import (
    Refusal,
    RefusalCode,
    Slot,
    SlotOutcome,
)
from .admission import Admission
from .assigned_slots import AssignedSlot, AssignedSlots
from .fleet import Fleet
from .messages import RequestSlot
from .published import Published
from .request_queue import Needs, QueuedRequest, RequestQueue
from .router_state import RouterState


class ModelAllocator:
    """Allocates slots to model requests; part of the dispatcher's task.

    Parameters
    ----------
    limits
        Bounds of the queue.
    fleet
        Replicas with the slots granted to this router.
    policy
        Chooses among eligible replicas.
    published
        Configuration and phase of this router.

    """

    def __init__(
        self,
        limits: QueueLimits,
        fleet: Fleet,
        policy: Policy,
        published: Published[RouterState],
    ) -> None:
        """Start without requests."""
        self._limits = limits
        self._fleet = fleet
        self._policy = policy
        self._published = published
        self._queue = RequestQueue()
        self._assigned_slots = AssignedSlots()
        self._admission = Admission(limits, self._queue, self._assigned_slots)
        self._release_at_s = math.inf

    def admit(self, slot_request: RequestSlot, now_s: float) -> None:
        """Queue a request, or refuse it at once.

        The reply is posted when a slot is allocated or the request refused.
        """
        state = self._published.latest()
        refusal = self._admission.refusal(slot_request, state)
        if refusal:
            slot_request.reply.post(refusal)
            return
        self._enqueue(slot_request)
        self.assign_waiting(now_s)
        self._refuse_late(slot_request.request.request, now_s)

    def release(
        self, request: RequestId, end: SlotOutcome, now_s: float
    ) -> None:
        """Release the slot of a request, if it has one."""
        placed = self._assigned_slots.pop(request)
        if placed is None:
            return
        replica = placed.slot.view.replica
        self._admission.record_ended(replica.deployment, now_s)
        self._fleet.record_ended(replica.replica, request, end, now_s)
        self.assign_waiting(now_s)

    def cancel(self, request: RequestId, now_s: float) -> None:
        """Drop a request whose caller has disconnected."""
        self._queue.remove(request)
        self.release(request, SlotOutcome.CANCELLED, now_s)

    def recheck_queue(self) -> None:
        """Check the waiting requests against a new configuration."""
        for queued in self._queue:
            self._queue.remove(queued.request)
            self._enqueue(queued.slot_request)

    def assign_waiting(self, now_s: float) -> None:
        """Allocate free slots to waiting requests, in the order of the queue."""
        full: set[Needs] = set()
        weights = _weights(self._published.latest())
        # The loads are live views: they count what this loop allocates.
        shares = OrganisationLoad(
            self._assigned_slots.by_organisation(), weights
        )
        while len(self._queue):
            queued = self._queue.first(shares, full)
            if queued is None:
                return
            candidate = self._choose(queued, now_s)
            if candidate:
                self._place(queued, candidate, now_s)
            else:
                full.add(queued.needs)

    def process_due(self, now_s: float) -> None:
        """Refuse expired requests, and use replicas whose hold is over."""
        while queued := self._queue.next_expired(now_s):
            message = 'no slot became free before the deadline'
            self._refuse(queued, RefusalCode.DEADLINE, message)
        if now_s >= self._release_at_s:
            self.assign_waiting(now_s)

    def refuse_all(
        self,
        code: RefusalCode = RefusalCode.DRAINING,
        message: str = 'this entry stops',
    ) -> None:
        """Refuse all waiting requests, as the router stops or is cut off."""
        for queued in self._queue:
            self._refuse(queued, code, message)

    def next_due_s(self, now_s: float) -> float | None:
        """Return seconds until a deadline or the end of a hold.

        ``None`` when no request waits.
        """
        deadline_at_s = self._queue.next_deadline_s()
        if deadline_at_s is None:
            self._release_at_s = math.inf
            return None
        self._release_at_s = self._fleet.next_release_at_s(now_s)
        return max(min(deadline_at_s, self._release_at_s) - now_s, 0)

    def waiting_count(self) -> int:
        """Return the number of waiting requests."""
        return len(self._queue)

    def demands(self) -> Iterator[Demand]:
        """Yield the waiting and running requests of each deployment."""
        waiting = self._queue.by_deployment()
        running = self._assigned_slots.by_deployment()
        for name in sorted({*waiting, *running}):
            yield Demand(name, waiting[name], running[name])

    def _refuse_late(self, request: RequestId, now_s: float) -> None:
        """Refuse a request that still waits if its estimated wait is too long."""
        queued = self._queue.get(request)
        refusal = queued and self._admission.late_refusal(queued, now_s)
        if queued and refusal:
            self._queue.remove(request)
            queued.slot_request.reply.post(refusal)

    def _enqueue(self, slot_request: RequestSlot) -> None:
        configuration = self._published.latest().configuration
        allowed = deployments_for(configuration, slot_request.request)
        if isinstance(allowed, Failure):
            slot_request.reply.post(allowed.failure())
        else:
            self._queue.add(slot_request, allowed.unwrap())

    def _choose(
        self, queued: QueuedRequest, now_s: float
    ) -> CandidateReplica | None:
        candidates = eligible_replicas(
            self._published.latest().configuration,
            self._fleet.candidates(queued.needs.deployments, now_s),
            queued.needs.avoid,
        )
        return self._policy.choose(queued.slot_request.request, candidates)

    def _place(
        self, queued: QueuedRequest, candidate: CandidateReplica, now_s: float
    ) -> None:
        req = queued.slot_request.request
        replica = candidate.view.replica
        address = replica.members[0].address
        slot = Slot(req.request, replica.deployment, candidate.view, address)
        self._queue.remove(req.request)
        self._assigned_slots.add(AssignedSlot(req.organisation, slot))
        self._fleet.record_sent(candidate.replica, req.request, now_s)
        queued.slot_request.reply.post(slot)

    def _refuse(
        self,
        queued: QueuedRequest,
        code: RefusalCode,
        message: str,
    ) -> None:
        request = queued.request
        self._queue.remove(request)
        retry_s = self._limits.retry_after_s
        queued.slot_request.reply.post(
            Refusal(code, message, retry_after_s=retry_s, request=request)
        )


def _weights(state: RouterState) -> dict[OrganisationName, int]:
    return {
        name: organisation.weight
        for name, organisation in state.organisations.items()
    }

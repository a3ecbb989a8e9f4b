"""Decides whether a request may wait for a slot."""

from collections import deque
from dataclasses import dataclass

from ..decide.queue import QueueLimits, WaitingRequest, admission_refusal
from ..decide.retry_budget import RetryBudget
from ..decide.wait_estimate import (
    EstimateRules,
    estimated_wait_s,
    requests_ahead,
)
from ..model.ids import DeploymentName
from ..model.request import Refusal, RefusalCode
from .assigned_slots import AssignedSlots
from .messages import RequestSlot
from .request_queue import QueuedRequest, RequestQueue
from .router_state import RouterState


@dataclass(frozen=True)
class _ReleasedSlot:
    """A slot of a deployment that was released."""

    deployment: DeploymentName
    at_s: float


class Admission:
    """Applies the limits of the queue; state of the dispatcher's task.

    Parameters
    ----------
    limits
        Limits of the queue.
    queue, assigned_slots
        Requests that wait and requests that have a slot.

    """

    def __init__(
        self,
        limits: QueueLimits,
        queue: RequestQueue,
        assigned_slots: AssignedSlots,
    ) -> None:
        """Start without released slots and with a full retry budget."""
        self._limits = limits
        self._queue = queue
        self._assigned_slots = assigned_slots
        self._rules = EstimateRules()
        self._budget = RetryBudget()
        self._released: deque[_ReleasedSlot] = deque()

    def record_ended(self, deployment: DeploymentName, now_s: float) -> None:
        """Record a released slot for the estimates of the wait."""
        self._released.append(_ReleasedSlot(deployment, now_s))
        while self._released[0].at_s <= now_s - self._rules.window_s:
            self._released.popleft()

    def refusal(
        self, slot_request: RequestSlot, state: RouterState
    ) -> Refusal | None:
        """Return why a request may not join the queue; ``None`` if it may.

        A request that was admitted before is checked against the retry
        budget only.
        """
        if slot_request.admitted:
            return self._retry_refusal(slot_request)
        self._budget = self._budget.after_first_try()
        req = slot_request.request
        readiness_refusal = state.readiness_refusal(
            req.request, self._limits.retry_after_s
        )
        if readiness_refusal:
            return readiness_refusal
        running = self._assigned_slots.by_organisation()
        waiting = self._queue.count_of(req.organisation)
        organisation = state.organisations.get(req.organisation)
        return admission_refusal(
            req,
            len(self._queue),
            running.get(req.organisation, 0) + waiting,
            organisation.max_in_flight if organisation else 0,
            self._limits,
        )

    def late_refusal(
        self, queued: QueuedRequest, now_s: float
    ) -> Refusal | None:
        """Return the refusal of a request that would miss its deadline.

        Parameters
        ----------
        queued
            Request in the queue.
        now_s
            Local clock.

        Returns
        -------
        Refusal or None
            ``None`` when a slot may come in time, and for a request that was
            admitted before, which waits until its deadline.

        """
        wait_s = self._estimated_wait_s(queued, now_s)
        deadline_s = queued.waiting.deadline_at_s - now_s
        if queued.slot_request.admitted or wait_s <= deadline_s:
            return None
        return Refusal(
            RefusalCode.DEADLINE,
            f'the estimated wait for a slot, {wait_s:.0f} s, '
            f'exceeds the {deadline_s:.0f} s left until the deadline',
            retry_after_s=max(wait_s - deadline_s, self._limits.retry_after_s),
            request=queued.request,
        )

    def _retry_refusal(self, slot_request: RequestSlot) -> Refusal | None:
        if not slot_request.avoid:
            return None
        left = self._budget.after_retry()
        if left is None:
            return Refusal(
                RefusalCode.TARGET_LOST,
                'the target was lost and the retry budget is used up',
                retry_after_s=self._limits.retry_after_s,
                request=slot_request.request.request,
            )
        self._budget = left
        return None

    def _estimated_wait_s(self, queued: QueuedRequest, now_s: float) -> float:
        wanted = set(queued.needs.deployments)
        since_s = now_s - self._rules.window_s
        ended = sum(
            released.deployment in wanted and released.at_s > since_s
            for released in self._released
        )
        before = requests_ahead(queued.waiting, self._competing(queued))
        return estimated_wait_s(before, ended, self._rules)

    def _competing(self, queued: QueuedRequest) -> list[WaitingRequest]:
        wanted = set(queued.needs.deployments)
        return [
            other.waiting
            for other in self._queue
            if other.request != queued.request
            and wanted.intersection(other.needs.deployments)
        ]

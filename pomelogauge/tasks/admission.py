"""Decides whether a request may wait for a place."""

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
class _Ended:
    """A place that came free."""

    deployment: DeploymentName
    at_s: float


class Admission:
    """Bounds of what waits; state of the dispatcher's task.

    Parameters
    ----------
    limits
        Bounds of the queue.
    queue, assigned_slots
        What waits and what runs.

    """

    def __init__(
        self,
        limits: QueueLimits,
        queue: RequestQueue,
        assigned_slots: AssignedSlots,
    ) -> None:
        """Have seen nothing yet."""
        self._limits = limits
        self._queue = queue
        self._assigned_slots = assigned_slots
        self._rules = EstimateRules()
        self._budget = RetryBudget()
        self._ended: deque[_Ended] = deque()

    def record_ended(self, deployment: DeploymentName, now_s: float) -> None:
        """Count a place that came free."""
        self._ended.append(_Ended(deployment, now_s))
        while self._ended[0].at_s <= now_s - self._rules.window_s:
            self._ended.popleft()

    def refusal(
        self, slot_request: RequestSlot, state: RouterState
    ) -> Refusal | None:
        """Return why a request may not wait, whoever else does."""
        if slot_request.admitted:
            return self._retry_refusal(slot_request)
        self._budget = self._budget.after_first_try()
        req = slot_request.request
        readiness_refusal = state.readiness_refusal(
            req.request, self._limits.retry_after_s
        )
        if readiness_refusal:
            return readiness_refusal
        placed = self._assigned_slots.by_organisation()
        waiting = self._queue.count_of(req.organisation)
        organisation = state.organisations.get(req.organisation)
        return admission_refusal(
            req,
            len(self._queue),
            placed.get(req.organisation, 0) + waiting,
            organisation.max_in_flight if organisation else 0,
            self._limits,
        )

    def late_refusal(
        self, queued: QueuedRequest, now_s: float
    ) -> Refusal | None:
        """Return why a request would wait past its deadline."""
        wait_s = self._estimate_s(queued, now_s)
        deadline_s = queued.waiting.deadline_at_s - now_s
        if queued.slot_request.admitted or wait_s <= deadline_s:
            return None
        return Refusal(
            RefusalCode.DEADLINE,
            f'a place would take about {wait_s:.0f} s',
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
                'the target was lost and no retries are left',
                retry_after_s=self._limits.retry_after_s,
                request=slot_request.request.request,
            )
        self._budget = left
        return None

    def _estimate_s(self, queued: QueuedRequest, now_s: float) -> float:
        wanted = set(queued.needs.deployments)
        since_s = now_s - self._rules.window_s
        ended = sum(
            one.deployment in wanted and one.at_s > since_s
            for one in self._ended
        )
        before = requests_ahead(queued.waiting, self._rivals(queued))
        return estimated_wait_s(before, ended, self._rules)

    def _rivals(self, queued: QueuedRequest) -> list[WaitingRequest]:
        wanted = set(queued.needs.deployments)
        return [
            other.waiting
            for other in self._queue
            if other.request != queued.request
            and wanted.intersection(other.needs.deployments)
        ]

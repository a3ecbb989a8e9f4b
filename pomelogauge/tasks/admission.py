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
from .messages import AskPlace
from .placements import Placements
from .request_queue import Queued, RequestQueue
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
    queue, placements
        What waits and what runs.

    """

    def __init__(
        self,
        limits: QueueLimits,
        queue: RequestQueue,
        placements: Placements,
    ) -> None:
        """Have seen nothing yet."""
        self._limits = limits
        self._queue = queue
        self._placements = placements
        self._rules = EstimateRules()
        self._budget = RetryBudget()
        self._ended: deque[_Ended] = deque()

    def note_ended(self, deployment: DeploymentName, now_s: float) -> None:
        """Count a place that came free."""
        self._ended.append(_Ended(deployment, now_s))
        while self._ended[0].at_s <= now_s - self._rules.window_s:
            self._ended.popleft()

    def refusal(self, ask: AskPlace, state: RouterState) -> Refusal | None:
        """Return why a request may not wait, whoever else does."""
        if ask.admitted:
            return self._retry_refusal(ask)
        self._budget = self._budget.after_first_try()
        req = ask.request
        closed = state.closed(req.request, self._limits.retry_after_s)
        if closed:
            return closed
        placed = self._placements.by_organisation()
        waiting = self._queue.count_of(req.organisation)
        organisation = state.organisations.get(req.organisation)
        return admission_refusal(
            req,
            len(self._queue),
            placed.get(req.organisation, 0) + waiting,
            organisation.max_in_flight if organisation else 0,
            self._limits,
        )

    def late_refusal(self, queued: Queued, now_s: float) -> Refusal | None:
        """Return why a request would wait past its deadline."""
        wait_s = self._estimate_s(queued, now_s)
        deadline_s = queued.waiting.deadline_at_s - now_s
        if queued.ask.admitted or wait_s <= deadline_s:
            return None
        return Refusal(
            RefusalCode.DEADLINE,
            f'a place would take about {wait_s:.0f} s',
            retry_after_s=max(wait_s - deadline_s, self._limits.retry_after_s),
            request=queued.request,
        )

    def _retry_refusal(self, ask: AskPlace) -> Refusal | None:
        if not ask.avoid:
            return None
        left = self._budget.after_retry()
        if left is None:
            return Refusal(
                RefusalCode.TARGET_LOST,
                'the target was lost and no retries are left',
                retry_after_s=self._limits.retry_after_s,
                request=ask.request.request,
            )
        self._budget = left
        return None

    def _estimate_s(self, queued: Queued, now_s: float) -> float:
        wanted = set(queued.needs.deployments)
        since_s = now_s - self._rules.window_s
        ended = sum(
            one.deployment in wanted and one.at_s > since_s
            for one in self._ended
        )
        before = requests_ahead(queued.waiting, self._rivals(queued))
        return estimated_wait_s(before, ended, self._rules)

    def _rivals(self, queued: Queued) -> list[WaitingRequest]:
        wanted = set(queued.needs.deployments)
        return [
            other.waiting
            for other in self._queue
            if other.request != queued.request
            and wanted.intersection(other.needs.deployments)
        ]

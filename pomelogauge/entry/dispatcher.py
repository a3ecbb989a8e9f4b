"""The task that chooses a target for each request."""

import math
from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from ..decide.eligible_targets import (
    NO_MODEL,
    EligibleTarget,
    EligibleTargets,
    list_eligible_targets,
)
from ..decide.instance_count import InstanceCount
from ..decide.instance_retry_budget import InstanceRetryBudget
from ..decide.serving_rules import Denial
from ..decide.target_choice import choose_target
from ..model.entry_request import TargetAddress
from ..model.fleet import Fleet
from ..model.ids import DataCentreName, NodeName, ServiceName, TargetName
from ..model.log_parts import Part
from ..model.target_limits import TargetLimit
from ..tasks.clock import Clock
from ..tasks.log import part_logger
from ..tasks.mailbox import Outbox
from ..tasks.published import Published
from .dispatch_messages import (
    DispatchMessage,
    LimitNamed,
    LimitsShared,
    LoadReceived,
    NoticeReceived,
    Outcome,
    SlotDenied,
    SlotGranted,
    SlotReleased,
    SlotRequested,
    TargetStalled,
)
from .messages import SuspectsShared, TargetsSuspected
from .target_throttles import TargetThrottles
from .target_views import TargetViews

#: Seconds after which callers are told to try again: when no target serves
#: their model, and when all that do are full. A new group is formed in one to
#: two seconds; a slot becomes free in a fraction of a second.
NO_TARGET_RETRY_AFTER_S = 1.2
NO_SLOT_RETRY_AFTER_S = 0.5
#: Random part that is added to these times, as a fraction of them, so that
#: callers do not all come back at once.
RETRY_SPREAD = 0.5

_log = part_logger(Part.CHOICE)


@dataclass(frozen=True)
class DispatchSettings:
    """Settings of the dispatcher.

    Parameters
    ----------
    own
        This instance.
    data_centre
        Data centre of this instance. Between equally loaded targets, those
        in it are chosen.
    retry_share
        Retries that are allowed for each request, for one service.
    retry_slack
        Retries that are allowed beyond that in a window, for one service
        and all entry instances together.
    retry_window_s
        Seconds over which requests and retries are counted.

    """

    own: NodeName
    data_centre: DataCentreName
    retry_share: float
    retry_slack: float
    retry_window_s: float


class Dispatcher:
    """Grants slots at targets to the requests of this instance.

    Owns the load and the ejection state of all targets, as this instance
    sees them, and the retry budgets.

    Parameters
    ----------
    settings
        Settings.
    published_fleet
        Newest state of the fleet; read only.
    membership
        The membership task, which reports suspects and limits to the owner.
    clock
        Local clock.
    rng
        Breaks ties and spreads callers that try again.

    """

    def __init__(
        self,
        settings: DispatchSettings,
        published_fleet: Published[Fleet],
        membership: Outbox[TargetsSuspected | TargetLimit],
        clock: Clock,
        rng: Random,
    ) -> None:
        """Start without load reports."""
        self._settings = settings
        self._published_fleet = published_fleet
        self._membership = membership
        self._clock = clock
        self._rng = rng
        self._views = TargetViews()
        self._budgets: dict[ServiceName, InstanceRetryBudget] = {}
        self._started_s = clock.now_s()
        self._instance_count = InstanceCount()
        self._throttles = TargetThrottles(settings.own)
        self._fleet = published_fleet.latest()
        self._throttles.change_fleet(self._fleet, clock.now_s())
        self._eligible: EligibleTargets = list_eligible_targets(self._fleet)

    def on_start(self) -> None:
        """Do nothing; this task owns no connection."""

    def on_message(self, message: DispatchMessage) -> None:
        """Grant or deny a slot, or update what is known of a target."""
        match message:
            case SlotRequested():
                message.reply.post(self._request_slot(message))
            case LoadReceived():
                self._views.record_load(
                    message.target, message.load, self._clock.now_s()
                )
            case NoticeReceived():
                self._throttles.record_notice(
                    message.destination, message.notice, self._clock.now_s()
                )
            case LimitNamed():
                self._record_limit(TargetLimit(message.target, message.per_s))
            case LimitsShared():
                for limit in message.limits:
                    self._throttles.record_limit(limit, message.as_of_s)
            case SlotReleased():
                self._views.release(message.target)
                self._record_outcome(message.target, message.outcome)
            case TargetStalled():
                self._record_outcome(message.target, Outcome.STALLED)
            case SuspectsShared():
                self._update_fleet()
                self._views.avoid(
                    message.targets, self._eligible, self._clock.now_s()
                )

    def on_timer(self) -> float | None:
        """Return ``None``: the task only waits for messages."""
        return None

    def on_stop(self) -> None:
        """Do nothing; this task owns no connection."""

    def _request_slot(self, request: SlotRequested) -> SlotGranted | SlotDenied:
        now_s = self._clock.now_s()
        self._update_fleet()
        service = request.admitted.service.name
        budget = self._budget(service)
        if not request.is_retry:
            budget.count_request(now_s)
        candidates = self._eligible_targets(request)
        if not candidates:
            # Targets that were tried may have asked for a pause.
            wait_s = self._first_wait_s(
                _all_targets(request, self._eligible), now_s
            )
            return self._deny(
                request,
                Denial.NO_TARGET,
                max(wait_s, NO_TARGET_RETRY_AFTER_S),
            )
        ready = [
            eligible
            for eligible in candidates
            if not self._throttles.wait_s(eligible.target, now_s)
        ]
        if not ready:
            return self._deny(
                request,
                Denial.NO_TARGET,
                self._first_wait_s(candidates, now_s),
            )
        chosen = choose_target(
            ready,
            self._views.all(),
            now_s,
            self._rng.random,
            self._settings.data_centre,
        )
        if chosen is None:
            return self._deny(request, Denial.NO_TARGET, NO_SLOT_RETRY_AFTER_S)
        if request.is_retry and not budget.take(now_s, self._retry_reserve()):
            return self._deny(request, Denial.NO_RETRY, NO_SLOT_RETRY_AFTER_S)
        return self._grant(request, chosen.candidate, chosen.load, now_s)

    def _grant(
        self,
        request: SlotRequested,
        candidate: EligibleTarget,
        load: float,
        now_s: float,
    ) -> SlotGranted:
        target = candidate.target
        own_requests = self._views.count_request(target.name)
        self._throttles.count_request(target)
        _log.info(
            'request %s gets a slot at target %s',
            request.admitted.req.attempt,
            target.name,
            extra={
                'request': request.admitted.req.attempt,
                'target': target.name,
                'load': round(load, 1),
                'own': own_requests,
                'row_version': str(target.version),
                'repeat': request.is_retry,
            },
        )
        return SlotGranted(
            TargetAddress(target.name, target.address, target.started_at_ms)
        )

    def _update_fleet(self) -> None:
        fleet = self._published_fleet.latest()
        if fleet is self._fleet:
            return
        before = self._fleet
        self._fleet = fleet
        self._instance_count.update(len(fleet.instances))
        self._eligible = list_eligible_targets(fleet)
        self._views.change_fleet(before, fleet)
        self._throttles.change_fleet(fleet, self._clock.now_s())

    def _eligible_targets(
        self, request: SlotRequested
    ) -> tuple[EligibleTarget, ...]:
        return tuple(
            eligible
            for eligible in _all_targets(request, self._eligible)
            if eligible.target.name not in request.tried
        )

    def _record_limit(self, limit: TargetLimit) -> None:
        if self._throttles.record_limit(limit, self._clock.now_s()):
            self._membership.post(limit)

    def _first_wait_s(
        self, candidates: Sequence[EligibleTarget], now_s: float
    ) -> float:
        """Return when the first of these targets may take a request.

        Targets that leave are replaced in the time that a new group takes.
        """
        wait_s = min(
            (
                _replacement_wait_s(
                    self._throttles.wait_s(candidate.target, now_s)
                )
                for candidate in candidates
            ),
            default=NO_TARGET_RETRY_AFTER_S,
        )
        return max(wait_s, NO_SLOT_RETRY_AFTER_S)

    def _deny(
        self,
        request: SlotRequested,
        denial: Denial,
        retry_after_s: float,
    ) -> SlotDenied:
        spread = 1 + RETRY_SPREAD * self._rng.random()
        denied = SlotDenied(denial, retry_after_s * spread)
        _log.info(
            'request %s gets no slot: %s',
            request.admitted.req.attempt,
            denial,
            extra={
                'request': request.admitted.req.attempt,
                'model': request.admitted.req.model,
                'repeat': request.is_retry,
                'retry_after_s': round(denied.retry_after_s, 2),
            },
        )
        return denied

    def _record_outcome(self, name: TargetName, outcome: Outcome) -> None:
        if self._views.record_outcome(name, outcome, self._clock.now_s()):
            self._membership.post(TargetsSuspected(frozenset((name,))))

    def _retry_reserve(self) -> float:
        """Return this instance's part of the retry reserve.

        It is zero while other instances are not known.
        """
        if not self._fleet.lists_all:
            return 0
        return (
            self._settings.retry_slack / self._instance_count.reserve_shares()
        )

    def _budget(self, service: ServiceName) -> InstanceRetryBudget:
        if service not in self._budgets:
            self._budgets[service] = InstanceRetryBudget(
                self._settings.retry_share,
                self._settings.retry_window_s,
                self._started_s,
            )
        return self._budgets[service]


def _all_targets(
    request: SlotRequested, eligible: EligibleTargets
) -> tuple[EligibleTarget, ...]:
    """Return the eligible targets for a request, tried or not."""
    admitted = request.admitted
    is_plain = admitted.service.engine is None
    model = NO_MODEL if is_plain else admitted.req.model
    return eligible.find(admitted.service.name, model)


def _replacement_wait_s(wait_s: float) -> float:
    """Return when a target, or what replaces it, takes requests again."""
    return NO_TARGET_RETRY_AFTER_S if math.isinf(wait_s) else wait_s

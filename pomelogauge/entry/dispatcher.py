"""The task that gives each request a target."""

from dataclasses import dataclass, replace
from random import Random

from ..charts.reader import load_chart
from ..decide.cold_rate_limiter import ColdRateLimiter
from ..decide.ejection_chart import (
    EJECTION_WORDS,
    EjectionAction,
    EjectionEvent,
)
from ..decide.eligible_targets import (
    NO_MODEL,
    EligibleTarget,
    EligibleTargets,
    list_eligible_targets,
)
from ..decide.instance_count import InstanceCount
from ..decide.instance_retry_budget import InstanceRetryBudget
from ..decide.outlier_ejection import NOT_EJECTED, apply_event
from ..decide.serving_rules import Denial
from ..decide.target_choice import (
    NO_VIEW,
    ReportedLoad,
    TargetView,
    choose_target,
)
from ..model.entry_request import TargetAddress, TargetLoad
from ..model.fleet import Fleet, Target
from ..model.ids import NO_EPOCH, DataCentreName, Epoch, ServiceName, TargetName
from ..model.log_parts import Part
from ..tasks.clock import Clock
from ..tasks.log import part_logger
from ..tasks.mailbox import Outbox
from ..tasks.messages import PhaseChanged, RunningCount, RunningCountRequested
from ..tasks.published import Published
from .messages import (
    DispatchMessage,
    LoadReceived,
    Outcome,
    SlotDenied,
    SlotGranted,
    SlotReleased,
    SlotRequested,
    TargetsSuspected,
)

#: Seconds after which callers are told to come back: when nothing serves
#: their model, and when all that does is full. A group is formed again in
#: one to two seconds; a slot becomes free in a part of one.
RETRY_AFTER_NONE_S = 1.2
RETRY_AFTER_FULL_S = 0.5
#: Part of the time that is drawn at random, so that callers do not come back
#: together.
RETRY_SPREAD = 0.5

_TRUST_EVENTS = {
    Outcome.ANSWERED: EjectionEvent.ANSWERED,
    Outcome.LOST: EjectionEvent.FAILED,
    Outcome.NO_ANSWER: EjectionEvent.FAILED,
    Outcome.UNREACHED: EjectionEvent.FAILED,
}
_log = part_logger(Part.CHOICE)


@dataclass(frozen=True)
class DispatchSettings:
    """Bounds of the dispatcher.

    Parameters
    ----------
    data_centre
        Where this instance stands.
    retry_share, retry_slack, retry_window_s
        Budget of repeats of one service over all entry instances.

    """

    data_centre: DataCentreName

    retry_share: float
    retry_slack: float
    retry_window_s: float


class Dispatcher:
    """Owns what this instance knows of the targets' load.

    Parameters
    ----------
    settings
        Bounds.
    published_fleet
        Picture of the fleet.
    register
        Tells the owner of suspects.
    clock
        Own clock.
    rng
        Settles ties and spreads callers that come back.

    """

    def __init__(
        self,
        settings: DispatchSettings,
        published_fleet: Published[Fleet],
        register: Outbox[TargetsSuspected],
        clock: Clock,
        rng: Random,
    ) -> None:
        """Start without loads."""
        self._settings = settings
        self._published_fleet = published_fleet
        self._register = register
        self._clock = clock
        self._rng = rng
        self._views: dict[TargetName, TargetView] = {}
        self._budgets: dict[ServiceName, InstanceRetryBudget] = {}
        self._cold_limiter = ColdRateLimiter(rng.random)
        self._instance_count = InstanceCount()
        self._trust_chart = load_chart('target_trust', EJECTION_WORDS)
        self._fleet = published_fleet.latest()
        self._offers: EligibleTargets = list_eligible_targets(self._fleet)

    def on_start(self) -> None:
        """Own nothing that must be opened."""

    def on_message(self, message: DispatchMessage) -> None:
        """Give a place, or learn how a target did."""
        match message:
            case SlotRequested():
                message.reply.post(self._place(message))
            case LoadReceived():
                self._hear(message.target, message.load)
            case SlotReleased():
                self._end(message)
            case RunningCountRequested():
                running = sum(
                    view.own_requests for view in self._views.values()
                )
                message.reply.post(RunningCount(running))
            case PhaseChanged():
                _log.info('no new callers: %s', message.phase)

    def on_timer(self) -> float | None:
        """Wait for messages only."""
        return None

    def on_stop(self) -> None:
        """Own nothing that must be closed."""

    def _place(self, asked: SlotRequested) -> SlotGranted | SlotDenied:
        now_s = self._clock.now_s()
        self._look()
        service = asked.admitted.service.name
        budget = self._budget(service)
        if not asked.is_retry:
            budget.count_request(now_s)
        candidates = self._find(asked)
        if not candidates:
            return self._deny(asked, Denial.NO_TARGET, RETRY_AFTER_NONE_S)
        may_take = [one for one in candidates if self._may_take(one, now_s)]
        chosen = choose_target(
            may_take,
            self._views,
            now_s,
            self._rng.random,
            self._settings.data_centre,
        )
        if chosen is None:
            return self._deny(asked, Denial.NO_TARGET, RETRY_AFTER_FULL_S)
        if asked.is_retry and not budget.take(now_s, self._slack()):
            return self._deny(asked, Denial.NO_RETRY, RETRY_AFTER_FULL_S)
        return self._give(asked, chosen.candidate, chosen.load, now_s)

    def _give(
        self,
        asked: SlotRequested,
        candidate: EligibleTarget,
        load: float,
        now_s: float,
    ) -> SlotGranted:
        target = candidate.target
        view = self._views.get(target.name, NO_VIEW)
        self._views[target.name] = replace(
            view, own_requests=view.own_requests + 1
        )
        if target.cold_until_s > now_s:
            self._cold_limiter.count(target.name, now_s)
        _log.info(
            'request %s goes to %s',
            asked.admitted.req.attempt,
            target.name,
            extra={
                'request': asked.admitted.req.attempt,
                'target': target.name,
                'load': round(load, 1),
                'own': view.own_requests,
                'row_version': target.version,
                'repeat': asked.is_retry,
            },
        )
        return SlotGranted(TargetAddress(target.name, target.address))

    def _look(self) -> None:
        fleet = self._published_fleet.latest()
        if fleet is self._fleet:
            return
        before = self._fleet
        self._fleet = fleet
        self._instance_count.update(len(fleet.instances))
        self._offers = list_eligible_targets(fleet)
        self._views = {
            name: _renewed(view, before, fleet, name)
            for name, view in self._views.items()
            if view.own_requests or name in fleet.targets
        }

    def _find(self, asked: SlotRequested) -> tuple[EligibleTarget, ...]:
        admitted = asked.admitted
        is_plain = admitted.service.engine is None
        model = NO_MODEL if is_plain else admitted.req.model
        candidates = self._offers.find(admitted.service.name, model)
        return tuple(
            one for one in candidates if one.target.name not in asked.tried
        )

    def _may_take(self, candidate: EligibleTarget, now_s: float) -> bool:
        target = candidate.target
        if target.cold_until_s <= now_s or self._fleet.config is None:
            return True
        service = self._fleet.config.services[target.service]
        if not service.cold_requests_per_s:
            return True
        # All entry instances together must stay below the bound.
        part = (
            service.cold_requests_per_s / self._instance_count.live_instances()
        )
        return self._cold_limiter.may_send(target.name, now_s, part)

    def _deny(
        self,
        asked: SlotRequested,
        denial: Denial,
        retry_after_s: float,
    ) -> SlotDenied:
        spread = 1 + RETRY_SPREAD * self._rng.random()
        denied = SlotDenied(denial, retry_after_s * spread)
        _log.info(
            'request %s has no place: %s',
            asked.admitted.req.attempt,
            denial,
            extra={
                'request': asked.admitted.req.attempt,
                'model': asked.admitted.req.model,
                'repeat': asked.is_retry,
                'retry_after_s': round(denied.retry_after_s, 2),
            },
        )
        return denied

    def _hear(self, name: TargetName, load: TargetLoad) -> None:
        view = self._views.get(name, NO_VIEW)
        reported = ReportedLoad(load, view.own_requests, self._clock.now_s())
        self._views[name] = replace(view, reported=reported)

    def _end(self, ended: SlotReleased) -> None:
        now_s = self._clock.now_s()
        view = self._views.get(ended.target, NO_VIEW)
        view = replace(view, own_requests=max(0, view.own_requests - 1))
        event = _TRUST_EVENTS.get(ended.outcome)
        if event is not None:
            view = self._trust(ended, view, event, now_s)
        self._views[ended.target] = view

    def _trust(
        self,
        ended: SlotReleased,
        view: TargetView,
        event: EjectionEvent,
        now_s: float,
    ) -> TargetView:
        """Learn from an answer, or from its want, how far to trust."""
        step = apply_event(self._trust_chart, view.ejection, event, now_s)
        if step.ejection.state is not view.ejection.state:
            _log.info(
                'target %s is %s: %s',
                ended.target,
                step.ejection.state,
                ended.outcome,
                extra={
                    'target': ended.target,
                    'rest_s': step.ejection.backoff_s,
                },
            )
        if step.action is EjectionAction.REPORT:
            suspects = frozenset((ended.target,))
            self._register.post(TargetsSuspected(suspects))
        return replace(view, ejection=step.ejection)

    def _slack(self) -> float:
        """Return this instance's part of the slack of all."""
        return (
            self._settings.retry_slack / self._instance_count.reserve_shares()
        )

    def _budget(self, service: ServiceName) -> InstanceRetryBudget:
        if service not in self._budgets:
            self._budgets[service] = InstanceRetryBudget(
                self._settings.retry_share,
                self._settings.retry_window_s,
            )
        return self._budgets[service]


def _renewed(
    view: TargetView,
    before: Fleet,
    now: Fleet,
    name: TargetName,
) -> TargetView:
    """Trust a target again that has started anew or joined another group."""
    old, new = before.targets.get(name), now.targets.get(name)
    if old is None or new is None:
        return view
    if (old.started_at_ms, _epoch(old)) == (new.started_at_ms, _epoch(new)):
        return view
    return replace(view, ejection=NOT_EJECTED)


def _epoch(target: Target) -> Epoch:
    return NO_EPOCH if target.membership is None else target.membership.epoch

"""What the dispatcher knows of the load and the health of each target."""

from collections.abc import Mapping
from dataclasses import replace

from ..charts.reader import load_chart
from ..decide.ejection_chart import (
    EJECTION_WORDS,
    EjectionAction,
    EjectionEvent,
)
from ..decide.eligible_targets import EligibleTargets
from ..decide.outlier_ejection import NOT_EJECTED, apply_event, apply_suspicion
from ..decide.shared_suspicion import may_avoid
from ..decide.target_choice import NO_VIEW, ReportedLoad, TargetView
from ..model.entry_request import TargetLoad
from ..model.fleet import Fleet, Target
from ..model.ids import NO_EPOCH, Epoch, TargetName
from ..model.log_parts import Part
from ..tasks.log import part_logger
from .dispatch_messages import Outcome

_EJECTION_EVENTS = {
    Outcome.ANSWERED: EjectionEvent.ANSWERED,
    Outcome.LOST: EjectionEvent.FAILED,
    Outcome.STALLED: EjectionEvent.FAILED,
    Outcome.UNREACHED: EjectionEvent.FAILED,
}
_log = part_logger(Part.CHOICE)


class TargetViews:
    """Views of all targets; owned by the dispatcher's task."""

    def __init__(self) -> None:
        """Start without views."""
        self._views: dict[TargetName, TargetView] = {}
        self._chart = load_chart('target_trust', EJECTION_WORDS)

    def all(self) -> Mapping[TargetName, TargetView]:
        """Return the views by target; read only."""
        return self._views

    def count_request(self, name: TargetName) -> int:
        """Count one more own request; return those that ran before."""
        view = self._views.get(name, NO_VIEW)
        self._views[name] = replace(view, own_requests=view.own_requests + 1)
        return view.own_requests

    def record_load(
        self, name: TargetName, load: TargetLoad, now_s: float
    ) -> None:
        """Record the load that a target has reported in an answer."""
        view = self._views.get(name, NO_VIEW)
        reported = ReportedLoad(load, view.own_requests, now_s)
        self._views[name] = replace(view, reported=reported)

    def release(self, name: TargetName) -> None:
        """Count one own request less."""
        view = self._views.get(name, NO_VIEW)
        running = max(0, view.own_requests - 1)
        self._views[name] = replace(view, own_requests=running)

    def record_outcome(
        self, name: TargetName, outcome: Outcome, now_s: float
    ) -> bool:
        """Record how an attempt ended, or that it has stalled.

        Returns
        -------
        bool
            Whether the owner should be told that the target is suspected.

        """
        event = _EJECTION_EVENTS.get(outcome)
        if event is None:
            return False
        view = self._views.get(name, NO_VIEW)
        step = apply_event(self._chart, view.ejection, event, now_s)
        self._views[name] = replace(view, ejection=step.ejection)
        if step.ejection.state is not view.ejection.state:
            _log.info(
                'target %s is %s after outcome %s',
                name,
                step.ejection.state,
                outcome,
                extra={'target': name, 'rest_s': step.ejection.backoff_s},
            )
        return step.action is EjectionAction.REPORT

    def avoid(
        self,
        suspects: frozenset[TargetName],
        eligible: EligibleTargets,
        now_s: float,
    ) -> None:
        """Eject targets that other instances suspect, if enough remain."""
        ejected = self._ejected(now_s)
        for candidates in eligible.by_model.values():
            for candidate in candidates:
                name = candidate.target.name
                if name in suspects and may_avoid(candidates, ejected):
                    self._eject(name, now_s)
                    ejected = self._ejected(now_s)

    def change_fleet(self, before: Fleet, now: Fleet) -> None:
        """Drop views of targets that are gone or not the same any more."""
        self._views = {
            name: _with_ejection_reset(view, before, now, name)
            for name, view in self._views.items()
            if view.own_requests or name in now.targets
        }

    def _eject(self, name: TargetName, now_s: float) -> None:
        view = self._views.get(name, NO_VIEW)
        ejection = apply_suspicion(self._chart, view.ejection, now_s)
        if ejection is view.ejection:
            return
        self._views[name] = replace(view, ejection=ejection)
        _log.info(
            'target %s is %s: other instances suspect it',
            name,
            ejection.state,
            extra={'target': name},
        )

    def _ejected(self, now_s: float) -> frozenset[TargetName]:
        return frozenset(
            name
            for name, view in self._views.items()
            if view.ejection.is_ejected(now_s)
        )


def _with_ejection_reset(
    view: TargetView,
    before: Fleet,
    now: Fleet,
    name: TargetName,
) -> TargetView:
    """End the ejection of a target that is not the same any more.

    It has restarted or has joined another group, so its former failures say
    nothing about it.
    """
    old, new = before.targets.get(name), now.targets.get(name)
    if old is None or new is None:
        return view
    if (old.started_at_ms, _epoch(old)) == (new.started_at_ms, _epoch(new)):
        return view
    return replace(view, ejection=NOT_EJECTED)


def _epoch(target: Target) -> Epoch:
    return NO_EPOCH if target.membership is None else target.membership.epoch

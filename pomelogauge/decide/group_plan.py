"""Decides which groups to form and which hosts to stage models on."""

from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from itertools import cycle

from ..model.fleet import Fleet, Target, TargetState
from ..model.ids import DomainName, ModelName, ServiceName, TargetName
from ..model.serving import EngineSpec, ModelSpec, ServiceSpec

#: Targets of a domain kept as spares beyond one group of each model. One
#: covers the loss of a member; its group is formed again with the survivors.
SPARES = 1


@dataclass(frozen=True)
class ActiveGroup:
    """A group that stands or is being formed."""

    service: ServiceName
    model: ModelName
    domain: DomainName


@dataclass(frozen=True)
class PlanInputs:
    """What the planner may use.

    Parameters
    ----------
    fleet
        What is known.
    active_groups
        Groups that count.
    taken
        Targets that belong to a group that is not released.
    suspects
        Targets that did not do what they were ordered to.
    staging
        Targets whose host is being given a model.
    loads_left
        Loads from the weight store that may start now.
    loads_are_free
        No traffic has come yet; loads are short and count for nothing.

    """

    fleet: Fleet
    active_groups: tuple[ActiveGroup, ...]
    taken: frozenset[TargetName]
    suspects: frozenset[TargetName]
    staging: frozenset[TargetName]
    loads_left: float
    loads_are_free: bool = False


@dataclass(frozen=True)
class PlannedGroup:
    """A group to form now, the head first."""

    service: ServiceName
    model: ModelName
    members: tuple[Target, ...]


@dataclass(frozen=True)
class PlannedStaging:
    """A model to put on the host of a spare target."""

    target: Target
    model: ModelName


@dataclass(frozen=True)
class Plan:
    """What to do next."""

    groups: tuple[PlannedGroup, ...] = ()
    stages: tuple[PlannedStaging, ...] = ()


def plan_groups(service: ServiceSpec, stock: PlanInputs) -> Plan:
    """Plan the groups of one service in all domains."""
    engine = service.engine
    if engine is None:
        return Plan()
    planner = _Planner(service.name, engine, stock)
    return planner.plan()


class _Planner:
    """One pass over the domains; holds what it has given out."""

    def __init__(
        self,
        service: ServiceName,
        engine: EngineSpec,
        stock: PlanInputs,
    ) -> None:
        self._service = service
        self._engine = engine
        self._stock = stock
        self._loads_left = stock.loads_left
        self._counts: defaultdict[ModelName, int] = defaultdict(int)
        for one in stock.active_groups:
            self._counts[one.model] += 1
        self._groups: list[PlannedGroup] = []
        self._stages: list[PlannedStaging] = []

    def plan(self) -> Plan:
        """Return what to do next."""
        for domain, targets in sorted(self._domains().items()):
            self._plan_domain(domain, targets)
        return Plan(tuple(self._groups), tuple(self._stages))

    def _domains(self) -> dict[DomainName, list[Target]]:
        domains: dict[DomainName, list[Target]] = {}
        for target in self._stock.fleet.targets.values():
            if target.service == self._service and self._is_usable(target):
                domains.setdefault(target.domain, []).append(target)
        return domains

    def _is_usable(self, target: Target) -> bool:
        return (
            target.state is TargetState.READY
            and target.data_centre not in self._stock.fleet.drained
            and target.name not in self._stock.suspects
        )

    def _plan_domain(
        self,
        domain: DomainName,
        targets: Sequence[Target],
    ) -> None:
        here = [
            one.model
            for one in self._stock.active_groups
            if one.domain == domain
        ]
        free = [one for one in targets if one.name not in self._stock.taken]
        while True:
            members = self._form_one(here, free)
            if not members:
                break
            free = [one for one in free if one not in members]
        self._plan_missing(here, free)

    def _form_one(
        self,
        here: list[ModelName],
        free: Sequence[Target],
    ) -> tuple[Target, ...]:
        """Form the next group of a domain; return its members.

        Each domain first gets one group of each model, the one with the most
        work for a group first; more groups leave the spares.
        """
        by_need = self._by_need()
        first = [spec for spec in by_need if spec.name not in here]
        for spec in first:
            members = self._members(free, spec)
            if members:
                return self._add(here, spec, members)
        for spec in by_need:
            if spec.size <= len(free) - SPARES:
                members = self._members(free, spec)
                if members and not first:
                    return self._add(here, spec, members)
        return ()

    def _members(
        self,
        free: Sequence[Target],
        spec: ModelSpec,
    ) -> tuple[Target, ...]:
        """Return members whose hosts have the model.

        Where loads count for nothing all targets will do.
        """
        able = [
            one
            for one in free
            if self._stock.loads_are_free or spec.name in one.staged
        ]
        if len(able) < spec.size:
            return ()
        return _pick_members(able, spec)

    def _add(
        self,
        here: list[ModelName],
        spec: ModelSpec,
        members: tuple[Target, ...],
    ) -> tuple[Target, ...]:
        self._groups.append(PlannedGroup(self._service, spec.name, members))
        self._counts[spec.name] += 1
        here.append(spec.name)
        return members

    def _by_need(self) -> list[ModelSpec]:
        return sorted(self._engine.models, key=self._need, reverse=True)

    def _need(self, spec: ModelSpec) -> float:
        return spec.share * spec.pace / (self._counts[spec.name] + 1)

    def _plan_missing(
        self,
        here: Sequence[ModelName],
        free: Sequence[Target],
    ) -> None:
        """Stage models for groups that lack hosts, then on spares.

        A spare with the model of a group repairs it after a loss.
        """
        wanted: list[ModelName] = []
        for spec in self._by_need():
            spares = SPARES if spec.name in here else 0
            hosts = spec.size if spec.size <= len(free) - spares else 1
            wanted.extend(spec.name for _ in range(hosts))
        idle = []
        for target in free:
            held = [model for model in wanted if model in target.staged]
            if held:
                wanted.remove(held[0])
            elif target.name in self._stock.staging:
                wanted = wanted[1:]
            else:
                idle.append(target)
        blank = [one for one in idle[len(wanted) :] if not one.staged]
        by_need = cycle(model.name for model in self._by_need())
        self._stage(zip(idle, wanted, strict=False))
        self._stage(zip(blank, by_need, strict=False))

    def _stage(self, pairs: Iterable[tuple[Target, ModelName]]) -> None:
        for target, model in pairs:
            if self._loads_left < 1:
                return
            self._loads_left -= 1
            self._stages.append(PlannedStaging(target, model))


def _pick_members(
    free: Sequence[Target],
    spec: ModelSpec,
) -> tuple[Target, ...]:
    """Pick the targets that join soonest."""
    ranked = sorted(free, key=lambda target: _join_rank(target, spec))
    return tuple(ranked[: spec.size])


def _join_rank(target: Target, spec: ModelSpec) -> tuple[int, int, str]:
    loaded = spec.name not in target.models
    staged = spec.name not in target.staged
    return (int(loaded), int(staged), target.name)

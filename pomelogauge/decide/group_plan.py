"""Plans which groups to form and which models to stage on which hosts."""

from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from itertools import cycle

from ..model.fleet import Fleet, Target, TargetState
from ..model.ids import DomainName, ModelName, ServiceName, TargetName
from ..model.serving import EngineSpec, ModelSpec, ServiceSpec

#: Targets of a domain that are kept free once it has one group of each model.
#: One spare covers the loss of a member: the group is formed again from the
#: survivors and the spare.
SPARES = 1


@dataclass(frozen=True)
class ActiveGroup:
    """A group that serves or is being formed, as the planner counts it.

    Parameters
    ----------
    domain
        Fabric domain of its members; empty when none of them is listed.

    """

    service: ServiceName
    model: ModelName
    domain: DomainName


@dataclass(frozen=True)
class PlanInputs:
    """State from which a plan is made.

    Parameters
    ----------
    fleet
        Targets, configuration and drained data centres.
    active_groups
        Groups that serve or are being formed.
    taken
        Targets that belong to a group that is not released, by its record or
        by their own listing.
    suspects
        Targets that have recently failed to carry out an order; not used.
    staging
        Targets whose host is loading a model now.
    loads_left
        Number of loads from the weight store that may start now.
    loads_are_free
        The system has just started and has no traffic yet: a group may be
        formed of targets that still have to load the model.

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
    """A group to form now.

    Parameters
    ----------
    members
        Targets to order into the group; the first becomes its head.

    """

    service: ServiceName
    model: ModelName
    members: tuple[Target, ...]


@dataclass(frozen=True)
class PlannedStaging:
    """A model to load from the weight store to the host of a free target."""

    target: Target
    model: ModelName


@dataclass(frozen=True)
class Plan:
    """Orders of one planning pass; empty when nothing is missing."""

    groups: tuple[PlannedGroup, ...] = ()
    stages: tuple[PlannedStaging, ...] = ()


def plan_groups(service: ServiceSpec, inputs: PlanInputs) -> Plan:
    """Plan the groups of one service in all its domains.

    Parameters
    ----------
    service
        Service to plan for; a service without engines gets an empty plan.
    inputs
        State from which the plan is made.

    """
    engine = service.engine
    if engine is None:
        return Plan()
    planner = _Planner(service.name, engine, inputs)
    return planner.plan()


class _Planner:
    """One planning pass over the domains of a service.

    Keeps count of the groups, targets and loads that it has planned so far.
    """

    def __init__(
        self,
        service: ServiceName,
        engine: EngineSpec,
        inputs: PlanInputs,
    ) -> None:
        self._service = service
        self._engine = engine
        self._inputs = inputs
        self._loads_left = inputs.loads_left
        self._counts: defaultdict[ModelName, int] = defaultdict(int)
        for group in inputs.active_groups:
            self._counts[group.model] += 1
        self._groups: list[PlannedGroup] = []
        self._stages: list[PlannedStaging] = []

    def plan(self) -> Plan:
        """Return the orders for all domains, in the order of their names."""
        for domain, targets in sorted(self._domains().items()):
            self._plan_domain(domain, targets)
        return Plan(tuple(self._groups), tuple(self._stages))

    def _domains(self) -> dict[DomainName, list[Target]]:
        domains: dict[DomainName, list[Target]] = {}
        for target in self._inputs.fleet.targets.values():
            if target.service == self._service and self._is_usable(target):
                domains.setdefault(target.domain, []).append(target)
        return domains

    def _is_usable(self, target: Target) -> bool:
        return (
            target.state is TargetState.READY
            and target.data_centre not in self._inputs.fleet.drained
            and target.name not in self._inputs.suspects
        )

    def _plan_domain(
        self,
        domain: DomainName,
        targets: Sequence[Target],
    ) -> None:
        models_here = [
            group.model
            for group in self._inputs.active_groups
            if group.domain == domain
        ]
        free = [
            target
            for target in targets
            if target.name not in self._inputs.taken
        ]
        while True:
            members = self._form_next(models_here, free)
            if not members:
                break
            free = [target for target in free if target not in members]
        self._plan_staging(models_here, free)

    def _form_next(
        self,
        models_here: list[ModelName],
        free: Sequence[Target],
    ) -> tuple[Target, ...]:
        """Plan the next group of a domain; return its members.

        A domain first gets one group of each model, in the order of the work
        that waits for each group of the model. After that it gets more groups
        as long as the spares stay free.
        """
        by_need = self._by_need()
        missing = [spec for spec in by_need if spec.name not in models_here]
        for spec in missing:
            members = self._members(free, spec)
            if members:
                return self._add(models_here, spec, members)
        for spec in by_need:
            if spec.size <= len(free) - SPARES:
                members = self._members(free, spec)
                if members and not missing:
                    return self._add(models_here, spec, members)
        return ()

    def _members(
        self,
        free: Sequence[Target],
        spec: ModelSpec,
    ) -> tuple[Target, ...]:
        """Return the members of a new group; empty if there are too few.

        Only targets whose host has the model are used, so that the group
        serves without a load from the weight store. At the first start, while
        loads are free, all targets are used.
        """
        usable = [
            target
            for target in free
            if self._inputs.loads_are_free or spec.name in target.staged
        ]
        if len(usable) < spec.size:
            return ()
        return _pick_members(usable, spec)

    def _add(
        self,
        models_here: list[ModelName],
        spec: ModelSpec,
        members: tuple[Target, ...],
    ) -> tuple[Target, ...]:
        self._groups.append(PlannedGroup(self._service, spec.name, members))
        self._counts[spec.name] += 1
        models_here.append(spec.name)
        return members

    def _by_need(self) -> list[ModelSpec]:
        return sorted(self._engine.models, key=self._need, reverse=True)

    def _need(self, spec: ModelSpec) -> float:
        return spec.share * spec.pace / (self._counts[spec.name] + 1)

    def _plan_staging(
        self,
        models_here: Sequence[ModelName],
        free: Sequence[Target],
    ) -> None:
        """Stage the models of missing groups, then models on the spares.

        A spare whose host has the model of a group can replace a lost member
        without a load. Where hosts are few, they are for the models with most
        work for a group.
        """
        wanted: list[ModelName] = []
        for spec in self._by_need():
            spares = SPARES if spec.name in models_here else 0
            hosts = spec.size if spec.size <= len(free) - spares else 1
            wanted.extend(spec.name for _ in range(hosts))
        wanted = wanted[: len(free)]
        idle = []
        for target in free:
            staged = [model for model in wanted if model in target.staged]
            if staged:
                wanted.remove(staged[0])
            elif target.name in self._inputs.staging:
                wanted = wanted[1:]
            else:
                idle.append(target)
        empty = [spare for spare in idle[len(wanted) :] if not spare.staged]
        by_need = cycle(model.name for model in self._by_need())
        self._stage(zip(idle, wanted, strict=False))
        self._stage(zip(empty, by_need, strict=False))

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
    """Pick the targets that join soonest: loaded, then staged, by name."""
    ranked = sorted(free, key=lambda target: _join_rank(target, spec))
    return tuple(ranked[: spec.size])


def _join_rank(target: Target, spec: ModelSpec) -> tuple[int, int, str]:
    must_load = spec.name not in target.models
    must_stage = spec.name not in target.staged
    return (int(must_load), int(must_stage), target.name)

"""Lists the targets that may take requests now."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from ..model.fleet import Fleet, Target, TargetState
from ..model.ids import (
    DataCentreName,
    ModelName,
    ServiceName,
    TargetName,
)
from ..model.serving import EngineSpec

#: Stands for the model in keys of services without engines.
NO_MODEL = ModelName('')


@dataclass(frozen=True)
class EligibleTarget:
    """A target of a service without engines, or the head of an open group.

    Parameters
    ----------
    model
        Model that the group serves; ``NO_MODEL`` without engines.
    slots
        Number of requests that it runs at once, at least one.
    pace
        Factor on all times of the group; one without engines.

    """

    target: Target
    model: ModelName
    slots: int
    pace: float = 1.0


@dataclass(frozen=True)
class EligibleTargets:
    """All eligible targets, by service and model.

    Parameters
    ----------
    by_model
        Eligible targets of each service and model; never an empty tuple.
    names
        Names of all eligible targets.

    """

    by_model: Mapping[
        tuple[ServiceName, ModelName], tuple[EligibleTarget, ...]
    ] = field(default_factory=dict)
    names: frozenset[TargetName] = frozenset()

    def find(
        self, service: ServiceName, model: ModelName
    ) -> tuple[EligibleTarget, ...]:
        """Return the eligible targets of a service; empty if there are none.

        Parameters
        ----------
        service
            Service of the route.
        model
            Model of the request; ``NO_MODEL`` for a service without engines.

        """
        return self.by_model.get((service, model), ())


def list_eligible_targets(fleet: Fleet) -> EligibleTargets:
    """List the eligible targets of a fleet.

    A target is eligible when it is ready, its data centre is not drained, its
    service is configured and, with engines, it is the head of an open group.
    """
    by_model: dict[
        tuple[ServiceName, ModelName], tuple[EligibleTarget, ...]
    ] = {}
    names = set()
    for target in fleet.targets.values():
        candidate = _eligible_target(target, fleet)
        if candidate is None:
            continue
        key = target.service, candidate.model
        by_model[key] = (*by_model.get(key, ()), candidate)
        names.add(target.name)
    return EligibleTargets(by_model, frozenset(names))


def _eligible_target(
    target: Target,
    fleet: Fleet,
) -> EligibleTarget | None:
    if not _in_service(target, fleet.drained) or fleet.config is None:
        return None
    service = fleet.config.services.get(target.service)
    if service is None:
        return None
    if service.engine is None:
        return EligibleTarget(target, NO_MODEL, max(target.slots, 1))
    return _eligible_head(target, service.engine)


def _eligible_head(
    target: Target,
    engine: EngineSpec,
) -> EligibleTarget | None:
    if not target.heads_open_group():
        return None
    for model in engine.models:
        if model.name in target.models:
            slots = max(engine.slots, 1)
            return EligibleTarget(target, model.name, slots, model.pace)
    return None


def _in_service(target: Target, drained: frozenset[DataCentreName]) -> bool:
    if target.state is not TargetState.READY:
        return False
    return target.data_centre not in drained

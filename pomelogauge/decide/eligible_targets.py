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

#: Model of the targets of plain services.
NO_MODEL = ModelName('')


@dataclass(frozen=True)
class EligibleTarget:
    """A target that takes requests: a plain one or the head of a group.

    Parameters
    ----------
    target
        The target.
    model
        Model that its group serves; empty for a plain service.
    slots
        Requests that it runs at once.
    pace
        Factor on the times of its group.

    """

    target: Target
    model: ModelName
    slots: int
    pace: float = 1.0


@dataclass(frozen=True)
class EligibleTargets:
    """All offers, by service and model."""

    by_model: Mapping[
        tuple[ServiceName, ModelName], tuple[EligibleTarget, ...]
    ] = field(default_factory=dict)
    names: frozenset[TargetName] = frozenset()

    def find(
        self, service: ServiceName, model: ModelName
    ) -> tuple[EligibleTarget, ...]:
        """Return the offers of a service for a model."""
        return self.by_model.get((service, model), ())


def list_eligible_targets(fleet: Fleet) -> EligibleTargets:
    """List what may take requests, from targets in service only."""
    by_model: dict[
        tuple[ServiceName, ModelName], tuple[EligibleTarget, ...]
    ] = {}
    names = set()
    for target in fleet.targets.values():
        candidate = _offer(target, fleet)
        if candidate is None:
            continue
        key = target.service, candidate.model
        by_model[key] = (*by_model.get(key, ()), candidate)
        names.add(target.name)
    return EligibleTargets(by_model, frozenset(names))


def _offer(
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
    return _group_offer(target, service.engine)


def _group_offer(
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

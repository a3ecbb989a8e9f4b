"""Gathers what a plan of the groups depends on."""

from collections.abc import Iterable, Sequence

from ..decide.group_chart import LIVE_STATES
from ..decide.group_plan import ActiveGroup, Plan, PlanInputs, plan_groups
from ..decide.load_budget import LoadBudget
from ..decide.startup_grace import StartupGrace
from ..model.fleet import Fleet
from ..model.ids import DomainName
from ..model.serving import EngineSpec, ServiceSpec
from .group_orders import GroupOrders
from .owned_group import OwnedGroup


class GroupPlanner:
    """Plans groups within the budget of loads; used by the owner's task.

    Parameters
    ----------
    orders
        Knows which targets did not do what they were ordered to.
    startup_grace
        The time before the first traffic.

    """

    def __init__(
        self, orders: GroupOrders, startup_grace: StartupGrace
    ) -> None:
        """Start with a whole budget."""
        self._orders = orders
        self._prelude = startup_grace
        self._loads = LoadBudget()

    def plan(
        self,
        service: ServiceSpec,
        fleet: Fleet,
        groups: Sequence[OwnedGroup],
        now_s: float,
    ) -> Plan:
        """Plan which groups to form and which models to stage.

        Parameters
        ----------
        service
            Service whose groups are planned.
        fleet
            What is known.
        groups
            All groups that are not released.
        now_s
            Present time of the own clock.

        """
        engine = service.engine
        if engine is None:
            return Plan()
        if not self._prelude.has_settled(len(fleet.targets), now_s):
            return Plan()
        stock = self._stock(engine, fleet, groups, now_s)
        return plan_groups(service, stock)

    def count(self, plan: Plan, now_s: float) -> None:
        """Count the loads that a plan starts."""
        joins = sum(
            wanted.model not in member.staged
            for wanted in plan.groups
            for member in wanted.members
        )
        self._loads.count(joins + len(plan.stages), now_s)

    def _stock(
        self,
        engine: EngineSpec,
        fleet: Fleet,
        groups: Sequence[OwnedGroup],
        now_s: float,
    ) -> PlanInputs:
        is_prelude = self._prelude.is_active(now_s)
        loads_left = self._loads.remaining(engine.loads_per_s, now_s)
        return PlanInputs(
            fleet=fleet,
            active_groups=tuple(_standing(fleet, groups)),
            taken=frozenset(
                target for held in groups for target in held.held_members()
            ),
            suspects=self._orders.suspects(now_s),
            staging=self._orders.staging(fleet),
            loads_left=float('inf') if is_prelude else loads_left,
            loads_are_free=is_prelude,
        )


def _standing(
    fleet: Fleet,
    groups: Iterable[OwnedGroup],
) -> Iterable[ActiveGroup]:
    for held in groups:
        if held.state not in LIVE_STATES:
            continue
        record = held.record
        domains = {
            fleet.targets[member.target].domain
            for member in record.members
            if member.target in fleet.targets
        }
        for domain in domains or {DomainName('')}:
            yield ActiveGroup(record.service, record.model, domain)

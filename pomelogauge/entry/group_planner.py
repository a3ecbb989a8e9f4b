"""Gathers the inputs of a plan of the groups."""

from collections.abc import Iterable, Sequence
from dataclasses import replace

from ..decide.group_chart import LIVE_STATES
from ..decide.group_observation import listed_members, members_of_serving_groups
from ..decide.group_plan import ActiveGroup, Plan, PlanInputs, plan_groups
from ..decide.group_timeouts import MEMBER_REPORT_S
from ..decide.load_budget import LoadBudget
from ..decide.startup_grace import StartupGrace
from ..model.fleet import Fleet
from ..model.ids import DomainName, TargetName
from ..model.serving import EngineSpec, ServiceSpec
from .group_orders import GroupOrders
from .owned_group import OwnedGroup


class GroupPlanner:
    """Plans groups within the limit on model loads per second.

    Used by the owner task.

    Parameters
    ----------
    orders
        Knows which targets are quarantined and which are staging.
    startup_grace
        Grace period after the first start of the system. Loads are not
        limited while it lasts, since there is no traffic yet.

    """

    def __init__(
        self, orders: GroupOrders, startup_grace: StartupGrace
    ) -> None:
        """Start with no loads counted."""
        self._orders = orders
        self._startup_grace = startup_grace
        self._loads = LoadBudget()
        self._may_open_until_s = float('-inf')

    def begin_term(self, term: int, now_s: float) -> None:
        """Limit the loads anew if this instance is the owner in another term.

        Loads that former owners have started are not known.
        """
        self._loads.begin_term(term, now_s)

    def expect_openings(self, until_s: float) -> None:
        """Expect heads without a record to carry out orders to open.

        A former owner has sent them, and the records can't be read.
        """
        self._may_open_until_s = until_s

    def plan(
        self,
        service: ServiceSpec,
        fleet: Fleet,
        groups: Sequence[OwnedGroup],
        strays: frozenset[TargetName],
        now_s: float,
    ) -> Plan:
        """Return which groups to form and which models to stage.

        Parameters
        ----------
        service
            Service whose groups are planned.
        fleet
            Newest state of the fleet.
        groups
            All groups that the owner tracks; their members are taken.
        strays
            Members of groups without a record; they are taken too.
        now_s
            Present time of the owner's clock.

        """
        engine = service.engine
        if engine is None:
            return Plan()
        if not self._startup_grace.has_settled(len(fleet.targets), now_s):
            return Plan()
        inputs = self._inputs(engine, fleet, groups, now_s)
        taken = inputs.taken | strays
        return plan_groups(service, replace(inputs, taken=taken))

    def record_loads(self, plan: Plan, now_s: float) -> None:
        """Count the model loads that a plan starts against the limit."""
        if self._startup_grace.is_active(now_s):
            return
        joins = sum(
            wanted.model not in member.staged
            for wanted in plan.groups
            for member in wanted.members
        )
        self._loads.count(joins + len(plan.stages))

    def _inputs(
        self,
        engine: EngineSpec,
        fleet: Fleet,
        groups: Sequence[OwnedGroup],
        now_s: float,
    ) -> PlanInputs:
        is_startup_grace = self._startup_grace.is_active(now_s)
        taken = members_of_serving_groups(fleet)
        opening_s = engine.formation_s + MEMBER_REPORT_S
        if now_s <= self._may_open_until_s + opening_s:
            taken |= listed_members(fleet)
        loads_left = self._loads.remaining(engine.loads_per_s, now_s)
        return PlanInputs(
            fleet=fleet,
            active_groups=tuple(_active_groups_of(fleet, groups)),
            taken=taken.union(*(group.reserved_members() for group in groups)),
            suspects=self._orders.quarantined(now_s),
            staging=self._orders.staging(fleet),
            loads_left=float('inf') if is_startup_grace else loads_left,
            loads_are_free=is_startup_grace,
        )


def _active_groups_of(
    fleet: Fleet,
    groups: Iterable[OwnedGroup],
) -> Iterable[ActiveGroup]:
    for group in groups:
        if group.state not in LIVE_STATES:
            continue
        record = group.record
        domains = {
            fleet.targets[member.target].domain
            for member in record.members
            if member.target in fleet.targets
        }
        for domain in domains or {DomainName('')}:
            yield ActiveGroup(record.service, record.model, domain)

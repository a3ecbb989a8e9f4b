"""Owners, targets and a store in fake time, with faults drawn by a seed."""

from dataclasses import dataclass, field, replace
from random import Random

from pomelogauge.decide.startup_grace import StartupGrace
from pomelogauge.entry.group_ledger import GroupLedger
from pomelogauge.entry.group_orders import GroupOrders
from pomelogauge.entry.group_planner import GroupPlanner
from pomelogauge.entry.messages import (
    Order,
    OrderKind,
    OrderOutcome,
    OrderSettled,
)
from pomelogauge.entry.order_sender import OrderSenderPool
from pomelogauge.entry.owner import Owner, OwnerParts, OwnerSettings
from pomelogauge.entry.owner_lease_keeper import OwnerLeaseKeeper
from pomelogauge.entry.ownership import OwnershipStatus
from pomelogauge.entry.store import StoreFault
from pomelogauge.model.fleet import (
    Fleet,
    MembershipState,
    ReportedMembership,
    Target,
    TargetState,
)
from pomelogauge.model.ids import Address, ModelName, TargetName
from pomelogauge.platform.translator import RowTranslator
from pomelogauge.tasks.mailbox import Outbox
from pomelogauge.tasks.published import Published

from .entry_fakes import BIG, SMALL, FakeClock, MemoryStore, fleet, target
from .entry_fakes import owner_lease as tenure_of

STALL_S = 6.0
STEP_S = 0.25
LAPSE_S = 3.6


@dataclass
class SimTarget:
    """A target as it really is."""

    name: str
    model: ModelName
    started_at_ms: int = 1
    membership: ReportedMembership | None = None
    members: tuple[TargetName, ...] = ()
    top_epoch: int = 0
    is_dark: bool = False
    is_cut: bool = False
    is_hidden: bool = False
    listens: bool = True
    drains: bool = False
    stalled_s: float | None = None
    listed_s: float = 0
    late: list[tuple[float, Order]] = field(default_factory=list)

    def is_open(self) -> bool:
        """Return whether it heads a group that is open or stands still."""
        membership = self.membership
        return (
            not self.is_dark
            and membership is not None
            and not membership.rank
            and membership.state is MembershipState.OPEN
        )

    def entry(self) -> Target:
        return target(
            self.name,
            started_at_ms=self.started_at_ms,
            staged=(self.model,),
            models=(self.model,),
            membership=self.membership,
            state=TargetState.DRAINING if self.drains else TargetState.READY,
        )


class Simulation:
    """All of one run."""

    def __init__(self, seed: int) -> None:
        self.rng = Random(seed)
        self.clock = FakeClock()
        self.store = MemoryStore()
        self.targets = {
            TargetName(f't{index}'): SimTarget(
                f't{index}', SMALL if index in {4, 5, 7} else BIG
            )
            for index in range(8)
        }
        self.published_fleet = Published(Fleet())
        self.broken: list[str] = []
        self.inboxes: list[tuple[Outbox, OrderSettled]] = []
        self.owners = [self.owner('n0')]
        self.is_store_down = False
        self.listed: dict[TargetName, Target] = {}
        self.since_s = self.clock.at_s
        self.publish()

    def owner(self, node: str) -> Owner:
        keeper = OwnerLeaseKeeper(
            tenure_of(node), self.store, RowTranslator(), self.clock
        )
        orders = GroupOrders(Couriers(self))
        owner = Owner(
            OwnerSettings(STALL_S),
            OwnerParts(
                self.published_fleet,
                Published(OwnershipStatus()),
                keeper,
                GroupLedger(self.store, RowTranslator(), keeper),
                orders,
                GroupPlanner(orders, StartupGrace(False, 0)),
                self.clock,
            ),
        )
        owner.listen_on(Direct(owner))
        return owner

    def publish(self) -> None:
        """Publish the list as the store tells it."""
        now_s = self.clock.at_s
        if self.is_store_down:
            self.since_s = float('inf')
        else:
            self.since_s = min(self.since_s, now_s)
            self.list_targets(now_s)
        listed_s = now_s if not self.is_store_down else now_s - 60
        self.published_fleet.publish(
            fleet(
                *self.listed.values(),
                listed_s=listed_s,
                listed_since_s=self.since_s,
            )
        )

    def list_targets(self, now_s: float) -> None:
        self.listed = {}
        for name, real in self.targets.items():
            if not (real.is_dark or real.is_cut):
                real.listed_s = now_s
            if now_s - real.listed_s < LAPSE_S and real.listens:
                self.listed[name] = real.entry()

    def step(self) -> None:
        """Let a moment pass."""
        self.clock.at_s += STEP_S
        for real in self.targets.values():
            self.age(real)
        self.publish()
        settled, self.inboxes = self.inboxes, []
        for outbox, message in settled:
            outbox.post(message)
        down = [StoreFault.UNAVAILABLE] * 50 if self.is_store_down else []
        self.store.faults.clear()
        self.store.faults.extend(down)
        for owner in self.owners:
            owner.on_timer()

    def age(self, real: SimTarget) -> None:
        now_s = self.clock.at_s
        for due_s, order in tuple(real.late):
            if due_s <= now_s:
                real.late.remove((due_s, order))
                self.carry(real, order)
        if not real.is_open():
            return
        if all(self.holds(name, real) for name in real.members):
            real.stalled_s = None
        elif real.stalled_s is None:
            real.stalled_s = now_s
        elif now_s - real.stalled_s >= STALL_S:
            real.membership = replace(
                real.membership, state=MembershipState.BROKEN
            )

    def holds(self, name: TargetName, head: SimTarget) -> bool:
        real = self.targets[name]
        same = real.membership is not None and head.membership is not None
        return (
            same
            and not real.is_dark
            and real.membership.group == head.membership.group
            and real.membership.epoch == head.membership.epoch
        )

    def send(self, order: Order) -> OrderOutcome:
        real = self.targets[order.target]
        if real.is_dark or real.is_hidden:
            return OrderOutcome.NO_ANSWER
        if not real.listens:
            return OrderOutcome.CLOSED
        if self.rng.random() < 0.05:
            due_s = self.clock.at_s + self.rng.uniform(2, 12)
            real.late.append((due_s, order))
            return OrderOutcome.NO_ANSWER
        return self.carry(real, order)

    def carry(self, real: SimTarget, order: Order) -> OrderOutcome:
        membership = real.membership
        if order.kind is OrderKind.JOIN:
            return self.join(real, order)
        fits = (
            membership is not None
            and membership.group == order.group
            and membership.epoch == order.epoch
        )
        if order.kind is OrderKind.STAGE:
            real.model = order.model
            return OrderOutcome.TAKEN
        if not fits:
            return OrderOutcome.REFUSED
        if order.kind is OrderKind.LEAVE:
            real.membership = None
        elif order.kind is OrderKind.OPEN:
            real.membership = replace(membership, state=MembershipState.OPEN)
            real.stalled_s = None
        elif order.kind is OrderKind.CLOSE:
            real.membership = replace(membership, state=MembershipState.READY)
        return OrderOutcome.TAKEN

    def join(self, real: SimTarget, order: Order) -> OrderOutcome:
        if order.epoch < real.top_epoch:
            return OrderOutcome.REFUSED
        self.check(real, order)
        rank = order.members.index(order.target)
        real.top_epoch = order.epoch
        real.members = order.members
        real.membership = ReportedMembership(
            order.group, order.epoch, rank, MembershipState.READY
        )
        return OrderOutcome.TAKEN

    def check(self, real: SimTarget, order: Order) -> None:
        """Note a join away from a group whose head is open."""
        for head in self.targets.values():
            if head.is_open() and self.holds(TargetName(real.name), head):
                if head.membership.group != order.group:
                    self.broken.append(
                        f'{self.clock.at_s}: {real.name} of {head.membership.group}'
                        f' under {head.name} joined {order.group}'
                    )

    def groups_open(self) -> int:
        return sum(
            real.is_open() and real.stalled_s is None
            for real in self.targets.values()
        )

    def fault(self) -> None:
        """Draw one fault or its end."""
        real = self.rng.choice(list(self.targets.values()))
        kind = self.rng.randrange(10)
        if kind < 2:
            self.replace_owner(keeps=bool(kind))
        elif kind == 2:
            self.is_store_down = not self.is_store_down
        elif kind == 3:
            self.restart(real)
        else:
            self.harm(real, kind)

    def replace_owner(self, *, keeps: bool) -> None:
        """Start an owner; a former one may go on unaware."""
        node = f'n{self.rng.randrange(1000, 9999)}'
        kept = self.owners[-1:] if keeps else []
        self.owners = [*kept, self.owner(node)]

    def harm(self, real: SimTarget, kind: int) -> None:
        """Let a target fail, lose its paths, or leave."""
        if kind == 4:
            real.is_dark = True
        elif kind == 5:
            real.is_cut = not real.is_cut
        elif kind == 6:
            # Alive without a path to the owner or to the store.
            real.is_hidden = real.is_cut = not real.is_hidden
        elif kind == 7:
            # It leaves unseen, while the store is down, and works on.
            self.is_store_down = real.drains = True
            real.listens = False
        elif real.drains:
            real.listens = False
        else:
            real.drains = True

    def restart(self, real: SimTarget) -> None:
        real.is_dark = real.drains = False
        real.listens = True
        real.started_at_ms += 1
        real.membership = None
        real.members = ()
        real.top_epoch = 0
        real.stalled_s = None

    def heal(self) -> None:
        """End all faults."""
        self.is_store_down = False
        for real in self.targets.values():
            real.is_cut = real.is_hidden = False
            if real.is_dark or real.drains or not real.listens:
                self.restart(real)
        self.owners = self.owners[-1:]


class Direct:
    """Hands a message to its owner at once."""

    def __init__(self, owner: Owner) -> None:
        self.owner = owner

    def post(self, message: object) -> None:
        self.owner.on_message(message)


class Couriers(OrderSenderPool):
    """Carries orders into the simulation; outcomes come a step later."""

    def __init__(self, simulation: Simulation) -> None:
        self.simulation = simulation

    def send(self, address: Address, order: Order, owner: Outbox) -> None:
        outcome = self.simulation.send(order)
        settled = OrderSettled(order, outcome)
        self.simulation.inboxes.append((owner, settled))

    def keep(self, names: frozenset[TargetName]) -> None:
        """Keep all."""

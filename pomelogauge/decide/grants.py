"""How the slots of a replica are shared among routers."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace

from ..model.ids import DeploymentName, NodeName, ReplicaId
from ..model.peers import ExchangeAsk
from ..model.placement import ReplicaView


@dataclass(frozen=True)
class IssuedGrant:
    """A grant and when it ends by the granter's clock."""

    slots: int
    until_s: float


@dataclass(frozen=True)
class Account:
    """What one router holds of one replica.

    A router may still run what an older grant allowed, so that a grant counts
    until it ends, also when a later one is smaller.

    Parameters
    ----------
    router
        The router.
    issued
        Its grants that have not ended.
    running
        Requests that it last reported in progress.
    demand
        Requests that it last reported waiting and in progress for the
        replica's deployment.
    asked_at_s
        Granter's clock at its last ask.
    last_slots
        Size of its last grant.

    """

    router: NodeName
    issued: tuple[IssuedGrant, ...] = ()
    running: int = 0
    demand: int = 0
    asked_at_s: float = float('-inf')
    last_slots: int = 0


def note_ask(
    account: Account,
    ask: ExchangeAsk,
    replica: ReplicaId,
    deployment: DeploymentName,
    now_s: float,
) -> Account:
    """Return an account after its router's ask."""
    demand = sum(
        wish.waiting + wish.running
        for wish in ask.demands
        if wish.deployment == deployment
    )
    running = sum(use.running for use in ask.uses if use.replica == replica)
    return Account(
        account.router,
        _live(account, now_s),
        running,
        demand,
        now_s,
        account.last_slots,
    )


def issue(account: Account, slots: int, until_s: float) -> Account:
    """Return an account with one more grant."""
    return Account(
        account.router,
        (*account.issued, IssuedGrant(slots, until_s)),
        account.running,
        account.demand,
        account.asked_at_s,
        slots,
    )


def outstanding(account: Account, now_s: float) -> int:
    """Return the slots that a router may be using."""
    return max(account.running, _granted(account, now_s))


def slots_for(
    view: ReplicaView,
    router: NodeName,
    accounts: Sequence[Account],
    now_s: float,
    silent_after_s: float,
) -> int:
    """Return the slots to grant to a router that has just asked.

    Parameters
    ----------
    view
        The replica.
    router
        Who asks; one of the accounts is its own.
    accounts
        All routers that hold or want slots of the replica.
    now_s
        Granter's clock.
    silent_after_s
        A router that has not asked for so long gets no share.

    Returns
    -------
    int
        Its share, but no more than what others leave.

    """
    active = [
        account
        for account in accounts
        if now_s - account.asked_at_s < silent_after_s
    ]
    taken = sum(
        outstanding(account, now_s)
        for account in active
        if account.router != router
    )
    taken += _silent_use(view, accounts, active, now_s)
    part = share(view.bearable, router, active)
    return max(0, min(part, view.bearable - taken))


def without_unexplained(
    view: ReplicaView,
    accounts: Iterable[Account],
) -> ReplicaView:
    """Return a view that bears less by what no known router runs.

    Grants of an earlier granter may be in use; its routers show up in the
    engine's own report.
    """
    known = sum(account.running for account in accounts)
    unexplained = max(0, view.running - known)
    return replace(view, bearable=max(0, view.bearable - unexplained))


def share(slots: int, router: NodeName, accounts: Iterable[Account]) -> int:
    """Return a router's part of the slots, in proportion to demand.

    Each router gets one slot where there are enough, so that a first request
    need not wait for an exchange. The parts never exceed the slots.
    """
    ranked = sorted(accounts, key=_by_demand)
    floor = 1 if slots >= len(ranked) else 0
    spare = slots - floor * len(ranked)
    total = sum(account.demand for account in ranked)
    if not total:
        return floor + _spread(spare, len(ranked), _position(router, ranked))
    parts = [spare * account.demand // total for account in ranked]
    rest = spare - sum(parts)
    position = _position(router, ranked)
    return floor + parts[position] + int(position < rest)


def _spread(slots: int, count: int, position: int) -> int:
    return slots // count + int(position < slots % count)


def _position(router: NodeName, ranked: Sequence[Account]) -> int:
    return [account.router for account in ranked].index(router)


def _by_demand(account: Account) -> tuple[int, str]:
    return (-account.demand, account.router)


def _live(account: Account, now_s: float) -> tuple[IssuedGrant, ...]:
    return tuple(grant for grant in account.issued if grant.until_s > now_s)


def _granted(account: Account, now_s: float) -> int:
    live = [grant.slots for grant in _live(account, now_s)]
    return max(live, default=0)


def _silent_use(
    view: ReplicaView,
    accounts: Iterable[Account],
    active: Sequence[Account],
    now_s: float,
) -> int:
    """Return what routers that ask no more may still be using.

    Their live grants count whole. Beyond those, their requests may go on:
    the engine's report less the use of the others says how many.
    """
    silent = [account for account in accounts if account not in active]
    granted = sum(_granted(account, now_s) for account in silent)
    held = sum(max(account.last_slots, account.running) for account in silent)
    known = sum(account.running for account in active)
    unexplained = max(0, view.running - known)
    return max(granted, min(held, unexplained))

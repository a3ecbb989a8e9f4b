"""How the slots of a replica are shared among routers."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace

from ..model.ids import DeploymentName, Incarnation, NodeName, ReplicaId
from ..model.peers import ExchangeRequest
from ..model.placement import ReplicaView


@dataclass(frozen=True)
class IssuedGrant:
    """A grant and when it ends by the granter's clock."""

    slots: int
    until_s: float


@dataclass(frozen=True)
class Account:
    """What one router holds of one replica.

    A router may still start what an older grant allowed. What it has started
    is known only with its next ask, so that a grant counts until then, also
    when it has ended.

    Parameters
    ----------
    router
        The router.
    issued
        Grants that it may have used since its last ask.
    running
        Requests that it last reported in progress.
    demand
        Requests that it last reported waiting and in progress for the
        replica's deployment.
    asked_at_s
        Granter's clock at its last ask.
    last_slots
        Size of its last grant.
    incarnation, sequence
        Of its last report.

    """

    router: NodeName
    issued: tuple[IssuedGrant, ...] = ()
    running: int = 0
    demand: int = 0
    asked_at_s: float = float('-inf')
    last_slots: int = 0
    incarnation: Incarnation = Incarnation('')
    sequence: int = 0


def is_superseded(account: Account, ask: ExchangeRequest) -> bool:
    """Return whether a newer ask of the same process has been answered.

    The router has given the late ask up, and what it says has changed.
    """
    is_same = ask.sender.incarnation == account.incarnation
    return is_same and ask.sender.sequence < account.sequence


def record_request(
    account: Account,
    ask: ExchangeRequest,
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
    uses = [use for use in ask.uses if use.replica == replica]
    issued = _live(account, now_s)
    if _follows(account, ask) and not any(use.held is None for use in uses):
        # The router holds its newest grant only, and takes no answer to an
        # ask before this one.
        held = sum(use.held or 0 for use in uses)
        issued = _cut(account.issued, held)
    return replace(
        account,
        issued=issued,
        running=sum(use.running for use in uses),
        demand=demand,
        asked_at_s=now_s,
        incarnation=ask.sender.incarnation,
        sequence=ask.sender.sequence,
    )


def issue(account: Account, slots: int, until_s: float) -> Account:
    """Return an account with one more grant."""
    issued = (*account.issued, IssuedGrant(slots, until_s))
    return replace(account, issued=issued, last_slots=slots)


def outstanding(account: Account) -> int:
    """Return the slots that a router may be using."""
    return max(account.running, _most(account.issued))


def slots_for(
    view: ReplicaView,
    router: NodeName,
    accounts: Sequence[Account],
    now_s: float,
    router_timeout_s: float,
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
    router_timeout_s
        A router that has not asked for so long gets no share.

    Returns
    -------
    int
        Its share, but no more than what others leave.

    """
    active = [
        account
        for account in accounts
        if now_s - account.asked_at_s < router_timeout_s
    ]
    taken = sum(
        outstanding(account) for account in active if account.router != router
    )
    taken += _silent_use(view, accounts, active, now_s)
    part = share(view.current_capacity, router, active)
    return max(0, min(part, view.current_capacity - taken))


def without_unattributed(
    view: ReplicaView,
    accounts: Iterable[Account],
) -> ReplicaView:
    """Return a view that bears less by what no known router runs.

    Grants of an earlier granter may be in use; its routers show up in the
    engine's own report.
    """
    known = sum(account.running for account in accounts)
    unexplained = max(0, view.running - known)
    return replace(
        view, current_capacity=max(0, view.current_capacity - unexplained)
    )


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


def _follows(account: Account, ask: ExchangeRequest) -> bool:
    is_same = ask.sender.incarnation == account.incarnation
    return is_same and ask.sender.sequence > account.sequence


def _cut(
    issued: tuple[IssuedGrant, ...],
    held: int,
) -> tuple[IssuedGrant, ...]:
    """Return the grants when the router holds no more than it says."""
    slots = min(_most(issued), held)
    if not slots:
        return ()
    until_s = max(grant.until_s for grant in issued)
    return (IssuedGrant(slots, until_s),)


def _most(issued: Iterable[IssuedGrant]) -> int:
    return max((grant.slots for grant in issued), default=0)


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
    granted = sum(_most(_live(account, now_s)) for account in silent)
    held = sum(max(account.last_slots, account.running) for account in silent)
    known = sum(account.running for account in active)
    unexplained = max(0, view.running - known)
    return max(granted, min(held, unexplained))

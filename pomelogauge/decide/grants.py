"""Divides the slots of a replica among routers."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace

from ..model.ids import DeploymentName, Incarnation, NodeName, ReplicaId
from ..model.peers import ExchangeRequest
from ..model.placement import ReplicaView


@dataclass(frozen=True)
class IssuedGrant:
    """Slots granted to a router and when they expire by the granter's clock."""

    slots: int
    until_s: float


@dataclass(frozen=True)
class Account:
    """Slots that one router may be using at one replica.

    A router may still start requests under an older grant. The granter learns
    what it has started only from its next exchange request, so a grant counts
    until then, even after it has expired.

    Parameters
    ----------
    router
        Name of the router.
    issued
        Grants that it may have used since its last exchange request.
    running
        Requests in progress at the replica by its last report.
    demand
        Requests waiting and in progress for the replica's deployment by its
        last report.
    asked_at_s
        Granter's clock at its last exchange request.
    last_slots
        Slots of its last grant.
    incarnation, sequence
        Incarnation of the router process and sequence number of its last
        report.

    """

    router: NodeName
    issued: tuple[IssuedGrant, ...] = ()
    running: int = 0
    demand: int = 0
    asked_at_s: float = float('-inf')
    last_slots: int = 0
    incarnation: Incarnation = Incarnation('')
    sequence: int = 0


def is_superseded(account: Account, request: ExchangeRequest) -> bool:
    """Return whether a newer request of the same process was answered.

    The router has given up the older request, and its figures are outdated.
    """
    is_same = request.sender.incarnation == account.incarnation
    return is_same and request.sender.sequence < account.sequence


def record_request(
    account: Account,
    request: ExchangeRequest,
    replica: ReplicaId,
    deployment: DeploymentName,
    now_s: float,
) -> Account:
    """Return the account after an exchange request of its router.

    Parameters
    ----------
    account
        Account before the request.
    request
        The exchange request.
    replica, deployment
        Replica of the account and the deployment that it serves.
    now_s
        Granter's clock.

    """
    demand = sum(
        wanted.waiting + wanted.running
        for wanted in request.demands
        if wanted.deployment == deployment
    )
    uses = [use for use in request.uses if use.replica == replica]
    issued = _unexpired(account, now_s)
    if _follows(account, request) and not any(use.held is None for use in uses):
        # The router uses its newest grant only, and ignores the answers to
        # requests before this one.
        held = sum(use.held or 0 for use in uses)
        issued = _reduced(account.issued, held)
    return replace(
        account,
        issued=issued,
        running=sum(use.running for use in uses),
        demand=demand,
        asked_at_s=now_s,
        incarnation=request.sender.incarnation,
        sequence=request.sender.sequence,
    )


def issue(account: Account, slots: int, until_s: float) -> Account:
    """Return the account with one more grant that ends at ``until_s``."""
    issued = (*account.issued, IssuedGrant(slots, until_s))
    return replace(account, issued=issued, last_slots=slots)


def outstanding(account: Account) -> int:
    """Return the most slots that a router may be using."""
    return max(account.running, _largest(account.issued))


def slots_for(
    view: ReplicaView,
    router: NodeName,
    accounts: Sequence[Account],
    now_s: float,
    router_timeout_s: float,
) -> int:
    """Return the slots to grant to a router that has just requested some.

    Parameters
    ----------
    view
        Newest view of the replica.
    router
        Router that requests slots; one of the accounts is its own.
    accounts
        Accounts of all routers that hold or want slots of the replica.
    now_s
        Granter's clock.
    router_timeout_s
        A router without a request for so many seconds gets no share.

    Returns
    -------
    int
        Its share, but no more than the others leave free.

    """
    active = [
        account
        for account in accounts
        if now_s - account.asked_at_s < router_timeout_s
    ]
    taken = sum(
        outstanding(account) for account in active if account.router != router
    )
    taken += _inactive_use(view, accounts, active, now_s)
    router_share = share(view.current_capacity, router, active)
    return max(0, min(router_share, view.current_capacity - taken))


def without_unattributed(
    view: ReplicaView,
    accounts: Iterable[Account],
) -> ReplicaView:
    """Return a view whose slots exclude requests of unknown routers.

    Grants of an earlier granter may still be in use. The requests under them
    show up in the engine's own report only.
    """
    known = sum(account.running for account in accounts)
    unattributed = max(0, view.running - known)
    return replace(
        view, current_capacity=max(0, view.current_capacity - unattributed)
    )


def share(slots: int, router: NodeName, accounts: Iterable[Account]) -> int:
    """Return a router's share of the slots, in proportion to its demand.

    Each router gets at least one slot if there are enough for all, so that a
    first request need not wait for an exchange. The shares of all routers
    never add up to more than the slots.
    """
    ranked = sorted(accounts, key=_by_demand)
    floor = 1 if slots >= len(ranked) else 0
    spare = slots - floor * len(ranked)
    total = sum(account.demand for account in ranked)
    if not total:
        return floor + _even_share(
            spare, len(ranked), _position(router, ranked)
        )
    shares = [spare * account.demand // total for account in ranked]
    rest = spare - sum(shares)
    position = _position(router, ranked)
    return floor + shares[position] + int(position < rest)


def _even_share(slots: int, count: int, position: int) -> int:
    return slots // count + int(position < slots % count)


def _position(router: NodeName, ranked: Sequence[Account]) -> int:
    return [account.router for account in ranked].index(router)


def _by_demand(account: Account) -> tuple[int, str]:
    return (-account.demand, account.router)


def _unexpired(account: Account, now_s: float) -> tuple[IssuedGrant, ...]:
    return tuple(grant for grant in account.issued if grant.until_s > now_s)


def _follows(account: Account, request: ExchangeRequest) -> bool:
    is_same = request.sender.incarnation == account.incarnation
    return is_same and request.sender.sequence > account.sequence


def _reduced(
    issued: tuple[IssuedGrant, ...],
    held: int,
) -> tuple[IssuedGrant, ...]:
    """Return the grants, reduced to the slots that the router reports."""
    slots = min(_largest(issued), held)
    if not slots:
        return ()
    until_s = max(grant.until_s for grant in issued)
    return (IssuedGrant(slots, until_s),)


def _largest(issued: Iterable[IssuedGrant]) -> int:
    return max((grant.slots for grant in issued), default=0)


def _inactive_use(
    view: ReplicaView,
    accounts: Iterable[Account],
    active: Sequence[Account],
    now_s: float,
) -> int:
    """Return the slots that inactive routers may still be using.

    Their unexpired grants count in full. Requests under expired grants may
    still run: at most as many as the engine reports beyond those of the active
    routers.
    """
    inactive = [account for account in accounts if account not in active]
    granted = sum(_largest(_unexpired(account, now_s)) for account in inactive)
    held = sum(max(account.last_slots, account.running) for account in inactive)
    known = sum(account.running for account in active)
    unattributed = max(0, view.running - known)
    return max(granted, min(held, unattributed))

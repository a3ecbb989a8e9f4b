"""The task that grants slots on replicas to routers."""

from collections.abc import Collection
from dataclasses import dataclass, replace

from ..decide.grants import (
    Account,
    is_superseded,
    issue,
    record_request,
    slots_for,
    without_unattributed,
)
from ..model.ids import Epoch, NodeName, ReplicaId, ShardName
from ..model.peers import ExchangeAnswer, ExchangeRequest, NodeReport, PeerView
from ..model.placement import Grant, ReplicaView
from ..model.times import ControlTimes
from .clock import Clock
from .messages import (
    ConfigurationInForce,
    ExchangeRequested,
    NodeStatus,
    PeersChanged,
    ReplicasSuspected,
    ShardViews,
    StatusRequested,
)
from .shutdown_messages import PhaseChanged

GrantMessage = (
    ShardViews
    | ExchangeRequested
    | ConfigurationInForce
    | PhaseChanged
    | PeersChanged
    | StatusRequested
)


@dataclass(frozen=True)
class _Ledger:
    """The accounts of one replica.

    Parameters
    ----------
    lease_epoch
        Epoch of the lease under which this controller grants.
    opens_at_s
        Monotonic time by which all grants of an earlier controller have
        expired.
    accounts
        One for each router that has asked recently.

    """

    lease_epoch: Epoch
    opens_at_s: float
    accounts: tuple[Account, ...] = ()

    def account(self, router: NodeName) -> Account:
        """Return a router's account, empty for a new router."""
        for account in self.accounts:
            if account.router == router:
                return account
        return Account(router)

    def with_account(self, changed: Account) -> '_Ledger':
        """Return the ledger with a changed account, without expired accounts."""
        expired_s = changed.asked_at_s - _ACCOUNT_EXPIRY_S
        others = tuple(
            account
            for account in self.accounts
            if account.router != changed.router
            and account.asked_at_s > expired_s
        )
        return replace(self, accounts=(*others, changed))


class GrantAllocator:
    """Owns all grants of one controller.

    Parameters
    ----------
    report
        The controller's report of itself, sent with its answers.
    times
        Life of a grant and term of a lease.
    clock
        Monotonic clock of this process.

    """

    def __init__(
        self,
        report: NodeReport,
        times: ControlTimes,
        clock: Clock,
    ) -> None:
        """Start without shards."""
        self._report = report
        self._times = times
        self._clock = clock
        self._peers: tuple[PeerView, ...] = ()
        self._shards: dict[ShardName, ShardViews] = {}
        self._ledgers: dict[ReplicaId, _Ledger] = {}

    def on_start(self) -> None:
        """Do nothing."""

    def on_message(self, message: GrantMessage) -> None:
        """Update the views, or answer a router."""
        match message:
            case ShardViews():
                self._update_views(message)
            case ExchangeRequested():
                self._answer(message)
            case ConfigurationInForce():
                version = message.configuration.version
                self._report = replace(self._report, version=version)
            case PhaseChanged():
                self._report = replace(self._report, phase=message.phase)
            case PeersChanged():
                self._peers = message.peers
            case StatusRequested():
                message.reply.post(self._status())

    def on_timer(self) -> float | None:
        """Wait for messages only."""
        return _NEVER_S

    def on_stop(self) -> None:
        """Do nothing; the grants expire by themselves."""

    def _update_views(self, views: ShardViews) -> None:
        known = self._shards.get(views.shard)
        if known and known.lease_epoch > views.lease_epoch:
            # The task of a previous owner ended after its successor started.
            return
        self._shards[views.shard] = views
        if not (views.views or views.held):
            self._shards.pop(views.shard)
        for view in views.views:
            self._open_ledger(view.replica.replica, views)
        self._close_ledgers()

    def _open_ledger(self, replica: ReplicaId, views: ShardViews) -> None:
        """Open a ledger for a new lease epoch.

        Another controller may have granted the replica's slots before, so that
        the ledger opens after the life of a grant, unless the replica was
        formed under the present lease.
        """
        ledger = self._ledgers.get(replica)
        if ledger and ledger.lease_epoch == views.lease_epoch:
            return
        opens_at_s = self._clock.now_s()
        if replica not in views.formed:
            opens_at_s += self._times.grant_life_s + _SENDING_ALLOWANCE_S
        accounts = ledger.accounts if ledger else ()
        self._ledgers[replica] = _Ledger(
            views.lease_epoch, opens_at_s, accounts
        )

    def _close_ledgers(self) -> None:
        existing = {
            view.replica.replica
            for shard in self._shards.values()
            for view in shard.views
        }
        for dropped in self._ledgers.keys() - existing:
            self._ledgers.pop(dropped)

    def _answer(self, message: ExchangeRequested) -> None:
        grants = tuple(
            grant
            for shard in self._shards.values()
            for view in shard.views
            if (grant := self._grant(shard, view, message.ask))
        )
        answer = ExchangeAnswer(self._report, self._views(), grants)
        message.reply.post(answer)
        self._report_suspects(message.ask.suspects)

    def _report_suspects(self, suspects: Collection[ReplicaId]) -> None:
        """Notify the owners of the replicas that a router suspects."""
        for shard in self._shards.values():
            named = tuple(
                view.replica.replica
                for view in shard.views
                if view.replica.replica in suspects
            )
            if named and shard.owner:
                shard.owner.post(ReplicasSuspected(named))

    def _views(self) -> tuple[ReplicaView, ...]:
        now_s = self._clock.now_s()
        return tuple(
            _aged(view, shard, now_s)
            for shard in self._shards.values()
            for view in shard.views
        )

    def _grant(
        self,
        shard: ShardViews,
        view: ReplicaView,
        request: ExchangeRequest,
    ) -> Grant | None:
        """Return the grant on one replica; ``None`` for no slots."""
        now_s = self._clock.now_s()
        replica = view.replica
        ledger = self._ledgers[replica.replica]
        router = request.sender.node
        previous = ledger.account(router)
        if is_superseded(previous, request):
            return None
        account = record_request(
            previous,
            request,
            replica.replica,
            replica.deployment,
            now_s,
        )
        ledger = ledger.with_account(account)
        slots = 0
        may_grant = view.serving and self._may_grant(shard, view, now_s)
        is_open = now_s >= ledger.opens_at_s
        if may_grant and (is_open or _is_warm(view)):
            if not is_open:
                view = without_unattributed(view, ledger.accounts)
            slots = slots_for(
                view, router, ledger.accounts, now_s, self._router_timeout_s
            )
        if slots:
            # The router counts from the arrival of the answer, which is not
            # sent yet; the allowance covers the sending.
            until_s = now_s + self._times.grant_life_s + _SENDING_ALLOWANCE_S
            ledger = ledger.with_account(issue(account, slots, until_s))
        self._ledgers[replica.replica] = ledger
        if not slots:
            return None
        life_s = self._times.grant_life_s
        return Grant(replica.replica, slots, life_s, shard.lease_epoch)

    def _may_grant(
        self,
        shard: ShardViews,
        view: ReplicaView,
        now_s: float,
    ) -> bool:
        if shard.held and now_s < shard.held_until_s:
            return True
        # After a pause of this process another controller may hold the lease,
        # and a replica reported warm may have become cold; only a report
        # younger than a lease term counts.
        reported_at_s = shard.reported_at_s or 0
        is_fresh = now_s - reported_at_s < self._times.lease_term_s
        return is_fresh and _is_warm(view)

    @property
    def _router_timeout_s(self) -> float:
        return 2 * self._times.grant_life_s

    def _status(self) -> NodeStatus:
        now_s = self._clock.now_s()
        shards = tuple(
            name
            for name, shard in self._shards.items()
            if shard.held and now_s < shard.held_until_s
        )
        return NodeStatus(self._report, self._peers, self._views(), shards)


#: Time-out of a task that waits for messages only.
_NEVER_S: float | None = None

#: Seconds after its last request until a router's account is dropped.
_ACCOUNT_EXPIRY_S = 60.0

#: Seconds by which the controller counts a grant longer than its router,
#: which covers the sending of the answer.
_SENDING_ALLOWANCE_S = 0.1


def _is_warm(view: ReplicaView) -> bool:
    """Return whether a replica has its full capacity.

    While the lease has expired or was just taken, grants of another controller
    may still be in use. Only a warm replica tolerates that: it rejects excess
    requests before it runs them.
    """
    return 0 < view.capacity <= view.current_capacity


def _aged(view: ReplicaView, shard: ShardViews, now_s: float) -> ReplicaView:
    """Return a view whose load age includes the time since its report."""
    if shard.reported_at_s is None:
        return view
    age_s = max(now_s - shard.reported_at_s, 0)
    return replace(view, load_age_s=view.load_age_s + age_s)

"""The task that grants capacity of replicas to routers."""

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
    ExchangeAsked,
    NodeStatus,
    PeersChanged,
    PhaseChanged,
    ReplicasSuspected,
    ShardViews,
    StatusAsked,
)

GrantMessage = (
    ShardViews
    | ExchangeAsked
    | ConfigurationInForce
    | PhaseChanged
    | PeersChanged
    | StatusAsked
)


@dataclass(frozen=True)
class _Ledger:
    """The accounts of one replica.

    Parameters
    ----------
    lease_epoch
        Lease under which this desk grants.
    opens_at_s
        Grants of an earlier granter have ended by then.
    accounts
        One for each router.

    """

    lease_epoch: Epoch
    opens_at_s: float
    accounts: tuple[Account, ...] = ()

    def account(self, router: NodeName) -> Account:
        """Return a router's account."""
        for account in self.accounts:
            if account.router == router:
                return account
        return Account(router)

    def having(self, changed: Account) -> '_Ledger':
        """Return the ledger with a changed account of a router that asks."""
        forgotten_s = changed.asked_at_s - _FORGET_S
        others = tuple(
            account
            for account in self.accounts
            if account.router != changed.router
            and account.asked_at_s > forgotten_s
        )
        return replace(self, accounts=(*others, changed))


class GrantAllocator:
    """Owns all grants of one controller.

    Parameters
    ----------
    report
        The controller's report of itself, for its answers.
    times
        Periods.
    clock
        Own clock.

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
        """Take views, and answer routers."""
        match message:
            case ShardViews():
                self._take_views(message)
            case ExchangeAsked():
                self._answer(message)
            case ConfigurationInForce():
                version = message.configuration.version
                self._report = replace(self._report, version=version)
            case PhaseChanged():
                self._report = replace(self._report, phase=message.phase)
            case PeersChanged():
                self._peers = message.peers
            case StatusAsked():
                message.reply.post(self._status())

    def on_timer(self) -> float | None:
        """Wait for messages only."""
        return _NEVER_S

    def on_stop(self) -> None:
        """Let the grants lapse."""

    def _take_views(self, views: ShardViews) -> None:
        known = self._shards.get(views.shard)
        if known and known.lease_epoch > views.lease_epoch:
            # A former owner's task has ended after its successor began.
            return
        self._shards[views.shard] = views
        if not (views.views or views.held):
            self._shards.pop(views.shard)
        for view in views.views:
            self._open_ledger(view.replica.replica, views)
        self._close_ledgers()

    def _open_ledger(self, replica: ReplicaId, views: ShardViews) -> None:
        """Wait a grant's life for what another granter may have granted."""
        ledger = self._ledgers.get(replica)
        if ledger and ledger.lease_epoch == views.lease_epoch:
            return
        opens_at_s = self._clock.now_s()
        if replica not in views.formed:
            opens_at_s += self._times.grant_life_s + _SENDING_S
        accounts = ledger.accounts if ledger else ()
        self._ledgers[replica] = _Ledger(
            views.lease_epoch, opens_at_s, accounts
        )

    def _close_ledgers(self) -> None:
        named = {
            view.replica.replica
            for shard in self._shards.values()
            for view in shard.views
        }
        for gone in self._ledgers.keys() - named:
            self._ledgers.pop(gone)

    def _answer(self, asked: ExchangeAsked) -> None:
        grants = tuple(
            grant
            for shard in self._shards.values()
            for view in shard.views
            if (grant := self._grant(shard, view, asked.ask))
        )
        answer = ExchangeAnswer(self._report, self._views(), grants)
        asked.reply.post(answer)
        self._pass_on(asked.ask.suspects)

    def _pass_on(self, suspects: Collection[ReplicaId]) -> None:
        """Tell the owners which of their replicas a router suspects."""
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
        ask: ExchangeRequest,
    ) -> Grant | None:
        now_s = self._clock.now_s()
        replica = view.replica
        ledger = self._ledgers[replica.replica]
        router = ask.sender.node
        former = ledger.account(router)
        if is_superseded(former, ask):
            return None
        account = record_request(
            former,
            ask,
            replica.replica,
            replica.deployment,
            now_s,
        )
        ledger = ledger.having(account)
        slots = 0
        may_grant = view.serving and self._may_grant(shard, view, now_s)
        is_open = now_s >= ledger.opens_at_s
        if may_grant and (is_open or _is_warm(view)):
            if not is_open:
                view = without_unattributed(view, ledger.accounts)
            slots = slots_for(
                view, router, ledger.accounts, now_s, self._silent_after_s
            )
        if slots:
            # The answer is not sent yet; the spare time covers its sending.
            until_s = now_s + self._times.grant_life_s + _SENDING_S
            ledger = ledger.having(issue(account, slots, until_s))
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
        # A process that was paused may have a successor, and what it knew
        # to be warm may have turned cold.
        reported_at_s = shard.reported_at_s or 0
        is_fresh = now_s - reported_at_s < self._times.lease_term_s
        return is_fresh and _is_warm(view)

    @property
    def _silent_after_s(self) -> float:
        return 2 * self._times.grant_life_s

    def _status(self) -> NodeStatus:
        now_s = self._clock.now_s()
        shards = tuple(
            name
            for name, shard in self._shards.items()
            if shard.held and now_s < shard.held_until_s
        )
        return NodeStatus(self._report, self._peers, self._views(), shards)


#: Timeout of a task that waits for messages only.
_NEVER_S: float | None = None

#: Seconds after which a router that asks no more is forgotten.
_FORGET_S = 60.0

#: Seconds by which the granter counts a grant longer than its router.
_SENDING_S = 0.1


def _is_warm(view: ReplicaView) -> bool:
    """Return whether a replica bears its full load.

    While the lease has lapsed or was just taken another controller's grants
    may be in use; only a warm replica can bear that, as it refuses what is
    too much before it runs.
    """
    return 0 < view.capacity <= view.current_capacity


def _aged(view: ReplicaView, shard: ShardViews, now_s: float) -> ReplicaView:
    """Return a view whose age counts the time since it was reported."""
    if shard.reported_at_s is None:
        return view
    age_s = max(now_s - shard.reported_at_s, 0)
    return replace(view, load_age_s=view.load_age_s + age_s)

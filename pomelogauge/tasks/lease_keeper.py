"""The task that takes, renews and hands over the leases of a controller."""

import logging
from dataclasses import dataclass, replace

from ..decide.lease_chart import (
    LeaseAction,
    LeaseEvent,
    LeaseFacts,
    LeaseState,
)
from ..decide.leases import LeaseContext, is_wanted, should_hand_over
from ..model.chart import Chart
from ..model.ids import Incarnation, NodeName, ShardName
from ..model.placement import Lease
from ..model.times import ControlTimes
from ..tables.protocols import TableService
from .clock import Clock
from .contention import Contention
from .control_messages import ShardOwnerStarter
from .holder_row import HolderRow, Renewal
from .holder_watch import HolderWatch
from .lease_rows import LeaseRows, LeaseScan
from .messages import InstancesListed
from .owned_shards import LeaseKeeperMessage, OwnedShards
from .transactions import TransactionNames

LeaseChart = Chart[LeaseState, LeaseEvent, LeaseAction, LeaseFacts]

_log = logging.getLogger(__name__)

_OWNED = frozenset((LeaseState.HELD, LeaseState.LAPSED))


@dataclass(frozen=True)
class _Machine:
    """State of one shard's lease.

    Parameters
    ----------
    lease
        The row as last scanned or written.
    state
        State in the chart ``shard_lease``.
    taken
        The row as this process wrote it; ``None`` if it never did.

    """

    lease: Lease
    state: LeaseState
    taken: Lease | None = None


class LeaseKeeper:  # noqa: WPS214 (a short method an action)
    """Owns all leases of a controller and one connection to the tables.

    Parameters
    ----------
    node, incarnation
        Name and start of this process.
    tables
        Connection used by this task only.
    owners
        Starts the owners of shards.
    chart
        State chart ``shard_lease``, one machine per shard.
    times
        Term, margin and intervals of the leases.
    clock
        Monotonic clock of this process.

    """

    def __init__(
        self,
        node: NodeName,
        incarnation: Incarnation,
        tables: TableService,
        owners: ShardOwnerStarter,
        chart: LeaseChart,
        times: ControlTimes,
        clock: Clock,
    ) -> None:
        """Start without leases."""
        names = TransactionNames(f'{node} leases', incarnation)
        self._row = HolderRow(node, incarnation, tables, times, clock)
        self._leases = LeaseRows(tables, names)
        self._owners = OwnedShards(owners)
        self._holders = HolderWatch(node, times, clock)
        self._contention = Contention(node, times)
        self._chart = chart
        self._times = times
        self._clock = clock
        self._due_s = float('-inf')
        self._handed_over_s = float('-inf')
        self._machines: dict[ShardName, _Machine] = {}

    def on_start(self) -> None:
        """Do nothing; the first renewal is due at once."""

    def on_message(self, message: LeaseKeeperMessage) -> None:
        """Forward a message to the owners of shards, also to later ones."""
        self._owners.broadcast(message)
        if isinstance(message, InstancesListed):
            self._contention.set_instances(message)

    def on_timer(self) -> float | None:
        """Renew or scan, and step the leases, once per interval."""
        now_s = self._clock.now_s()
        if now_s < self._due_s:
            return self._due_s - now_s
        holds = bool(self._owners.shards())
        needs_row = holds or self._contention.needs_row
        self._due_s = now_s + self._contention.scan_interval_s(holds=holds)
        self._expire_leases()
        if needs_row:
            self._renew()
        else:
            self._scan_only()
        self._expire_leases()
        for shard in self._owners.shards():
            if self._machines[shard].state == LeaseState.HELD:
                self._notify_held(shard)
        return max(self._due_s - self._clock.now_s(), 0)

    def on_stop(self) -> None:
        """Hand all leases over, then delete this controller's row."""
        self._owners.stop_all()
        shards = self._owners.shards()
        # If an owner may still act, the row has to stay and expire, so that
        # no other controller takes the lease too early.
        if all([self._hand_over(shard) for shard in shards]):
            self._row.delete()

    def _renew(self) -> None:
        renewal = self._row.renew()
        if renewal == Renewal.SUPERSEDED:
            self._stop_owners()
        if renewal != Renewal.DONE:
            return
        scan = self._leases.scan()
        if scan is not None:
            self._apply_scan(scan)

    def _scan_only(self) -> None:
        """Scan the leases without renewing a row, and so take none."""
        # A lease kept for an owner that still acts must expire first.
        expired_s = self._row.held_until_s + self._times.lease_margin_s
        if self._row.is_written and self._clock.now_s() >= expired_s:
            self._row.delete()
        scan = self._leases.scan()
        if scan is not None:
            self._holders.record_scan(scan.heartbeats)
            self._record_free(scan)

    def _record_free(self, scan: LeaseScan) -> None:
        """Record the free leases that this controller could take."""
        rows = {lease.shard: lease for lease in scan.leases}
        shards = self._owners.listed_shards().difference(scan.unreadable)
        leases = [rows.get(shard, Lease(shard)) for shard in shards]
        self._contention.record_free(
            [lease.shard for lease in leases if self._is_free(lease)]
        )

    def _is_free(self, lease: Lease) -> bool:
        if lease.shard in self._owners.shards():
            return False
        is_expired = self._holders.is_expired(lease.holder)
        is_free = not lease.holder or is_expired
        return is_free and is_wanted(lease, self._lease_context(), self._times)

    def _stop_owners(self) -> None:
        _log.warning(
            'leases: row of this controller was written by another incarnation;'
            ' shards stopped: %d',
            len(self._owners.shards()),
        )
        for shard in self._owners.shards():
            self._owners.stop(shard, 0)
        self._machines.clear()

    def _apply_scan(self, scan: LeaseScan) -> None:
        self._holders.record_scan(scan.heartbeats)
        self._record_free(scan)
        rows = {lease.shard: lease for lease in scan.leases}
        wanted = rows.keys() | self._owners.listed_shards()
        for shard in sorted(wanted.difference(scan.unreadable)):
            self._apply_lease(rows.get(shard, Lease(shard)))
        for unreadable in scan.unreadable:
            _log.error(
                'leases: row of shard %s is malformed and left alone',
                unreadable,
            )
        if not scan.unreadable:
            self._sweep()

    def _apply_lease(self, lease: Lease) -> None:
        machine = self._machines.get(lease.shard)
        if machine is None:
            machine = _Machine(lease, self._chart.initial)
        self._machines[lease.shard] = replace(machine, lease=lease)
        if machine.state in _OWNED:
            self._check_owned(lease)
        elif is_wanted(lease, self._lease_context(), self._times):
            self._step(lease.shard, LeaseEvent.WANTED)

    def _check_owned(self, lease: Lease) -> None:
        taken = self._machines[lease.shard].taken
        if taken is None or lease.version != taken.version:
            self._step(lease.shard, LeaseEvent.TAKEN_BY_OTHER)
            return
        if self._clock.now_s() < self._row.held_until_s:
            self._step(lease.shard, LeaseEvent.RENEWED)
        if should_hand_over(lease.shard, self._lease_context(), self._times):
            self._step(lease.shard, LeaseEvent.UNWANTED)

    def _step(self, shard: ShardName, event: LeaseEvent) -> None:
        machine = self._machines[shard]
        move = self._chart.step(machine.state, event, self._facts(machine))
        self._machines[shard] = replace(machine, state=move.state)
        if move.action is not None:
            self._act(shard, move.action)

    def _act(self, shard: ShardName, action: LeaseAction) -> None:
        match action:
            case LeaseAction.TAKE:
                self._take(shard)
            case LeaseAction.START_OWNER:
                self._start_owner(shard)
            case LeaseAction.STOP_OWNER:
                self._owners.stop(shard, 0)
            case LeaseAction.PAUSE_OWNER:
                self._owners.pause(shard)
            case LeaseAction.RESUME_OWNER:
                self._notify_held(shard)
            case LeaseAction.HAND_OVER:
                self._hand_over(shard)

    def _facts(self, machine: _Machine) -> LeaseFacts:
        lease = machine.lease
        is_expired = self._holders.is_expired(lease.holder)
        if lease.holder == self._row.heartbeat.holder:
            # An earlier incarnation of this controller may rely on the lease
            # for up to a term and the margin.
            term_s = self._times.lease_term_s + self._times.lease_margin_s
            now_s = self._clock.now_s()
            is_expired = now_s - self._row.registered_s >= term_s
        return LeaseFacts(holder_expired=is_expired, unheld=not lease.holder)

    def _take(self, shard: ShardName) -> None:
        old = self._machines[shard].lease
        holder = self._row.heartbeat.holder
        conditions = [self._row.condition]
        if old.holder not in {'', holder}:
            conditions.append(self._holders.unchanged_condition(old.holder))
        taken = self._leases.take(old, holder, conditions)
        if taken is None:
            self._step(shard, LeaseEvent.TAKE_FAILED)
            return
        self._machines[shard] = replace(
            self._machines[shard], lease=taken, taken=taken
        )
        self._step(shard, LeaseEvent.TAKEN)

    def _start_owner(self, shard: ShardName) -> None:
        lease = self._machines[shard].lease
        _log.info('leases: took shard %s with epoch %d', shard, lease.epoch)
        self._owners.start(lease, self._row.held_until_s)

    def _hand_over(self, shard: ShardName) -> bool:
        """Stop a shard's owner and release the lease.

        False when the owner has not ended in time; the lease is then kept
        until it expires.
        """
        self._handed_over_s = self._clock.now_s()
        # An order in progress must end before another controller may act.
        has_ended = self._owners.stop(shard, self._times.order_life_s)
        if not has_ended:
            _log.warning(
                'leases: shard %s is kept until the lease expires: its owner'
                ' did not stop within %.1f s',
                shard,
                self._times.order_life_s,
            )
            return False
        self._leases.release(self._machines[shard].lease)
        _log.info('leases: handed over shard %s', shard)
        return True

    def _expire_leases(self) -> None:
        if self._clock.now_s() < self._row.held_until_s:
            return
        for shard in self._owners.shards():
            self._step(shard, LeaseEvent.LAPSED)

    def _notify_held(self, shard: ShardName) -> None:
        lease = self._machines[shard].lease
        self._owners.notify_held(lease, self._row.held_until_s)

    def _sweep(self) -> None:
        """Delete the row of one expired holder that no lease names."""
        kept = {machine.lease.holder for machine in self._machines.values()}
        kept.add(self._row.heartbeat.holder)
        expired = self._holders.find_expired(kept)
        if expired is not None:
            self._leases.delete_holder(expired)

    def _lease_context(self) -> LeaseContext:
        return self._holders.lease_context(self._handed_over_s)

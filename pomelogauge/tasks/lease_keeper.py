"""The task that renews, takes and hands over the leases of a controller."""

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
    """One shard's chart machine.

    Parameters
    ----------
    lease
        The row as last scanned or written.
    state
        State in the chart.
    taken
        The row as this process wrote it.

    """

    lease: Lease
    state: LeaseState
    taken: Lease | None = None


class LeaseKeeper:  # noqa: WPS214 (a short method an action)
    """Owns one connection to the platform and all leases of a controller.

    Parameters
    ----------
    node, incarnation
        Name and life of this process.
    tables
        Touched by this task only.
    owners
        Starts the owners of shards.
    chart
        The shard lease chart.
    times
        Periods.
    clock
        Own clock.

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
        """Remember and pass on what the owners of shards need."""
        self._owners.broadcast(message)
        if isinstance(message, InstancesListed):
            self._contention.take(message)

    def on_timer(self) -> float | None:
        """Renew, look and act once a period."""
        now_s = self._clock.now_s()
        if now_s < self._due_s:
            return self._due_s - now_s
        holds = bool(self._owners.names())
        is_needed = holds or self._contention.needs_row
        self._due_s = now_s + self._contention.period_s(holds=holds)
        self._lapse()
        if is_needed:
            self._renew()
        else:
            self._look()
        self._lapse()
        for shard in self._owners.names():
            if self._machines[shard].state == LeaseState.HELD:
                self._tell(shard)
        return max(self._due_s - self._clock.now_s(), 0)

    def on_stop(self) -> None:
        """Hand all leases over and withdraw the own row."""
        self._owners.stop_all()
        shards = self._owners.names()
        # The row of a holder whose owner may still act must turn silent.
        if all([self._hand_over(shard) for shard in shards]):
            self._row.delete()

    def _renew(self) -> None:
        renewal = self._row.renew()
        if renewal == Renewal.SUPERSEDED:
            self._start_anew()
        if renewal != Renewal.DONE:
            return
        scan = self._leases.scan()
        if scan is not None:
            self._see(scan)

    def _look(self) -> None:
        """Look at the leases without a row, and so without taking any."""
        # A lease that was kept for an owner that still acts must lapse first.
        lapsed_s = self._row.held_until_s + self._times.lease_margin_s
        if self._row.is_written and self._clock.now_s() >= lapsed_s:
            self._row.delete()
        scan = self._leases.scan()
        if scan is not None:
            self._holders.take(scan.heartbeats)
            self._contend(scan)

    def _contend(self, scan: LeaseScan) -> None:
        """Note which leases lie free that this controller could have."""
        rows = {lease.shard: lease for lease in scan.leases}
        shards = self._owners.listed().difference(scan.unreadable)
        leases = [rows.get(shard, Lease(shard)) for shard in shards]
        self._contention.look(
            [lease.shard for lease in leases if self._is_free(lease)]
        )

    def _is_free(self, lease: Lease) -> bool:
        if lease.shard in self._owners.names():
            return False
        is_expired = self._holders.is_expired(lease.holder)
        is_free = not lease.holder or is_expired
        return is_free and is_wanted(lease, self._lease_context(), self._times)

    def _start_anew(self) -> None:
        _log.warning('leases: the own row was changed by another incarnation')
        for shard in self._owners.names():
            self._owners.stop(shard, 0)
        self._machines.clear()

    def _see(self, scan: LeaseScan) -> None:
        self._holders.take(scan.heartbeats)
        self._contend(scan)
        rows = {lease.shard: lease for lease in scan.leases}
        wanted = rows.keys() | self._owners.listed()
        for shard in sorted(wanted.difference(scan.unreadable)):
            self._see_shard(rows.get(shard, Lease(shard)))
        for unreadable in scan.unreadable:
            _log.error('leases: the row of %s is malformed', unreadable)
        if not scan.unreadable:
            self._sweep()

    def _see_shard(self, lease: Lease) -> None:
        machine = self._machines.get(lease.shard)
        if machine is None:
            machine = _Machine(lease, self._chart.initial)
        self._machines[lease.shard] = replace(machine, lease=lease)
        if machine.state in _OWNED:
            self._see_own(lease)
        elif is_wanted(lease, self._lease_context(), self._times):
            self._step(lease.shard, LeaseEvent.WANTED)

    def _see_own(self, lease: Lease) -> None:
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
                self._tell(shard)
            case LeaseAction.HAND_OVER:
                self._hand_over(shard)

    def _facts(self, machine: _Machine) -> LeaseFacts:
        lease = machine.lease
        silent = self._holders.is_expired(lease.holder)
        if lease.holder == self._row.heartbeat.holder:
            # An earlier incarnation may believe in this lease for a term.
            term_s = self._times.lease_term_s + self._times.lease_margin_s
            now_s = self._clock.now_s()
            silent = now_s - self._row.registered_s >= term_s
        return LeaseFacts(holder_expired=silent, unheld=not lease.holder)

    def _take(self, shard: ShardName) -> None:
        old = self._machines[shard].lease
        holder = self._row.heartbeat.holder
        conditions = [self._row.condition]
        if old.holder not in {'', holder}:
            conditions.append(self._holders.unchanged(old.holder))
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
        _log.info('leases: took %s with epoch %d', shard, lease.epoch)
        self._owners.start(lease, self._row.held_until_s)

    def _hand_over(self, shard: ShardName) -> bool:
        """Give a lease back; return whether its owner has ended."""
        self._handed_over_s = self._clock.now_s()
        # An order on its way must end before another controller may act.
        has_ended = self._owners.stop(shard, self._times.order_life_s)
        if not has_ended:
            _log.warning('leases: %s is kept, its owner still acts', shard)
            return False
        self._leases.release(self._machines[shard].lease)
        _log.info('leases: handed %s over', shard)
        return True

    def _lapse(self) -> None:
        if self._clock.now_s() < self._row.held_until_s:
            return
        for shard in self._owners.names():
            self._step(shard, LeaseEvent.LAPSED)

    def _tell(self, shard: ShardName) -> None:
        lease = self._machines[shard].lease
        self._owners.tell(lease, self._row.held_until_s)

    def _sweep(self) -> None:
        """Delete the row of one silent holder that no lease names."""
        kept = {machine.lease.holder for machine in self._machines.values()}
        kept.add(self._row.heartbeat.holder)
        silent = self._holders.silent(kept)
        if silent is not None:
            self._leases.forget(silent)

    def _lease_context(self) -> LeaseContext:
        return self._holders.lease_context(self._handed_over_s)

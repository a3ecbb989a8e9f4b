"""Task that owns the state of the platform stand-in."""

from dataclasses import dataclass, replace
from typing import Any

from ..model.ids import InstanceName
from ..model.topology import Instance
from ..tasks.clock import Clock
from .client_connections import ClientConnections
from .memory_platform import MemoryPlatform
from .platform_messages import (
    BlockedClientsSet,
    Call,
    CommitRows,
    Conflicts,
    ConnectionHeld,
    InstanceLeaving,
    InstanceRemoved,
    InstancesSet,
    ListInstances,
    ModeSet,
    NotAnswered,
    PlatformMessage,
    PlatformMode,
    PlatformModeName,
    PlatformStats,
    PutObject,
    Query,
    QueryResult,
    StatsRequested,
)


@dataclass(frozen=True)
class _DelayedCall:
    due_s: float
    call: Call[Any]


@dataclass(frozen=True)
class _DelayedList:
    due_s: float
    instances: tuple[Instance, ...]


class PlatformActor:
    """Owns the store, the instance list and the fault mode.

    Parameters
    ----------
    clock
        Schedules delayed responses and list publications.
    list_lag_s
        Seconds until a change shows in the instance list.

    """

    def __init__(self, clock: Clock, list_lag_s: float) -> None:
        """Start with an empty store, in mode ``up``."""
        self._clock = clock
        self._list_lag_s = list_lag_s
        self._store = MemoryPlatform()
        self._mode = PlatformMode()
        self._connections = ClientConnections()
        self._instances: dict[InstanceName, Instance] = {}
        self._delayed_lists: list[_DelayedList] = []
        self._delayed_calls: list[_DelayedCall] = []
        self._counters = _CallCounters()

    def on_start(self) -> None:
        """Do nothing; the state is complete."""

    def on_message(self, message: PlatformMessage) -> None:
        """Handle a message from an HTTP thread."""
        self._publish_due_lists()
        match message:
            case Call():
                self._on_call(message)
            case ConnectionHeld(connection):
                self._connections.hold(connection)
                self._enter(self._mode)
            case ModeSet(mode):
                self._enter(mode)
            case BlockedClientsSet(clients):
                self._connections.block(clients)
            case StatsRequested(reply):
                reply.post(self._counters.stats)
            case _:
                self._change_list(message)

    def on_timer(self) -> float | None:
        """Publish due lists, run due calls; return the seconds to wait."""
        self._publish_due_lists()
        now_s = self._clock.now_s()
        self._answer_due_calls(now_s)
        dues = [delayed.due_s for delayed in self._delayed_calls]
        dues.extend(shown.due_s for shown in self._delayed_lists)
        return max(min(dues) - now_s, 0) if dues else None

    def on_stop(self) -> None:
        """Close all held connections."""
        self._connections.release()

    def _on_call(self, call: Call[Any]) -> None:
        failure = self._failure(call.client)
        if failure:
            call.reply.post(failure)
        elif self._mode.mode is PlatformModeName.SLOW:
            due_s = self._clock.now_s() + self._mode.delay_s
            self._delayed_calls.append(_DelayedCall(due_s, call))
        else:
            self._run(call)

    def _failure(self, client: str) -> NotAnswered | None:
        if self._connections.is_blocked(client):
            return NotAnswered.CUT
        if self._mode.mode is PlatformModeName.DOWN:
            return NotAnswered.DOWN
        if self._mode.mode is PlatformModeName.HANG:
            return NotAnswered.HELD
        return None

    def _run(self, call: Call[Any]) -> None:
        outcome = call.query.run(self._store)
        self._counters.count(call.query, outcome, self._clock.now_s())
        if self._loses_answer(call.query, outcome):
            call.reply.post(NotAnswered.CUT)
        else:
            call.reply.post(QueryResult(outcome))

    def _loses_answer(self, query: Query[Any], outcome: Any) -> bool:
        if self._mode.mode is not PlatformModeName.LOSE_ANSWER:
            return False
        if not isinstance(query, CommitRows) or isinstance(outcome, Conflicts):
            return False
        if self._mode.count < 1 or not query.writes_to(self._mode.table):
            return False
        self._mode = replace(self._mode, count=self._mode.count - 1)
        return True

    def _enter(self, mode: PlatformMode) -> None:
        self._mode = mode
        if mode.mode is not PlatformModeName.HANG:
            self._connections.release()

    def _change_list(self, message: PlatformMessage) -> None:
        match message:
            case InstancesSet(instances):
                for instance in instances:
                    self._instances[instance.name] = instance
            case InstanceRemoved(name):
                self._instances.pop(name, None)
            case InstanceLeaving(name):
                leaving = replace(self._instances[name], leaving=True)
                self._instances[name] = leaving
        due_s = self._clock.now_s() + self._list_lag_s
        listed = tuple(self._instances.values())
        self._delayed_lists.append(_DelayedList(due_s, listed))

    def _answer_due_calls(self, now_s: float) -> None:
        waiting = self._delayed_calls
        self._delayed_calls = [
            delayed for delayed in waiting if delayed.due_s > now_s
        ]
        for delayed in waiting:
            if delayed.due_s <= now_s:
                self._run(delayed.call)

    def _publish_due_lists(self) -> None:
        now_s = self._clock.now_s()
        while self._delayed_lists and self._delayed_lists[0].due_s <= now_s:
            self._store.listed = self._delayed_lists.pop(0).instances


class _CallCounters:
    """Counts calls and their peaks within whole clock seconds."""

    def __init__(self) -> None:
        self.stats = PlatformStats()
        self._second = 0
        self._reads = 0
        self._writes = 0

    def count(self, query: Query[Any], outcome: Any, now_s: float) -> None:
        """Count a call that was run; instance lists are not counted."""
        if int(now_s) != self._second:
            self._second = int(now_s)
            self._reads = 0
            self._writes = 0
        if isinstance(query, (CommitRows, PutObject)):
            self._count_write(isinstance(outcome, Conflicts))
        elif not isinstance(query, ListInstances):
            self._count_read()

    def _count_read(self) -> None:
        self._reads += 1
        self.stats = replace(
            self.stats,
            reads=self.stats.reads + 1,
            peak_reads_s=max(self.stats.peak_reads_s, self._reads),
        )

    def _count_write(self, refused: bool) -> None:
        self._writes += 1
        self.stats = replace(
            self.stats,
            writes=self.stats.writes + 1,
            peak_writes_s=max(self.stats.peak_writes_s, self._writes),
            conflicts=self.stats.conflicts + int(refused),
        )

"""The task that owns the stand-in platform's state."""

from dataclasses import dataclass, replace
from typing import Any

from ..model.ids import InstanceName
from ..model.topology import Instance
from ..tasks.clock import Clock
from .caller_links import CallerLinks
from .memory_platform import MemoryPlatform
from .platform_messages import (
    Call,
    CommitRows,
    Conflicts,
    CutsSet,
    Found,
    Held,
    InstanceLeaving,
    InstanceRemoved,
    InstancesSet,
    ListInstances,
    ModeSet,
    PlatformMessage,
    PlatformMode,
    PlatformModeName,
    PlatformStats,
    PutObject,
    Query,
    StatsAsked,
    Verdict,
)


@dataclass(frozen=True)
class _LateCall:
    due_s: float
    call: Call[Any]


@dataclass(frozen=True)
class _LateList:
    due_s: float
    instances: tuple[Instance, ...]


class PlatformActor:
    """Owns the store, the instance list and the mode.

    Parameters
    ----------
    clock
        Clock of this process.
    list_lag_s
        Seconds by which the instance list lags.

    """

    def __init__(self, clock: Clock, list_lag_s: float) -> None:
        """Start empty and up."""
        self._clock = clock
        self._list_lag_s = list_lag_s
        self._store = MemoryPlatform()
        self._mode = PlatformMode()
        self._links = CallerLinks()
        self._instances: dict[InstanceName, Instance] = {}
        self._late_lists: list[_LateList] = []
        self._late_calls: list[_LateCall] = []
        self._meter = _Meter()

    def on_start(self) -> None:
        """Have nothing to prepare."""

    def on_message(self, message: PlatformMessage) -> None:
        """Take one message."""
        self._show_due_lists()
        match message:
            case Call():
                self._on_call(message)
            case Held(connection):
                self._links.hold(connection)
                self._enter(self._mode)
            case ModeSet(mode):
                self._enter(mode)
            case CutsSet(clients):
                self._links.cut(clients)
            case StatsAsked(reply):
                reply.post(self._meter.stats)
            case _:
                self._change_list(message)

    def on_timer(self) -> float | None:
        """Show lists and answer calls whose delay is over."""
        self._show_due_lists()
        now_s = self._clock.now_s()
        self._answer_due_calls(now_s)
        dues = [late.due_s for late in self._late_calls]
        dues.extend(shown.due_s for shown in self._late_lists)
        return max(min(dues) - now_s, 0) if dues else None

    def on_stop(self) -> None:
        """Close the connections that were kept open."""
        self._links.release()

    def _on_call(self, call: Call[Any]) -> None:
        verdict = self._verdict(call.client)
        if verdict:
            call.reply.post(verdict)
        elif self._mode.mode is PlatformModeName.SLOW:
            due_s = self._clock.now_s() + self._mode.delay_s
            self._late_calls.append(_LateCall(due_s, call))
        else:
            self._run(call)

    def _verdict(self, client: str) -> Verdict | None:
        if self._links.is_cut(client):
            return Verdict.CUT
        if self._mode.mode is PlatformModeName.DOWN:
            return Verdict.DOWN
        if self._mode.mode is PlatformModeName.HANG:
            return Verdict.HELD
        return None

    def _run(self, call: Call[Any]) -> None:
        outcome = call.query.run(self._store)
        self._meter.count(call.query, outcome, self._clock.now_s())
        if self._loses_answer(call.query, outcome):
            call.reply.post(Verdict.CUT)
        else:
            call.reply.post(Found(outcome))

    def _loses_answer(self, query: Query[Any], outcome: Any) -> bool:
        if self._mode.mode is not PlatformModeName.LOSE_ANSWER:
            return False
        if not isinstance(query, CommitRows) or isinstance(outcome, Conflicts):
            return False
        if self._mode.count < 1 or not query.touches(self._mode.table):
            return False
        self._mode = replace(self._mode, count=self._mode.count - 1)
        return True

    def _enter(self, mode: PlatformMode) -> None:
        self._mode = mode
        if mode.mode is not PlatformModeName.HANG:
            self._links.release()

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
        self._late_lists.append(_LateList(due_s, listed))

    def _answer_due_calls(self, now_s: float) -> None:
        waiting = self._late_calls
        self._late_calls = [one for one in waiting if one.due_s > now_s]
        for late in waiting:
            if late.due_s <= now_s:
                self._run(late.call)

    def _show_due_lists(self) -> None:
        now_s = self._clock.now_s()
        while self._late_lists and self._late_lists[0].due_s <= now_s:
            self._store.listed = self._late_lists.pop(0).instances


class _Meter:
    """Counts calls, also by whole seconds."""

    def __init__(self) -> None:
        self.stats = PlatformStats()
        self._second = 0
        self._reads = 0
        self._writes = 0

    def count(self, query: Query[Any], outcome: Any, now_s: float) -> None:
        """Count one call."""
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

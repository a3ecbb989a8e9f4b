"""Task that owns the state of a service stand-in."""

import uuid
from dataclasses import dataclass, replace

from ..model.ids import CallName, Incarnation
from ..tasks.clock import Clock
from .client_connections import ClientConnections
from .service_messages import (
    BlockedClientsSet,
    CallRan,
    CallRequested,
    ConnectionHeld,
    ModeSet,
    NotAnswered,
    RecordRequested,
    RunCount,
    ServiceMessage,
    ServiceMode,
    ServiceModeName,
    ServiceStatus,
    StatusRequested,
)

_FAILURES_BEFORE_RUN = {
    ServiceModeName.HANG: NotAnswered.HELD,
    ServiceModeName.CUT_BEFORE: NotAnswered.CUT,
    ServiceModeName.REFUSE: NotAnswered.REFUSED,
}


@dataclass(frozen=True)
class _RunKey:
    call: CallName
    key: str


@dataclass(frozen=True)
class _DelayedReply:
    due_s: float
    requested: CallRequested
    ran: CallRan


class ServiceActor:
    """Runs calls without deduplication and counts the runs by key.

    Parameters
    ----------
    name
        Name of the instance.
    capacity
        Reported limit of concurrent calls; it is not enforced.
    clock
        Schedules delayed responses.

    """

    def __init__(self, name: str, capacity: int, clock: Clock) -> None:
        """Start with no runs, in mode ``up``."""
        self._clock = clock
        self._status = ServiceStatus(
            instance=name,
            incarnation=Incarnation(uuid.uuid4().hex),
            running=0,
            capacity=capacity,
        )
        self._mode = ServiceMode()
        self._connections = ClientConnections()
        self._delayed: list[_DelayedReply] = []
        self._runs: dict[_RunKey, RunCount] = {}

    def on_start(self) -> None:
        """Do nothing; the state is complete."""

    def on_message(self, message: ServiceMessage) -> None:
        """Handle a message from an HTTP thread."""
        match message:
            case CallRequested():
                self._on_call(message)
            case ConnectionHeld(connection):
                self._connections.hold(connection)
                self._enter(self._mode)
            case ModeSet(mode):
                self._enter(mode)
            case BlockedClientsSet(clients):
                self._connections.block(clients)
            case StatusRequested():
                self._on_status(message)
            case RecordRequested(reply):
                reply.post(tuple(self._runs.values()))

    def on_timer(self) -> float | None:
        """Send due replies; return the seconds until the next one."""
        now_s = self._clock.now_s()
        waiting = self._delayed
        self._delayed = [
            delayed for delayed in waiting if delayed.due_s > now_s
        ]
        for delayed in waiting:
            if delayed.due_s <= now_s:
                delayed.requested.reply.post(delayed.ran)
        dues = [pending.due_s for pending in self._delayed]
        return min(dues) - now_s if dues else None

    def on_stop(self) -> None:
        """Close all held connections."""
        self._connections.release()

    def _on_status(self, requested: StatusRequested) -> None:
        if self._connections.is_blocked(requested.client):
            requested.reply.post(NotAnswered.CUT)
        elif self._mode.mode is ServiceModeName.HANG:
            requested.reply.post(NotAnswered.HELD)
        else:
            running = len(self._delayed)
            requested.reply.post(replace(self._status, running=running))

    def _on_call(self, requested: CallRequested) -> None:
        if self._connections.is_blocked(requested.client):
            requested.reply.post(NotAnswered.CUT)
            return
        mode = self._next_call_mode()
        if mode.mode in _FAILURES_BEFORE_RUN:
            requested.reply.post(_FAILURES_BEFORE_RUN[mode.mode])
            return
        ran = CallRan(self._run(requested))
        if mode.mode is ServiceModeName.CUT_AFTER:
            requested.reply.post(NotAnswered.CUT)
        elif mode.mode is ServiceModeName.SLOW:
            due_s = self._clock.now_s() + mode.delay_s
            self._delayed.append(_DelayedReply(due_s, requested, ran))
        else:
            requested.reply.post(ran)

    def _next_call_mode(self) -> ServiceMode:
        mode = self._mode
        if mode.count is None:
            return mode
        if mode.count < 1:
            return ServiceMode()
        self._mode = replace(mode, count=mode.count - 1)
        return mode

    def _run(self, requested: CallRequested) -> int:
        key = _RunKey(requested.call, requested.key or requested.request)
        before = self._runs.get(key)
        count = before.count + 1 if before else 1
        self._runs[key] = RunCount(key.call, key.key, requested.request, count)
        return count

    def _enter(self, mode: ServiceMode) -> None:
        self._mode = mode
        if mode.mode is not ServiceModeName.HANG:
            self._connections.release()

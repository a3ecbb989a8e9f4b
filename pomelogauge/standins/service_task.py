"""The task that owns a stand-in service's state."""

import uuid
from dataclasses import dataclass, replace

from ..model.ids import CallName, Incarnation
from ..tasks.clock import Clock
from .caller_links import CallerLinks
from .service_messages import (
    CallAsked,
    CallRan,
    CutsSet,
    Held,
    ModeSet,
    NotAnswered,
    RecordAsked,
    RunCount,
    ServiceMessage,
    ServiceMode,
    ServiceModeName,
    ServiceStatus,
    StatusAsked,
)

_WITHOUT_A_RUN = {
    ServiceModeName.HANG: NotAnswered.HELD,
    ServiceModeName.CUT_BEFORE: NotAnswered.CUT,
    ServiceModeName.REFUSE: NotAnswered.REFUSED,
}


@dataclass(frozen=True)
class _RunKey:
    call: CallName
    key: str


@dataclass(frozen=True)
class _LateAnswer:
    due_s: float
    asked: CallAsked
    ran: CallRan


class ServiceActor:
    """Runs calls as often as asked and counts them.

    Parameters
    ----------
    name
        Name of the instance.
    capacity
        Calls at once that it reports to bear.
    clock
        Clock of this process.

    """

    def __init__(self, name: str, capacity: int, clock: Clock) -> None:
        """Start without runs."""
        self._clock = clock
        self._status = ServiceStatus(
            instance=name,
            incarnation=Incarnation(uuid.uuid4().hex),
            running=0,
            capacity=capacity,
        )
        self._mode = ServiceMode()
        self._links = CallerLinks()
        self._late: list[_LateAnswer] = []
        self._runs: dict[_RunKey, RunCount] = {}

    def on_start(self) -> None:
        """Have nothing to prepare."""

    def on_message(self, message: ServiceMessage) -> None:
        """Take one message."""
        match message:
            case CallAsked():
                self._on_call(message)
            case Held(connection):
                self._links.hold(connection)
                self._enter(self._mode)
            case ModeSet(mode):
                self._enter(mode)
            case CutsSet(clients):
                self._links.cut(clients)
            case StatusAsked():
                self._on_status(message)
            case RecordAsked(reply):
                reply.post(tuple(self._runs.values()))

    def on_timer(self) -> float | None:
        """Answer the calls whose delay is over."""
        now_s = self._clock.now_s()
        waiting = self._late
        self._late = [one for one in waiting if one.due_s > now_s]
        for late in waiting:
            if late.due_s <= now_s:
                late.asked.reply.post(late.ran)
        dues = [answer.due_s for answer in self._late]
        return min(dues) - now_s if dues else None

    def on_stop(self) -> None:
        """Close the connections that were kept open."""
        self._links.release()

    def _on_status(self, asked: StatusAsked) -> None:
        if self._links.is_cut(asked.client):
            asked.reply.post(NotAnswered.CUT)
        elif self._mode.mode is ServiceModeName.HANG:
            asked.reply.post(NotAnswered.HELD)
        else:
            running = len(self._late)
            asked.reply.post(replace(self._status, running=running))

    def _on_call(self, asked: CallAsked) -> None:
        if self._links.is_cut(asked.client):
            asked.reply.post(NotAnswered.CUT)
            return
        mode = self._spend_mode()
        if mode.mode in _WITHOUT_A_RUN:
            asked.reply.post(_WITHOUT_A_RUN[mode.mode])
            return
        ran = CallRan(self._run(asked))
        if mode.mode is ServiceModeName.CUT_AFTER:
            asked.reply.post(NotAnswered.CUT)
        elif mode.mode is ServiceModeName.SLOW:
            due_s = self._clock.now_s() + mode.delay_s
            self._late.append(_LateAnswer(due_s, asked, ran))
        else:
            asked.reply.post(ran)

    def _spend_mode(self) -> ServiceMode:
        mode = self._mode
        if mode.count is None:
            return mode
        if mode.count < 1:
            return ServiceMode()
        self._mode = replace(mode, count=mode.count - 1)
        return mode

    def _run(self, asked: CallAsked) -> int:
        key = _RunKey(asked.call, asked.key or asked.request)
        before = self._runs.get(key)
        count = before.count + 1 if before else 1
        self._runs[key] = RunCount(key.call, key.key, asked.request, count)
        return count

    def _enter(self, mode: ServiceMode) -> None:
        self._mode = mode
        if mode.mode is not ServiceModeName.HANG:
            self._links.release()

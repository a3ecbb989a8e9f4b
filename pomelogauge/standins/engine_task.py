"""Task that owns the state of a stand-in engine."""

from dataclasses import dataclass

from ..model.ids import InstanceName, RequestId
from ..tasks.clock import Clock
from ..tasks.mailbox import Outbox
from .engine_gate import EngineGate
from .engine_load import LoadHistory, PrefixCache
from .engine_messages import (
    BlockedClientsSet,
    CancelRequested,
    Closing,
    ConnectionHeld,
    EngineMessage,
    EngineMode,
    EngineModeName,
    EngineReport,
    EventsRequested,
    GateDecisionRequested,
    MemberLost,
    ModeSet,
    OrderReceived,
    RecordRequested,
    StatusRequested,
    StreamAccepted,
    StreamEnd,
    StreamEnded,
    StreamRequested,
    TokenIntervalChanged,
    WatchMembers,
)
from .engine_model import (
    Admission,
    EngineLimits,
    EngineModel,
    StaleFencingToken,
)
from .engine_requests import RunningRequests


@dataclass(frozen=True)
class EngineTimes:
    """Simulated times of an engine.

    Parameters
    ----------
    load_s
        Seconds that a load takes.
    token_interval_s
        Seconds between two tokens of a stream.
    load_lag_s
        Seconds by which the reported load lags.

    """

    load_s: float = 0.3
    token_interval_s: float = 0.01
    load_lag_s: float = 0.5


class EngineActor:
    """Owns the state of one engine and decides on admission.

    Parameters
    ----------
    name
        Name of the instance.
    limits
        Capacity of the engine.
    times
        Simulated times.
    clock
        Schedules the end of loads and dates reports.

    """

    def __init__(
        self,
        name: InstanceName,
        limits: EngineLimits,
        times: EngineTimes,
        clock: Clock,
    ) -> None:
        """Start without a replica, in mode ``up``."""
        self._name = name
        self._times = times
        self._clock = clock
        self._model = EngineModel(name, limits)
        self._generation = self._model.generation
        self._history = LoadHistory(times.load_lag_s)
        self._cache = PrefixCache()
        self._requests = RunningRequests()
        self._gate = EngineGate()
        self._watch: Outbox[WatchMembers] | None = None

    def watch_with(self, watch: Outbox[WatchMembers]) -> None:
        """Set the task that polls other members; called before the start."""
        self._watch = watch

    def on_start(self) -> None:
        """Record the first load report."""
        self._apply_changes()

    def on_message(self, message: EngineMessage) -> None:
        """Handle a message from an HTTP thread or the member watch."""
        self._model.tick(self._clock.now_s())
        match message:
            case GateDecisionRequested(client, reply):
                reply.post(self._gate.decide(client))
            case ConnectionHeld(connection):
                self._gate.hold(connection)
            case ModeSet(mode):
                self._enter(mode)
            case BlockedClientsSet(clients):
                self._gate.block(clients)
                self._requests.cut_clients(clients)
            case Closing():
                self.on_stop()
            case StatusRequested(reply):
                reply.post(self._report())
            case OrderReceived():
                self._on_order(message)
            case RecordRequested(reply):
                reply.post(self._requests.record())
            case _:
                self._on_stream_message(message)
        self._apply_changes()

    def on_timer(self) -> float | None:
        """Complete a due load; return the seconds until the next one."""
        now_s = self._clock.now_s()
        self._model.tick(now_s)
        self._apply_changes()
        if self._model.load_due_s is None:
            return None
        return max(self._model.load_due_s - now_s, 0)

    def on_stop(self) -> None:
        """Drop all streams and close held connections."""
        self._requests.cut_all()
        self._gate.close()

    def _on_stream_message(self, message: EngineMessage) -> None:
        match message:
            case StreamRequested():
                self._on_stream(message)
            case StreamEnded():
                self._on_end(message)
            case CancelRequested(request):
                self._on_cancel(request)
            case EventsRequested(after, reply):
                now_s = self._clock.now_s()
                reply.post(self._cache.events(after, now_s))
            case MemberLost(replica, epoch):
                status = self._model.status
                if (replica, epoch) == (status.replica, status.epoch):
                    self._requests.cut_all()

    def _on_order(self, received: OrderReceived) -> None:
        load_s = self._times.load_s * self._gate.factor()
        due_s = self._clock.now_s() + load_s
        outcome = self._model.order(received.order, due_s)
        self._apply_changes()
        if isinstance(outcome, StaleFencingToken):
            received.reply.post(outcome)
        else:
            received.reply.post(self._report())

    def _on_stream(self, requested: StreamRequested) -> None:
        admission = self._model.admit(requested.replica, requested.epoch)
        if admission is Admission.ACCEPTED:
            accepted = StreamAccepted(
                serial=self._requests.add(
                    requested, self._model.status.running
                ),
                incarnation=self._model.status.incarnation,
                interval_s=self._interval_s(),
            )
            self._cache.store(requested.prefix, self._clock.now_s())
            self._watch_members()
            requested.reply.post(accepted)
        elif admission is Admission.FELL_OVER:
            self._requests.overload_crashes += 1
            requested.reply.post(admission)
        else:
            requested.reply.post(admission)

    def _on_end(self, ended: StreamEnded) -> None:
        if self._requests.end(ended):
            completed = ended.record.end is StreamEnd.COMPLETE
            self._model.end(completed=completed)
        self._watch_members()

    def _on_cancel(self, request: RequestId) -> None:
        # Slots are released at once, before the threads have noticed.
        for _ in range(self._requests.cancel(request)):
            self._model.end(completed=False)
        self._watch_members()

    def _enter(self, mode: EngineMode) -> None:
        if mode.mode is EngineModeName.CRASH:
            self._model.crash()
        elif mode.mode is EngineModeName.COLD:
            self._model.reset_warm_up()
        self._gate.enter(mode)
        self._requests.notify_all(TokenIntervalChanged(self._interval_s()))

    def _interval_s(self) -> float | None:
        if self._gate.is_hanging():
            return None
        return self._times.token_interval_s * self._gate.factor()

    def _apply_changes(self) -> None:
        # A new generation means that all running requests were lost.
        if self._generation != self._model.generation:
            self._generation = self._model.generation
            self._requests.drop_all()
            self._cache.clear()
            self._watch_members()
        self._history.record(self._model.status, self._clock.now_s())

    def _watch_members(self) -> None:
        status = self._model.status
        members = self._model.members if status.running else ()
        watched = WatchMembers(
            instance=self._name,
            replica=status.replica,
            epoch=status.epoch,
            members=members,
        )
        if self._watch:
            self._watch.post(watched)

    def _report(self) -> EngineReport:
        now_s = self._clock.now_s()
        return EngineReport(self._model.status, self._history.report(now_s))

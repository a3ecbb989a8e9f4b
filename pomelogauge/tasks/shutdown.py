"""The task that takes a router out of service without cutting a request."""

from dataclasses import dataclass
from enum import StrEnum

from ..decide.shutdown_chart import (
    ShutdownAction,
    ShutdownEvent,
    ShutdownFacts,
    ShutdownState,
)
from ..model.chart import Chart
from ..model.peers import NodePhase
from .clock import Clock
from .mailbox import Outbox
from .messages import PhaseChanged, RunningCount, RunningCountRequested

#: Seconds between two questions whether requests still run.
IDLE_CHECK_S = 0.1

ShutdownChart = Chart[
    ShutdownState,
    ShutdownEvent,
    ShutdownAction,
    ShutdownFacts,
]


@dataclass(frozen=True)
class ShutdownRequested:
    """A signal or an operator asks the process to end."""

    reason: str


class ProcessEnd(StrEnum):
    """How the work of a process ended: all was answered, or some is cut."""

    FINISHED = 'finished'
    CUT = 'cut'


@dataclass(frozen=True)
class ShutdownTimes:
    """Times of a shutdown.

    Parameters
    ----------
    answer_life_s
        Seconds for which callers may keep an answer that names this router.
    limit_s
        Seconds after which the process ends whatever still runs.

    """

    answer_life_s: float
    limit_s: float


@dataclass(frozen=True)
class ShutdownPorts:
    """Whom the shutdown task talks to.

    Parameters
    ----------
    membership
        Learns at once that the router leaves, so that nobody names it.
    dispatcher
        Learns it once the kept answers have lapsed.
    counter
        Answers how many requests run.
    ended
        Is told once the process may end.

    """

    membership: Outbox[PhaseChanged]
    dispatcher: Outbox[PhaseChanged]
    counter: Outbox[RunningCountRequested]
    ended: Outbox[ProcessEnd]


class ShutdownActor:
    """Steps the shutdown chart."""

    def __init__(
        self,
        chart: ShutdownChart,
        times: ShutdownTimes,
        ports: ShutdownPorts,
        clock: Clock,
    ) -> None:
        """Start in the running state."""
        self._chart = chart
        self._times = times
        self._ports = ports
        self._clock = clock
        self._state = chart.initial
        self._asked_at_s = 0.0
        self._own: Outbox[RunningCount] | None = None

    def listen_on(self, own: Outbox[RunningCount]) -> None:
        """Set where answers to this task are left; before the start."""
        self._own = own

    def on_start(self) -> None:
        """Do nothing until a shutdown is asked for."""

    def on_message(self, message: ShutdownRequested | RunningCount) -> None:
        """Take a request to end, or a count of running requests."""
        if isinstance(message, ShutdownRequested):
            self._ask()
        elif message.running == 0:
            self._step(ShutdownEvent.IDLE)

    def on_timer(self) -> float | None:
        """Move on when kept answers lapse or the limit has passed."""
        if self._state in {ShutdownState.RUNNING, ShutdownState.STOPPED}:
            return None
        passed_s = self._clock.now_s() - self._asked_at_s
        if passed_s >= self._times.limit_s:
            self._step(ShutdownEvent.TIME_LIMIT_REACHED)
        elif passed_s >= self._times.answer_life_s:
            self._step(ShutdownEvent.ANSWERS_EXPIRED)
        if self._state is ShutdownState.FINISHING and self._own:
            self._ports.counter.post(RunningCountRequested(self._own))
        return IDLE_CHECK_S

    def on_stop(self) -> None:
        """Own nothing that must be closed."""

    def _ask(self) -> None:
        if self._state is ShutdownState.RUNNING:
            self._asked_at_s = self._clock.now_s()
        self._step(ShutdownEvent.REQUESTED)

    def _step(self, event: ShutdownEvent) -> None:
        move = self._chart.step(self._state, event, ShutdownFacts())
        self._state = move.state
        if move.action is ShutdownAction.ANNOUNCE:
            self._ports.membership.post(PhaseChanged(NodePhase.LEAVING))
        elif move.action is ShutdownAction.REFUSE_NEW:
            self._ports.dispatcher.post(PhaseChanged(NodePhase.LEAVING))
        elif move.action is ShutdownAction.STOP:
            self._ports.ended.post(ProcessEnd.FINISHED)
        elif move.action is ShutdownAction.CUT:
            self._ports.ended.post(ProcessEnd.CUT)

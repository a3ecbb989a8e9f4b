"""The task that shuts a process down after its requests have ended."""

from dataclasses import dataclass
from enum import StrEnum

from ..decide.shutdown_chart import (
    ShutdownAction,
    ShutdownEvent,
    ShutdownFacts,
    ShutdownState,
)
from ..model.chart import Chart
from ..model.phase import NodePhase
from .clock import Clock
from .mailbox import Outbox
from .shutdown_messages import PhaseChanged, RunningCount, RunningCountRequested

#: Seconds between two queries for the number of running requests.
IDLE_CHECK_INTERVAL_S = 0.1

ShutdownChart = Chart[
    ShutdownState,
    ShutdownEvent,
    ShutdownAction,
    ShutdownFacts,
]


@dataclass(frozen=True)
class ShutdownRequested:
    """A signal or an operator requests that the process end."""

    reason: str


class ProcessEnd(StrEnum):
    """Whether all requests had ended when the process ended, or some were cut."""

    FINISHED = 'finished'
    CUT = 'cut'


@dataclass(frozen=True)
class ShutdownTimes:
    """Durations of a shutdown.

    Parameters
    ----------
    answer_life_s
        Seconds for which callers may cache an answer that names this process.
        Until then it accepts new requests.
    limit_s
        Seconds from the request to shut down until the process ends, also
        with requests that still run.

    """

    answer_life_s: float
    limit_s: float


@dataclass(frozen=True)
class ShutdownPorts:
    """Tasks with which the shutdown task exchanges messages.

    Parameters
    ----------
    membership
        Notified at once that the process is leaving, so that it is no longer
        named to callers.
    admission
        Notified once the cached answers have expired; refuses new requests
        from then on.
    counter
        Replies with the number of running requests.
    ended
        Notified once the process may end.

    """

    membership: Outbox[PhaseChanged]
    admission: Outbox[PhaseChanged]
    counter: Outbox[RunningCountRequested]
    ended: Outbox[ProcessEnd]


class ShutdownActor:
    """Carries out the shutdown chart.

    Parameters
    ----------
    chart
        Shutdown chart, bound to its guards and actions.
    times
        Durations of the shutdown.
    ports
        Tasks that take part in the shutdown.
    clock
        Local clock.

    """

    def __init__(
        self,
        chart: ShutdownChart,
        times: ShutdownTimes,
        ports: ShutdownPorts,
        clock: Clock,
    ) -> None:
        """Start in the initial state of the chart, which is running."""
        self._chart = chart
        self._times = times
        self._ports = ports
        self._clock = clock
        self._state = chart.initial
        self._requested_at_s = 0.0
        self._own: Outbox[RunningCount] | None = None

    def listen_on(self, own: Outbox[RunningCount]) -> None:
        """Set the mailbox for replies to this task, before it starts."""
        self._own = own

    def on_start(self) -> None:
        """Do nothing until a shutdown is requested."""

    def on_message(self, message: ShutdownRequested | RunningCount) -> None:
        """Handle a request to shut down or a count of running requests."""
        if isinstance(message, ShutdownRequested):
            self._request_shutdown()
        elif message.running == 0:
            self._step(ShutdownEvent.IDLE)

    def on_timer(self) -> float | None:
        """Proceed when the cached answers expire or the limit is reached.

        Returns
        -------
        float or None
            Seconds until the next check; ``None`` when no shutdown is in
            progress.

        """
        if self._state in {ShutdownState.RUNNING, ShutdownState.STOPPED}:
            return None
        passed_s = self._clock.now_s() - self._requested_at_s
        if passed_s >= self._times.limit_s:
            self._step(ShutdownEvent.TIME_LIMIT_REACHED)
        elif passed_s >= self._times.answer_life_s:
            self._step(ShutdownEvent.ANSWERS_EXPIRED)
        if self._state is ShutdownState.FINISHING and self._own:
            self._ports.counter.post(RunningCountRequested(self._own))
        return IDLE_CHECK_INTERVAL_S

    def on_stop(self) -> None:
        """Do nothing, as nothing has to be closed."""

    def _request_shutdown(self) -> None:
        if self._state is ShutdownState.RUNNING:
            self._requested_at_s = self._clock.now_s()
        self._step(ShutdownEvent.REQUESTED)

    def _step(self, event: ShutdownEvent) -> None:
        move = self._chart.step(self._state, event, ShutdownFacts())
        self._state = move.state
        if move.action is ShutdownAction.ANNOUNCE:
            self._ports.membership.post(PhaseChanged(NodePhase.LEAVING))
        elif move.action is ShutdownAction.REFUSE_NEW:
            self._ports.admission.post(PhaseChanged(NodePhase.LEAVING))
        elif move.action is ShutdownAction.STOP:
            self._ports.ended.post(ProcessEnd.FINISHED)
        elif move.action is ShutdownAction.CUT:
            self._ports.ended.post(ProcessEnd.CUT)

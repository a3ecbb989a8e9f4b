"""The task that gives places on targets to callers' requests."""

from dataclasses import dataclass, field, replace

from ..decide.access import access_of
from ..decide.known_replica import FleetSettings
from ..decide.queue import QueueLimits
from ..decide.routing import Policy
from ..decide.target_warmth import WarmthChart, WarmthRules
from ..model.ids import NodeName
from ..model.manifest import Configuration
from ..model.peers import ExchangeRequest, NodePhase, NodeReport
from ..model.request import RefusalCode, SlotOutcome
from .clock import Clock
from .confirmed_phase import ConfirmedPhase
from .fleet import Fleet
from .mailbox import Outbox
from .messages import (
    ConfigurationInForce,
    DemandRequested,
    ExchangeDone,
    ExchangeExpedited,
    IncarnationObserved,
    InstancesListed,
    PhaseChanged,
    ReleaseSlot,
    RequestServiceSlot,
    RequestSlot,
    RunningCount,
    RunningCountRequested,
    VersionConfirmed,
    WithdrawRequest,
)
from .model_allocator import ModelAllocator
from .published import Published
from .router_state import RouterState
from .service_allocator import ServiceAllocator
from .service_fleet import ServiceFleet

DispatcherMessage = (
    RequestSlot
    | RequestServiceSlot
    | ConfigurationInForce
    | DemandRequested
    | ExchangeDone
    | WithdrawRequest
    | ReleaseSlot
    | IncarnationObserved
    | InstancesListed
    | PhaseChanged
    | RunningCountRequested
    | VersionConfirmed
)


@dataclass(frozen=True)
class DispatcherSettings:
    """Settings of the dispatcher.

    Parameters
    ----------
    own
        Report of this router; version, phase and sequence are filled in.
    fleet
        Dealings with replicas.
    limits
        Bounds of the queue.

    """

    own: NodeReport
    fleet: FleetSettings = field(default_factory=FleetSettings)
    limits: QueueLimits = field(default_factory=QueueLimits)


class Dispatcher:
    """Answers each ask once, by a place or a truthful refusal.

    Parameters
    ----------
    cfg
        Settings.
    clock
        Own clock.
    policy
        Chooses among replicas.
    chart
        Bound warmth chart.
    published
        Where callers' tasks read the router's state.
    exchanges
        Hastened when a request begins to wait.

    """

    def __init__(
        self,
        cfg: DispatcherSettings,
        clock: Clock,
        policy: Policy,
        chart: WarmthChart,
        published: Published[RouterState],
        exchanges: Outbox[ExchangeExpedited],
    ) -> None:
        """Start with nothing known and nothing admitted."""
        self._own = cfg.own
        self._clock = clock
        self._published = published
        self._fleet = Fleet(cfg.fleet, WarmthRules(chart))
        self._models = ModelAllocator(
            cfg.limits, self._fleet, policy, published
        )
        services = ServiceFleet(cfg.own.data_centre, cfg.fleet.suspect_s)
        self._services = ServiceAllocator(services, cfg.limits.retry_after_s)
        self._phase = ConfirmedPhase()
        self._exchanges = exchanges
        self._sequence = 0
        self._last_asks: dict[NodeName, int] = {}

    def on_start(self) -> None:
        """Wait for the configuration and for views."""

    def on_stop(self) -> None:
        """Refuse whatever still waits."""
        self._models.refuse_all()

    def on_timer(self) -> float | None:
        """Refuse what is out of time and place what can be placed."""
        now_s = self._clock.now_s()
        self._refresh_phase(now_s)
        self._models.process_due(now_s)
        return self._models.next_due_s(now_s)

    def on_message(self, message: DispatcherMessage) -> None:
        """Take one message."""
        now_s = self._clock.now_s()
        self._refresh_phase(now_s)
        match message:
            case RequestSlot():
                self._admit(message, now_s)
            case ReleaseSlot():
                self._models.release(message.request, message.end, now_s)
                self._services.release(message.request, message.end, now_s)
            case RequestServiceSlot():
                state = self._published.latest()
                self._services.allocate(message, state, now_s)
            case WithdrawRequest():
                self._models.cancel(message.request, now_s)
                self._services.release(
                    message.request, SlotOutcome.CANCELLED, now_s
                )
            case DemandRequested():
                message.reply.post(self._demand(message.controller, now_s))
            case RunningCountRequested():
                message.reply.post(RunningCount(self._running()))
            case _:
                self._learn(message, now_s)

    def _learn(self, message: DispatcherMessage, now_s: float) -> None:
        """Take news of the world; it may make room for who waits."""
        match message:
            case ExchangeDone():
                self._take_answer(message, now_s)
            case ConfigurationInForce():
                self._take_configuration(message.configuration)
            case InstancesListed():
                self._take_instances(message)
            case IncarnationObserved():
                self._fleet.record_incarnation(
                    message.replica, message.incarnation
                )
            case PhaseChanged():
                self._phase.set_phase(message.phase)
            case VersionConfirmed():
                self._phase.set_confirmed_until(message.until_s)
        self._refresh_phase(now_s)
        self._models.assign_waiting(now_s)

    def _admit(self, slot_request: RequestSlot, now_s: float) -> None:
        """Admit a request; the first that waits hastens the exchanges."""
        was_idle = not self._models.waiting_count()
        self._models.admit(slot_request, now_s)
        if was_idle and self._models.waiting_count():
            self._exchanges.post(ExchangeExpedited())

    def _take_answer(self, done: ExchangeDone, now_s: float) -> None:
        # The controller counts with what the newest ask said that is held.
        # An answer to an older one could add to that.
        if done.sequence == self._last_asks.get(done.controller, 0):
            self._fleet.take_answer(done, now_s)

    def _take_configuration(self, configuration: Configuration) -> None:
        state = self._published.latest()
        if configuration.version <= state.configuration.version:
            return
        access = access_of(configuration)
        self._published.publish(replace(state, access=access))
        self._models.recheck_queue()

    def _take_instances(self, listed: InstancesListed) -> None:
        self._services.fleet.set_instances(listed.instances)
        leaving = frozenset(
            instance.name for instance in listed.instances if instance.leaving
        )
        self._fleet.set_leaving(leaving)

    def _refresh_phase(self, now_s: float) -> None:
        state = self._published.latest()
        phase = self._phase.phase_at(now_s)
        if phase is state.phase:
            return
        self._published.publish(replace(state, phase=phase))
        if phase is NodePhase.CUT_OFF:
            # Who waits would be placed by a version that may be old.
            self._models.refuse_all(
                RefusalCode.CUT_OFF, 'this entry is cut off'
            )

    def _running(self) -> int:
        demands = tuple(self._models.demands())
        placed = sum(demand.running for demand in demands)
        waiting = sum(demand.waiting for demand in demands)
        return placed + waiting + self._services.running()

    def _demand(self, controller: NodeName, now_s: float) -> ExchangeRequest:
        state = self._published.latest()
        self._sequence += 1
        self._last_asks[controller] = self._sequence
        sender = replace(
            self._own,
            sequence=self._sequence,
            version=state.configuration.version,
            phase=state.phase,
        )
        uses = tuple(self._fleet.uses(now_s))
        demands = tuple(self._models.demands())
        return ExchangeRequest(sender, demands, uses, self._fleet.suspects())

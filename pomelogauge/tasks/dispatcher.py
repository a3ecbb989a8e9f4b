"""The task that grants callers' requests slots on targets."""

from dataclasses import dataclass, field, replace

from ..decide.access import access_of
from ..decide.known_replica import FleetSettings
from ..decide.queue import QueueLimits
from ..decide.routing import Policy
from ..decide.target_warmth import WarmthChart, WarmthRules
from ..model.ids import NodeName
from ..model.manifest import Configuration
from ..model.peers import ExchangeRequest, NodeReport
from ..model.phase import NodePhase
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
    ReleaseSlot,
    RequestServiceSlot,
    RequestSlot,
    VersionConfirmed,
    WithdrawRequest,
)
from .model_allocator import ModelAllocator
from .published import Published
from .router_state import RouterState
from .service_allocator import ServiceAllocator
from .service_fleet import ServiceFleet
from .shutdown_messages import PhaseChanged, RunningCount, RunningCountRequested

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
        Report of this router for controllers; version, phase and sequence
        are filled in each time.
    fleet
        Rules for the use of replicas.
    limits
        Limits of the queue.

    """

    own: NodeReport
    fleet: FleetSettings = field(default_factory=FleetSettings)
    limits: QueueLimits = field(default_factory=QueueLimits)


class Dispatcher:
    """Answers each request for a slot exactly once, by a slot or a refusal.

    Parameters
    ----------
    cfg
        Settings.
    clock
        Local clock.
    policy
        Chooses a replica among the candidates.
    chart
        Warmth chart, bound to its guards and actions.
    published
        State of the router, published for the callers' tasks.
    exchanges
        Notified when requests begin to wait, so that exchanges with the
        controllers are expedited.

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
        """Start without a configuration, replicas or requests."""
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
        self._last_sequences: dict[NodeName, int] = {}

    def on_start(self) -> None:
        """Do nothing until the configuration and views arrive."""

    def on_stop(self) -> None:
        """Refuse all requests that still wait."""
        self._models.refuse_all()

    def on_timer(self) -> float | None:
        """Refuse requests past their deadline and grant slots again.

        Returns
        -------
        float or None
            Seconds until the next deadline or the end of a back-off; ``None``
            when no request waits.

        """
        now_s = self._clock.now_s()
        self._refresh_phase(now_s)
        self._models.process_due(now_s)
        return self._models.next_due_s(now_s)

    def on_message(self, message: DispatcherMessage) -> None:
        """Handle one message."""
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
                self._apply(message, now_s)

    def _apply(self, message: DispatcherMessage, now_s: float) -> None:
        """Apply a change outside the queue; it may free slots for it."""
        match message:
            case ExchangeDone():
                self._apply_answer(message, now_s)
            case ConfigurationInForce():
                self._apply_configuration(message.configuration)
            case InstancesListed():
                self._apply_instances(message)
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
        """Admit a request; expedite the exchanges if it is the first to wait."""
        was_idle = not self._models.waiting_count()
        self._models.admit(slot_request, now_s)
        if was_idle and self._models.waiting_count():
            self._exchanges.post(ExchangeExpedited())

    def _apply_answer(self, done: ExchangeDone, now_s: float) -> None:
        # The controller plans with the slots that the newest request reported
        # as held. Grants that answer an older request could exceed them.
        if done.sequence == self._last_sequences.get(done.controller, 0):
            self._fleet.apply_answer(done, now_s)

    def _apply_configuration(self, configuration: Configuration) -> None:
        state = self._published.latest()
        if configuration.version <= state.configuration.version:
            return
        access = access_of(configuration)
        self._published.publish(replace(state, access=access))
        self._models.recheck_queue()

    def _apply_instances(self, listed: InstancesListed) -> None:
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
            # Waiting requests would get slots by a configuration that may be
            # outdated.
            self._models.refuse_all(
                RefusalCode.CUT_OFF,
                'this router is cut off and cannot confirm its configuration',
            )

    def _running(self) -> int:
        demands = tuple(self._models.demands())
        running = sum(demand.running for demand in demands)
        waiting = sum(demand.waiting for demand in demands)
        return running + waiting + self._services.running()

    def _demand(self, controller: NodeName, now_s: float) -> ExchangeRequest:
        state = self._published.latest()
        self._sequence += 1
        self._last_sequences[controller] = self._sequence
        sender = replace(
            self._own,
            sequence=self._sequence,
            version=state.configuration.version,
            phase=state.phase,
        )
        uses = tuple(self._fleet.uses(now_s))
        demands = tuple(self._models.demands())
        return ExchangeRequest(sender, demands, uses, self._fleet.suspects())

"""The task that exchanges demand for views and grants with one controller."""

import logging
from dataclasses import dataclass

from returns.result import Failure

from ..model.ids import Address, NodeName
from ..model.peers import ExchangeRequest
from .clock import Clock
from .links import PeerLinks
from .mailbox import Mailbox, Outbox
from .messages import DemandRequested, ExchangeDone, ExchangeExpedited

_log = logging.getLogger(__name__)


@dataclass(frozen=True)
class ExchangeSettings:
    """Settings of the exchange with controllers.

    Parameters
    ----------
    exchange_interval_s
        Seconds between two exchanges with one controller.
    hastened_interval_s
        The same while requests wait without room.
    demand_timeout_s
        Seconds for which the dispatcher may take to say its demand.
    peer_life_s
        Age of a controller's report at which its exchange ends.

    """

    exchange_interval_s: float = 0.25
    hastened_interval_s: float = 0.05
    demand_timeout_s: float = 1
    peer_life_s: float = 10


class Exchange:
    """Talks with one controller and owns the link to it.

    Parameters
    ----------
    cfg
        Settings.
    controller, address
        Node asked and its gRPC interface.
    clock
        Own clock.
    links
        Calls to peers.
    dispatcher
        Says the demand and takes the answers.

    """

    def __init__(
        self,
        cfg: ExchangeSettings,
        controller: NodeName,
        address: Address,
        clock: Clock,
        links: PeerLinks,
        dispatcher: Outbox[DemandRequested | ExchangeDone],
    ) -> None:
        """Exchange at once after the start."""
        self._cfg = cfg
        self._controller = controller
        self._address = address
        self._clock = clock
        self._links = links
        self._dispatcher = dispatcher
        self._due_at_s = clock.now_s()
        self._begun_at_s = float('-inf')

    def on_start(self) -> None:
        """Own nothing that has to be opened."""

    def on_stop(self) -> None:
        """Say that the controller answers no more."""
        now_s = self._clock.now_s()
        self._dispatcher.post(ExchangeDone(self._controller, now_s, None))

    def on_message(self, message: ExchangeExpedited) -> None:
        """Exchange sooner, but not at any rate."""
        soonest_s = self._begun_at_s + self._cfg.hastened_interval_s
        self._due_at_s = min(self._due_at_s, soonest_s)

    def on_timer(self) -> float | None:
        """Exchange when due."""
        now_s = self._clock.now_s()
        if now_s >= self._due_at_s:
            self._begun_at_s = now_s
            self._exchange()
            self._due_at_s = now_s + self._cfg.exchange_interval_s
        return max(self._due_at_s - self._clock.now_s(), 0)

    def _exchange(self) -> None:
        demand = self._demand()
        if demand is None:
            return
        requested_at_s = self._clock.now_s()
        answer = self._links.exchange(self._address, demand)
        if isinstance(answer, Failure):
            _log.info(
                'exchange: %s did not answer: %s',
                self._controller,
                answer.failure().message,
            )
        self._dispatcher.post(
            ExchangeDone(
                self._controller,
                requested_at_s,
                answer.value_or(None),
                demand.sender.sequence,
            )
        )

    def _demand(self) -> ExchangeRequest | None:
        reply: Mailbox[ExchangeRequest] = Mailbox()
        self._dispatcher.post(DemandRequested(reply, self._controller))
        return reply.take(self._cfg.demand_timeout_s)

"""The task that exchanges demand for grants with one controller."""

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
        Shortest interval in seconds while requests wait for a slot.
    demand_timeout_s
        Longest wait in seconds for the dispatcher's demand; after it the
        exchange is left out until the next interval.
    peer_life_s
        Age in seconds of a controller's report at which the exchange with
        it ends.

    """

    exchange_interval_s: float = 0.25
    hastened_interval_s: float = 0.05
    demand_timeout_s: float = 1
    peer_life_s: float = 10


class Exchange:
    """Reports demand to one controller and passes on its answers.

    It owns the connection to the controller.

    Parameters
    ----------
    cfg
        Settings.
    controller, address
        The controller and the address of its gRPC interface.
    clock
        Local clock.
    links
        Calls to peers.
    dispatcher
        Replies with the demand and receives the answers.

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
        """Schedule the first exchange at once."""
        self._cfg = cfg
        self._controller = controller
        self._address = address
        self._clock = clock
        self._links = links
        self._dispatcher = dispatcher
        self._due_at_s = clock.now_s()
        self._begun_at_s = float('-inf')

    def on_start(self) -> None:
        """Do nothing, as nothing has to be opened."""

    def on_stop(self) -> None:
        """Report the controller as unanswering, as no exchange will follow."""
        now_s = self._clock.now_s()
        self._dispatcher.post(ExchangeDone(self._controller, now_s, None))

    def on_message(self, message: ExchangeExpedited) -> None:
        """Bring the next exchange forward, within the expedited interval."""
        soonest_s = self._begun_at_s + self._cfg.hastened_interval_s
        self._due_at_s = min(self._due_at_s, soonest_s)

    def on_timer(self) -> float | None:
        """Carry out the exchange when it is due.

        Returns
        -------
        float or None
            Seconds until the next exchange.

        """
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
                'exchange: controller %s did not answer: %s',
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

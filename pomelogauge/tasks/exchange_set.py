"""The task that keeps one exchange task for each live controller."""

from dataclasses import dataclass
from typing import Protocol

from ..model.ids import Address, NodeName
from ..model.peers import PeerView
from ..model.topology import InstanceRole
from .exchange import Exchange, ExchangeSettings
from .messages import ExchangeExpedited, PeersChanged
from .task import Task


class RunningTask(Protocol):
    """The task of one exchange, as the set uses it."""

    def start(self) -> None:
        """Start the task."""

    def post(self, message: ExchangeExpedited) -> None:
        """Queue a message for the exchange."""

    def stop(self, timeout_s: float | None = None) -> None:
        """Ask the task to end and wait up to the time-out in seconds."""


class ExchangeFactory(Protocol):
    """Creates the exchange with one controller."""

    def __call__(self, controller: NodeName, address: Address) -> Exchange:
        """Return the actor; its task is not created yet."""


class TaskFactory(Protocol):
    """Creates the task that runs an exchange."""

    def __call__(self, name: str, actor: Exchange) -> RunningTask:
        """Return the task, not yet started."""


@dataclass(frozen=True)
class _Running:
    """The task of an exchange and the address of its controller."""

    address: Address
    task: RunningTask


class ExchangeSet:
    """Starts and stops exchange tasks as controllers come and go.

    Parameters
    ----------
    cfg
        Settings.
    make_exchange
        Creates the exchange with one controller.
    make_task
        Creates the task that runs an exchange.

    """

    def __init__(
        self,
        cfg: ExchangeSettings,
        make_exchange: ExchangeFactory,
        make_task: TaskFactory = Task,
    ) -> None:
        """Start without exchanges."""
        self._cfg = cfg
        self._make_exchange = make_exchange
        self._make_task = make_task
        self._running: dict[NodeName, _Running] = {}

    def on_start(self) -> None:
        """Do nothing until peers are reported."""

    # No work is ever due, but the protocol type needs an explicit value.
    def on_timer(self) -> float | None:  # noqa: WPS324
        """Return ``None``, as only messages bring work."""
        return None  # noqa: WPS324

    def on_message(self, message: PeersChanged | ExchangeExpedited) -> None:
        """Follow the live controllers or expedite all exchanges."""
        match message:
            case PeersChanged():
                self._reconcile(message)
            case ExchangeExpedited():
                for running in self._running.values():
                    running.task.post(message)

    def on_stop(self) -> None:
        """End all exchanges."""
        for node in tuple(self._running):
            self._end(node)

    def _reconcile(self, message: PeersChanged) -> None:
        """Run one exchange with each live controller, at its address."""
        wanted = {
            peer.report.node: peer.report.peer_address
            for peer in message.peers
            if self._is_wanted(peer)
        }
        for node, running in tuple(self._running.items()):
            if wanted.get(node) != running.address:
                self._end(node)
        for node, address in wanted.items():
            if node not in self._running:
                self._begin(node, address)

    def _is_wanted(self, peer: PeerView) -> bool:
        is_controller = peer.report.role is InstanceRole.CONTROLLER
        return is_controller and peer.age_s < self._cfg.peer_life_s

    def _begin(self, node: NodeName, address: Address) -> None:
        exchange = self._make_exchange(node, address)
        task = self._make_task(f'exchange-{node}', exchange)
        self._running[node] = _Running(address, task)
        task.start()

    def _end(self, node: NodeName) -> None:
        # A call to a dead controller may block its task until the call's
        # deadline. Waiting for it would delay the other exchanges.
        self._running.pop(node).task.stop(0)

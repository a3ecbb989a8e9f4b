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
    """What the set needs of a task."""

    def start(self) -> None:
        """Start the task."""

    def post(self, message: ExchangeExpedited) -> None:
        """Leave a message for the exchange."""

    def stop(self, timeout_s: float | None = None) -> None:
        """Ask the task to end and wait for it."""


class ExchangeFactory(Protocol):
    """Makes the exchange with one controller."""

    def __call__(self, controller: NodeName, address: Address) -> Exchange:
        """Return an actor that is not started."""


class TaskFactory(Protocol):
    """Makes the task that runs an exchange."""

    def __call__(self, name: str, actor: Exchange) -> RunningTask:
        """Return a task that is not started."""


@dataclass(frozen=True)
class _Running:
    """An exchange that runs."""

    address: Address
    task: RunningTask


class ExchangeSet:
    """Starts and stops exchange tasks as controllers come and go.

    Parameters
    ----------
    cfg
        Settings.
    make_exchange
        Makes the exchange with one controller.
    make_task
        Makes the task that runs it.

    """

    def __init__(
        self,
        cfg: ExchangeSettings,
        make_exchange: ExchangeFactory,
        make_task: TaskFactory = Task,
    ) -> None:
        """Run no exchange yet."""
        self._cfg = cfg
        self._make_exchange = make_exchange
        self._make_task = make_task
        self._running: dict[NodeName, _Running] = {}

    def on_start(self) -> None:
        """Wait for peers."""

    # Nothing is ever due; the type asks for an explicit answer.
    def on_timer(self) -> float | None:  # noqa: WPS324
        """Have nothing due."""
        return None  # noqa: WPS324

    def on_message(self, message: PeersChanged | ExchangeExpedited) -> None:
        """Follow the live controllers, and hasten all exchanges."""
        match message:
            case PeersChanged():
                self._follow(message)
            case ExchangeExpedited():
                for running in self._running.values():
                    running.task.post(message)

    def on_stop(self) -> None:
        """End all exchanges."""
        for node in tuple(self._running):
            self._end(node)

    def _follow(self, message: PeersChanged) -> None:
        """Bring the tasks in line with the live controllers."""
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
        # A call to a dead controller may hold its task until the deadline
        # of the link, which must not hold up the others.
        self._running.pop(node).task.stop(0)

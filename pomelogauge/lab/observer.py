"""Tasks that read an installation all the time, for the record."""

from collections.abc import Callable
from dataclasses import dataclass

from ..model.ids import Address
from ..tasks.task import Task
from .readings import EngineReader, NodeReader, RowReader
from .recorder import Recorder

#: Seconds between two readings of one kind.
READ_INTERVAL_S = 0.2


@dataclass(frozen=True)
class AddressesChanged:
    """The processes to be read from now on."""

    addresses: tuple[Address, ...]


class EngineObserver:
    """Reads engines in turn."""

    def __init__(self, recorder: Recorder) -> None:
        """Start without engines."""
        self._reader = EngineReader(recorder)
        self._addresses: tuple[Address, ...] = ()

    def on_start(self) -> None:
        """Do nothing yet."""

    def on_message(self, message: AddressesChanged) -> None:
        """Read other engines."""
        self._addresses = message.addresses

    def on_timer(self) -> float:
        """Read all engines."""
        self._reader.read(self._addresses)
        return READ_INTERVAL_S

    def on_stop(self) -> None:
        """Close the connections."""
        self._reader.close()


class NodeObserver:
    """Reads routers and controllers in turn."""

    def __init__(self, recorder: Recorder) -> None:
        """Start without processes."""
        self._reader = NodeReader(recorder)
        self._addresses: tuple[Address, ...] = ()

    def on_start(self) -> None:
        """Do nothing yet."""

    def on_message(self, message: AddressesChanged) -> None:
        """Read other processes."""
        self._addresses = message.addresses

    def on_timer(self) -> float:
        """Read all processes."""
        self._reader.read(self._addresses)
        return READ_INTERVAL_S

    def on_stop(self) -> None:
        """Close the channels."""
        self._reader.close()


class RowObserver:
    """Reads the tables of replicas and leases."""

    def __init__(self, recorder: Recorder, platform: Address) -> None:
        """Read from this platform."""
        self._reader = RowReader(recorder, platform)

    def on_start(self) -> None:
        """Do nothing yet."""

    def on_message(self, message: AddressesChanged) -> None:
        """Go on; the platform stays where it is."""

    def on_timer(self) -> float:
        """Read three tables."""
        self._reader.members()
        self._reader.replicas()
        self._reader.leases()
        return READ_INTERVAL_S

    def on_stop(self) -> None:
        """Close nothing; the connections end with the tool."""


class Observers:
    """The three tasks of one run."""

    def __init__(self, recorder: Recorder, platform: Address) -> None:
        """Start nothing yet."""
        self._engines = Task('engines', EngineObserver(recorder))
        self._nodes = Task('nodes', NodeObserver(recorder))
        self._rows = Task('rows', RowObserver(recorder, platform))

    def start(self) -> None:
        """Start reading."""
        self._each(lambda task: task.start())

    def watch(
        self,
        engines: tuple[Address, ...],
        nodes: tuple[Address, ...],
    ) -> None:
        """Read these processes from now on."""
        self._engines.post(AddressesChanged(engines))
        self._nodes.post(AddressesChanged(nodes))

    def stop(self) -> None:
        """End reading and wait for the last one."""
        self._each(lambda task: task.stop())

    def _each(self, do: 'Callable[[Task[AddressesChanged]], None]') -> None:
        for task in (self._engines, self._nodes, self._rows):
            do(task)

"""The watches of a shard's owner and what they have reported."""

from collections.abc import Iterable
from dataclasses import dataclass

from ..decide.sightings import Sighting, after_poll
from ..model.ids import InstanceName
from ..model.topology import Instance
from .control_messages import EngineSeen, WatchTask, WatchTasks
from .mailbox import Outbox


@dataclass(frozen=True)
class _Watch:
    """A started watch."""

    instance: Instance
    task: WatchTask


class EngineWatches:
    """Starts and stops watches; part of the owner's task."""

    def __init__(self, tasks: WatchTasks) -> None:
        """Watch nothing yet."""
        self.sightings: dict[InstanceName, Sighting] = {}
        self._tasks = tasks
        self._watches: dict[InstanceName, _Watch] = {}

    def take(self, seen: EngineSeen) -> None:
        """Take the outcome of a poll."""
        if seen.instance not in self._watches:
            return
        self.sightings[seen.instance] = after_poll(
            self.sightings.get(seen.instance, Sighting()),
            seen.status,
            seen.seen_at_s,
        )

    def adjust(
        self,
        wanted: Iterable[Instance],
        outbox: Outbox[EngineSeen],
    ) -> None:
        """Watch just these instances."""
        targets = {instance.name: instance for instance in wanted}
        for name, watch in tuple(self._watches.items()):
            target = targets.get(name)
            if not target or target.address != watch.instance.address:
                self._stop(name)
        for name, instance in targets.items():
            if name not in self._watches:
                task = self._tasks.start(instance, outbox)
                self._watches[name] = _Watch(instance, task)

    def stop(self) -> None:
        """End all watches."""
        for name in tuple(self._watches):
            self._stop(name)

    def _stop(self, name: InstanceName) -> None:
        self._watches.pop(name).task.stop(0)
        self.sightings.pop(name, None)

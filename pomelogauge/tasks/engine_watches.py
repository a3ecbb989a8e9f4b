"""The engine tasks of a shard's owner and what they have reported."""

from collections.abc import Iterable
from dataclasses import dataclass

from ..decide.engine_observation import EngineObservation, after_poll, suspect
from ..model.ids import InstanceName
from ..model.times import ControlTimes
from ..model.topology import Instance
from .control_messages import (
    EngineObserved,
    EngineWatchStarter,
    PollNow,
    SendOrder,
    WatchReport,
    WatchTask,
)
from .mailbox import Outbox


@dataclass(frozen=True)
class _Watch:
    """A started task."""

    instance: Instance
    task: WatchTask


class EngineWatches:
    """Starts and stops the tasks of engines; part of the owner's task.

    Parameters
    ----------
    tasks
        Starts them.
    times
        Periods.

    """

    def __init__(self, tasks: EngineWatchStarter, times: ControlTimes) -> None:
        """Watch nothing yet."""
        self.observations: dict[InstanceName, EngineObservation] = {}
        self._tasks = tasks
        self._times = times
        self._watches: dict[InstanceName, _Watch] = {}
        self._ordered: set[InstanceName] = set()

    def take(self, seen: EngineObserved) -> None:
        """Take the outcome of a poll."""
        if seen.instance not in self._watches:
            return
        self.observations[seen.instance] = after_poll(
            self.observations.get(seen.instance, EngineObservation()),
            seen.status,
            seen.observed_at_s,
            refused=seen.refused,
        )
        if seen.refused:
            # A second refusal settles the loss; it need not wait a period.
            self._hurry(seen.instance)

    def suspect(self, instance: InstanceName, now_s: float) -> None:
        """Poll an engine at once on which a router lost a request."""
        before = self.observations.get(instance, EngineObservation())
        since_s = now_s - before.suspected_at_s
        is_known = instance in self._watches
        if not is_known or since_s < self._times.watch_interval_s:
            return
        self.observations[instance] = suspect(before, now_s)
        self._hurry(instance)

    def send(self, instance: InstanceName, order: SendOrder) -> bool:
        """Hand an order to an engine's task; say whether there is one."""
        watch = self._watches.get(instance)
        if watch is None:
            return False
        watch.task.post(order)
        self._ordered.add(instance)
        return True

    def note_order_ended(self, instance: InstanceName) -> None:
        """Note that an engine's task has sent its order."""
        self._ordered.discard(instance)

    def adjust(
        self,
        wanted: Iterable[Instance],
        outbox: Outbox[WatchReport],
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
        """End all tasks, and wait for those that may be sending an order."""
        tasks = [self._watches[name].task for name in self._ordered]
        for name in tuple(self._watches):
            self._stop(name)
        for task in tasks:
            task.stop(self._times.order_life_s)

    def _hurry(self, instance: InstanceName) -> None:
        observation = self.observations[instance]
        if instance in self._watches and observation.failures < 2:
            self._watches[instance].task.post(PollNow())

    def _stop(self, name: InstanceName) -> None:
        self._watches.pop(name).task.stop(0)
        self._ordered.discard(name)
        self.observations.pop(name, None)

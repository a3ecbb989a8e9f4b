"""The tasks that watch a shard's engines, and what they have reported."""

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
    """A running task and the engine that it watches."""

    instance: Instance
    task: WatchTask


class EngineWatches:
    """Starts and stops the tasks of engines; part of the shard owner's task.

    Parameters
    ----------
    tasks
        Starts the tasks.
    times
        Watch interval and life of an order.

    """

    def __init__(self, tasks: EngineWatchStarter, times: ControlTimes) -> None:
        """Watch no engine yet."""
        #: Newest observation of each watched engine that has been polled.
        self.observations: dict[InstanceName, EngineObservation] = {}
        self._tasks = tasks
        self._times = times
        self._watches: dict[InstanceName, _Watch] = {}
        self._ordered: set[InstanceName] = set()

    def record_poll(self, poll: EngineObserved) -> None:
        """Record the result of a poll; ignored if the engine is not watched."""
        if poll.instance not in self._watches:
            return
        self.observations[poll.instance] = after_poll(
            self.observations.get(poll.instance, EngineObservation()),
            poll.status,
            poll.observed_at_s,
            refused=poll.refused,
        )
        if poll.refused:
            # A second refusal in a row proves that the engine is lost; poll at
            # once instead of after a watch interval.
            self._poll_now(poll.instance)

    def suspect(self, instance: InstanceName, now_s: float) -> None:
        """Poll an engine at once after a router lost a request to it.

        At most one suspicion per watch interval counts.
        """
        before = self.observations.get(instance, EngineObservation())
        since_s = now_s - before.suspected_at_s
        is_known = instance in self._watches
        if not is_known or since_s < self._times.watch_interval_s:
            return
        self.observations[instance] = suspect(before, now_s)
        self._poll_now(instance)

    def send(self, instance: InstanceName, order: SendOrder) -> bool:
        """Queue an order for an engine; false if the engine is not watched."""
        watch = self._watches.get(instance)
        if watch is None:
            return False
        watch.task.post(order)
        self._ordered.add(instance)
        return True

    def note_order_ended(self, instance: InstanceName) -> None:
        """Record that an engine's order has been answered or has timed out."""
        self._ordered.discard(instance)

    def adjust(
        self,
        wanted: Iterable[Instance],
        outbox: Outbox[WatchReport],
    ) -> None:
        """Start and stop tasks so that exactly these engines are watched.

        An engine whose address has changed gets a new task.
        """
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
        """Stop all tasks, and wait for those that may be sending an order."""
        tasks = [self._watches[name].task for name in self._ordered]
        for name in tuple(self._watches):
            self._stop(name)
        for task in tasks:
            task.stop(self._times.order_life_s)

    def _poll_now(self, instance: InstanceName) -> None:
        observation = self.observations[instance]
        if instance in self._watches and observation.failures < 2:
            self._watches[instance].task.post(PollNow())

    def _stop(self, name: InstanceName) -> None:
        self._watches.pop(name).task.stop(0)
        self._ordered.discard(name)
        self.observations.pop(name, None)

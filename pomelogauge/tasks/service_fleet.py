"""Instances of plain services as one router knows them."""

from collections import Counter

from ..model.ids import Address, DataCentreName, InstanceName, ServiceName
from ..model.topology import Instance, InstanceRole


class ServiceFleet:
    """Instances and own calls on them; state of the dispatcher's task.

    Parameters
    ----------
    data_centre
        Where the router stands.
    suspect_s
        Seconds without new calls after an instance was lost.

    """

    def __init__(self, data_centre: DataCentreName, suspect_s: float) -> None:
        """Know no instance yet."""
        self._data_centre = data_centre
        self._suspect_s = suspect_s
        self._instances: tuple[Instance, ...] = ()
        self._running: Counter[InstanceName] = Counter()
        self._held_until_s: dict[InstanceName, float] = {}

    def set_instances(self, instances: tuple[Instance, ...]) -> None:
        """Take the platform's list."""
        self._instances = tuple(
            instance
            for instance in instances
            if instance.role is InstanceRole.SERVICE
        )
        names = {instance.name for instance in self._instances}
        self._held_until_s = {
            name: until_s
            for name, until_s in self._held_until_s.items()
            if name in names
        }

    def choose(
        self,
        service: ServiceName,
        drained: tuple[DataCentreName, ...],
        avoid: tuple[Address, ...],
        now_s: float,
    ) -> Instance | None:
        """Return the instance with the fewest own calls."""
        usable = [
            instance
            for instance in self._instances
            if instance.service == service
            and not instance.leaving
            and instance.data_centre not in drained
            and instance.address not in avoid
        ]
        trusted = [
            instance
            for instance in usable
            if self._held_until_s.get(instance.name, now_s) <= now_s
        ]
        # A suspect is better than a refusal when nothing else is left.
        return min(trusted or usable, key=self._rank, default=None)

    def record_sent(self, name: InstanceName) -> None:
        """Count a call as sent."""
        self._running[name] += 1

    def record_ended(self, name: InstanceName) -> None:
        """Count a call no longer."""
        self._running[name] -= 1
        if self._running[name] <= 0:
            self._running.pop(name)

    def record_lost(self, name: InstanceName, now_s: float) -> None:
        """Prefer other instances for a while."""
        self._held_until_s[name] = now_s + self._suspect_s

    def _rank(self, instance: Instance) -> tuple[int, bool, str]:
        is_far = instance.data_centre != self._data_centre
        return (self._running[instance.name], is_far, instance.name)

"""State of the instances of services as one router knows it."""

from collections import Counter

from ..model.ids import Address, DataCentreName, InstanceName, ServiceName
from ..model.topology import Instance, InstanceRole


class ServiceFleet:
    """Instances and this router's calls; state of the dispatcher's task.

    Parameters
    ----------
    data_centre
        Data centre of the router.
    suspect_s
        Seconds for which an instance that lost a call is avoided.

    """

    def __init__(self, data_centre: DataCentreName, suspect_s: float) -> None:
        """Start without instances."""
        self._data_centre = data_centre
        self._suspect_s = suspect_s
        self._instances: tuple[Instance, ...] = ()
        self._running: Counter[InstanceName] = Counter()
        self._suspected_until_s: dict[InstanceName, float] = {}

    def set_instances(self, instances: tuple[Instance, ...]) -> None:
        """Replace the instances by the services in the platform's list."""
        self._instances = tuple(
            instance
            for instance in instances
            if instance.role is InstanceRole.SERVICE
        )
        names = {instance.name for instance in self._instances}
        self._suspected_until_s = {
            name: until_s
            for name, until_s in self._suspected_until_s.items()
            if name in names
        }

    def choose(
        self,
        service: ServiceName,
        drained: tuple[DataCentreName, ...],
        avoid: tuple[Address, ...],
        now_s: float,
    ) -> Instance | None:
        """Return the instance with the fewest calls of this router.

        Instances of the own data centre go first among equals.

        Parameters
        ----------
        service
            Service that is called.
        drained
            Data centres that get no new calls.
        avoid
            Addresses at which this call has already failed.
        now_s
            Local clock.

        Returns
        -------
        Instance or None
            ``None`` when no instance is eligible.

        """
        eligible = [
            instance
            for instance in self._instances
            if instance.service == service
            and not instance.leaving
            and instance.data_centre not in drained
            and instance.address not in avoid
        ]
        unsuspected = [
            instance
            for instance in eligible
            if self._suspected_until_s.get(instance.name, now_s) <= now_s
        ]
        # When all instances are suspected, a suspected one is still better
        # than a refusal.
        return min(unsuspected or eligible, key=self._rank, default=None)

    def record_sent(self, name: InstanceName) -> None:
        """Count a call as running on an instance."""
        self._running[name] += 1

    def record_ended(self, name: InstanceName) -> None:
        """Stop counting a call that has ended."""
        self._running[name] -= 1
        if self._running[name] <= 0:
            self._running.pop(name)

    def record_lost(self, name: InstanceName, now_s: float) -> None:
        """Avoid an instance that lost a call, for ``suspect_s``."""
        self._suspected_until_s[name] = now_s + self._suspect_s

    def _rank(self, instance: Instance) -> tuple[int, bool, str]:
        is_far = instance.data_centre != self._data_centre
        return (self._running[instance.name], is_far, instance.name)

"""Measures how long a replica is out of service after it loses a member."""

import time
from collections.abc import Callable, Iterator
from contextlib import closing, contextmanager
from dataclasses import dataclass
from pathlib import Path
from statistics import median

from ..engines.http_control import HttpEngineControl
from ..model.ids import Address, InstanceName, NodeName
from ..model.placement import EngineState, EngineStatus, Replica, ReplicaView
from ..model.topology import InstanceRole
from ..tables.http_platform import HttpPlatform
from ..wire.peer_client import GrpcLinks
from ..wire.rows import REPLICAS, decode_replica
from .cluster import Cluster, ClusterSpec
from .demo import publish
from .manifests import manifest_for, manifest_text
from .processes import Process, ProcessError

#: Members of the replica.
SPAN = 4
#: Seconds in which a replica must serve again.
LIMIT_S = 20.0
_NODE = NodeName('bench')
_CALL_S = 1.0
_SAMPLE_S = 0.005
#: Seconds that let a fresh replica settle between two losses.
_SETTLE_S = 1.5


@dataclass(frozen=True)
class Downtime:
    """Seconds of the parts of one loss, each after the one before.

    Parameters
    ----------
    manner
        How the member was lost.
    noticing_s
        Until no controller offers the replica.
    deciding_s
        Until the rows name a new replica.
    ordering_s
        Until all its members have accepted their orders.
    loading_s
        Until it is offered to routers.

    """

    manner: str
    noticing_s: float
    deciding_s: float
    ordering_s: float
    loading_s: float

    @property
    def total_s(self) -> float:
        """Seconds out of service."""
        parts = (self.noticing_s, self.deciding_s, self.ordering_s)
        return sum(parts) + self.loading_s


@dataclass(frozen=True)
class Summary:
    """Medians of the losses of one manner, and the worst total."""

    manner: str
    losses: int
    noticing_s: float
    deciding_s: float
    ordering_s: float
    loading_s: float
    total_s: float
    worst_s: float


class Observer:
    """Reads the state from outside; belongs to the tool's thread."""

    def __init__(self, cluster: Cluster) -> None:
        """Open no connection yet."""
        self._cluster = cluster
        self._links = GrpcLinks(_NODE, _CALL_S)
        self._engines = HttpEngineControl(_NODE, _CALL_S)
        self._platform = HttpPlatform(cluster.platform, _NODE, _CALL_S)

    def serving(self) -> tuple[ReplicaView, ...]:
        """Return the views that controllers offer."""
        statuses = (
            self._links.status(address).value_or(None)
            for address in self._controllers()
        )
        return tuple(
            view
            for status in statuses
            if status is not None
            for view in status.views
            if view.serving
        )

    def is_serving(self) -> bool:
        """Return whether any replica is offered."""
        return bool(self.serving())

    def rows(self) -> tuple[Replica, ...]:
        """Return the rows of replicas."""
        found = self._platform.scan(REPLICAS).value_or(())
        return tuple(decode_replica(row).unwrap() for row in found)

    def report(self, address: Address) -> EngineStatus | None:
        """Return one engine's own report."""
        return self._engines.status(address).value_or(None)

    def close(self) -> None:
        """Close the connections."""
        self._links.close()
        self._engines.close()

    def _controllers(self) -> Iterator[Address]:
        for started in self._cluster.members:
            if started.role is InstanceRole.CONTROLLER:
                yield started.process.ready[0].peer_address


def measure_downtime(losses: int, folder: Path) -> tuple[Downtime, ...]:
    """Lose members one after another, half by a kill, half by a pause."""
    spec = ClusterSpec(engines=SPAN + losses, routers=1, controllers=2)
    with ending(Cluster(spec, folder)) as cluster:
        cluster.start_targets()
        text = manifest_text(manifest_for(spec, replicas=1, span=SPAN))
        publish(cluster, folder, text)
        cluster.start_entries()
        return tuple(_lose_all(cluster, losses))


@contextmanager
def ending(cluster: Cluster) -> Iterator[Cluster]:
    """End all processes of an installation at the end of a block."""
    try:  # noqa: WPS501 (the error goes to the command line)
        yield cluster
    finally:
        cluster.end()


def summarise(times: tuple[Downtime, ...]) -> tuple[Summary, ...]:
    """Return one summary for each manner of loss."""
    return tuple(
        _summary(manner, [one for one in times if one.manner == manner])
        for manner in sorted({one.manner for one in times})
    )


def _summary(manner: str, times: list[Downtime]) -> Summary:
    return Summary(
        manner,
        len(times),
        median(one.noticing_s for one in times),
        median(one.deciding_s for one in times),
        median(one.ordering_s for one in times),
        median(one.loading_s for one in times),
        median(one.total_s for one in times),
        max(one.total_s for one in times),
    )


def _lose_all(cluster: Cluster, losses: int) -> Iterator[Downtime]:
    with closing(Observer(cluster)) as observer:
        for number in range(losses):
            _until(observer.is_serving)
            time.sleep(_SETTLE_S)
            manner = 'kill' if number % 2 else 'pause'
            yield _lose_one(cluster, observer, manner)


def _lose_one(cluster: Cluster, observer: Observer, manner: str) -> Downtime:
    old = observer.serving()[0].replica
    process = _process_of(cluster, old.members[1].instance)
    begun_s = time.monotonic()
    if manner == 'kill':
        process.kill()
    else:
        process.pause()
    name = old.replica
    noticed_s = _until(
        lambda: all(v.replica.replica != name for v in observer.serving())
    )
    decided_s = _until(lambda: _successor(observer, old) is not None)
    new = _successor(observer, old)
    if new is None:
        raise ProcessError('the new replica has gone')
    ordered_s = _until(lambda: _all_accepted(observer, new))
    served_s = _until(observer.is_serving)
    return Downtime(
        manner,
        noticed_s - begun_s,
        decided_s - noticed_s,
        ordered_s - decided_s,
        served_s - ordered_s,
    )


def _successor(observer: Observer, old: Replica) -> Replica | None:
    for row in observer.rows():
        if row.replica != old.replica:
            return row
    return None


def _all_accepted(observer: Observer, replica: Replica) -> bool:
    reports = [observer.report(at.address) for at in replica.members]
    return all(
        report is not None
        and report.replica == replica.replica
        and report.state is not EngineState.EMPTY
        for report in reports
    )


def _process_of(cluster: Cluster, instance: InstanceName) -> Process:
    for started in cluster.members:
        if any(at.name == instance for at in started.instances()):
            return started.process
    raise ProcessError(f'no process runs {instance}')


def _until(holds: Callable[[], bool]) -> float:
    """Return the clock when a condition is first seen to hold."""
    begun_s = time.monotonic()
    while not holds():
        if time.monotonic() - begun_s > LIMIT_S:
            raise ProcessError('the replica does not come back')
        time.sleep(_SAMPLE_S)
    return time.monotonic()

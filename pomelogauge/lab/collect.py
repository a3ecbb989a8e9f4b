"""Collects the stand-ins' own records at the end of a run."""

from collections.abc import Iterator
from typing import Any

from ..model.topology import InstanceRole
from .cluster import Cluster, Started
from .processes import Ready
from .record import EngineCounted, EngineStreamed, Event, ServiceRan
from .standin_control import ControlError


def collect(cluster: Cluster, at_s: float) -> Iterator[Event]:
    """Yield what the running engines and services have recorded.

    Parameters
    ----------
    cluster
        The installation.
    at_s
        Time of the events.

    """
    for started in cluster.members:
        if started.process.alive:
            yield from collect_from(cluster, started, at_s)


def collect_from(
    cluster: Cluster,
    started: Started,
    at_s: float,
) -> Iterator[Event]:
    """Yield what one process has recorded, such as right before its end."""
    for ready in started.process.ready:
        if started.role is InstanceRole.ENGINE:
            yield from _engine(cluster, ready, at_s)
        if started.role is InstanceRole.SERVICE:
            yield from _service(cluster, ready, at_s)


def _engine(cluster: Cluster, ready: Ready, at_s: float) -> Iterator[Event]:
    record = _record(cluster, ready)
    if record is None:
        return
    yield EngineCounted(
        at_s,
        ready.name,
        record['overfed'],
        record['peak_running'],
    )
    for found in record['requests']:
        yield EngineStreamed(
            at_s,
            ready.name,
            found['request'],
            found['replica'],
            found['first'],
            found['next'],
            found['end'],
        )


def _service(cluster: Cluster, ready: Ready, at_s: float) -> Iterator[Event]:
    record = _record(cluster, ready)
    for found in (record or {}).get('runs', ()):
        yield ServiceRan(
            at_s,
            ready.name,
            found['call'],
            found['key'],
            found['request'],
            found['count'],
        )


def _record(cluster: Cluster, ready: Ready) -> Any:
    """Return a stand-in's record; ``None`` when it does not answer."""
    try:
        return cluster.control.record(ready.address)
    except (ControlError, OSError):
        return None

"""Measures what idle routers and controllers cost at several sizes."""

import json
import tempfile
import time
from collections.abc import Callable, Iterator
from dataclasses import asdict, dataclass
from pathlib import Path

from ..model.topology import InstanceRole
from .cluster import Cluster, ClusterSpec, Started
from .demo import publish
from .manifests import manifest_for, manifest_text
from .process_traffic import Traffic, read_traffic
from .process_usage import Usage, usage_of

#: Seconds for which a size runs before it is measured.
SETTLE_S = 8.0
#: Seconds of one measurement.
WINDOW_S = 10.0
_ENTRIES = (InstanceRole.ROUTER, InstanceRole.CONTROLLER)


@dataclass(frozen=True)
class Size:
    """Numbers of one installation.

    Parameters
    ----------
    pairs
        Routers, and as many controllers.
    domains
        Fabric domains.
    engines
        Model instances in each domain.

    """

    pairs: int
    domains: int
    engines: int


#: Sizes of the default run.
SIZES = (
    Size(1, 3, 4),
    Size(2, 3, 4),
    Size(4, 3, 4),
    Size(8, 3, 4),
    Size(4, 12, 4),
    Size(4, 24, 8),
)


@dataclass(frozen=True)
class Cost:
    """Mean cost of the processes of one role.

    Parameters
    ----------
    role
        Router or controller.
    cpu_percent
        Of one core.
    resident_mib
        Resident memory, in MiB.
    threads
        Threads.
    sent_bytes_s, received_bytes_s
        On connections open over the whole window.

    """

    role: str
    cpu_percent: float
    resident_mib: float
    threads: float
    sent_bytes_s: float
    received_bytes_s: float


@dataclass(frozen=True)
class SizeCost:
    """What one size costs."""

    size: Size
    costs: tuple[Cost, ...]
    reads_per_s: float
    writes_per_s: float


@dataclass(frozen=True)
class _Sample:
    started: Started
    usage: Usage
    traffic: Traffic


def measure_capacity(
    sizes: tuple[Size, ...] = SIZES,
) -> Iterator[SizeCost]:
    """Run each size and yield what it costs."""
    for size in sizes:
        spec = ClusterSpec(
            domains=size.domains,
            engines=size.engines,
            routers=size.pairs,
            controllers=size.pairs,
            services=0,
            engine_flags=('--threads', '12'),
            router_flags=('--worker-threads', '32'),
            shared_engine_process=True,
        )
        with tempfile.TemporaryDirectory(prefix='pomelogauge-') as folder:
            cluster = Cluster(spec, Path(folder))
            # The processes end even when the measurement fails.
            try:  # noqa: WPS501
                yield _measure(cluster, size, Path(folder))
            finally:
                cluster.end()


def bench_capacity(json_path: str, say: Callable[[str], None]) -> None:
    """Measure all sizes, print a line for each and write the figures."""
    found: list[SizeCost] = []
    for cost in measure_capacity():
        found.append(cost)
        say(json.dumps(asdict(cost)))
    if json_path:
        text = json.dumps([asdict(one) for one in found], indent=1)
        Path(json_path).write_text(text, encoding='utf-8')
    say(f'capacity: {len(found)} sizes measured')


def _measure(cluster: Cluster, size: Size, folder: Path) -> SizeCost:
    cluster.start_targets()
    manifest = manifest_for(cluster.spec, replicas=size.domains)
    publish(cluster, folder, manifest_text(manifest))
    cluster.start_entries()
    time.sleep(SETTLE_S)
    entries = [one for one in cluster.members if one.role in _ENTRIES]
    before = [_sample(one) for one in entries]
    counted = cluster.control.stats(cluster.platform)
    time.sleep(WINDOW_S)
    after = [_sample(one) for one in entries]
    recounted = cluster.control.stats(cluster.platform)
    return SizeCost(
        size,
        tuple(_cost(role, before, after) for role in _ENTRIES),
        (recounted['reads'] - counted['reads']) / WINDOW_S,
        (recounted['writes'] - counted['writes']) / WINDOW_S,
    )


def _sample(started: Started) -> _Sample:
    pid = started.process.pid
    return _Sample(started, usage_of(pid), read_traffic(pid))


def _cost(
    role: InstanceRole,
    before: list[_Sample],
    after: list[_Sample],
) -> Cost:
    pairs = [
        (old, new)
        for old, new in zip(before, after, strict=True)
        if new.started.role is role
    ]
    cpu_s = sum(new.usage.cpu_s - old.usage.cpu_s for old, new in pairs)
    sent = sum(new.traffic.sent - old.traffic.sent for old, new in pairs)
    came = sum(
        new.traffic.received - old.traffic.received for old, new in pairs
    )
    resident = sum(new.usage.resident_mib for _, new in pairs)
    threads = sum(new.usage.threads for _, new in pairs)
    count = len(pairs)
    return Cost(
        str(role),
        round(cpu_s / count / WINDOW_S * 100, 2),
        round(resident / count, 1),
        round(threads / count, 1),
        round(sent / count / WINDOW_S, 1),
        round(came / count / WINDOW_S, 1),
    )

"""Measures the reads and writes of controllers on the platform."""

import time
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

from .bench_downtime import ending
from .cluster import Cluster, ClusterSpec
from .demo import publish
from .manifests import manifest_for, manifest_text
from .standin_control import StandinMode

#: Fabric domains, and so shards, of each measurement.
SHARDS = 6
_SETTLE_S = 7.0
_MEASURE_S = 5.0
_OUTAGE_S = 3.0


@dataclass(frozen=True)
class StoreLoad:
    """Calls a second on the platform, as it counts them itself.

    Parameters
    ----------
    controllers, shards
        What ran.
    reads_s, writes_s
        In the steady state; the whole process, its configuration included.
    peak_reads_s, peak_writes_s
        Highest whole second, the start and the end of an outage included.

    """

    controllers: int
    shards: int
    reads_s: float
    writes_s: float
    peak_reads_s: int
    peak_writes_s: int


def measure_store(
    counts: Iterable[int],
    folder: Path,
) -> tuple[StoreLoad, ...]:
    """Run so many controllers, one number after the other."""
    return tuple(
        _measure(count, folder / f'controllers-{count}') for count in counts
    )


def _measure(count: int, folder: Path) -> StoreLoad:
    spec = ClusterSpec(
        domains=SHARDS,
        routers=0,
        controllers=count,
        services=0,
        shared_engine_process=True,
    )
    with ending(Cluster(spec, folder)) as cluster:
        cluster.start_targets()
        text = manifest_text(manifest_for(spec, replicas=SHARDS))
        publish(cluster, folder, text)
        cluster.start_entries()
        time.sleep(_SETTLE_S)
        before = cluster.control.stats(cluster.platform)
        begun_s = time.monotonic()
        time.sleep(_MEASURE_S)
        after = cluster.control.stats(cluster.platform)
        passed_s = time.monotonic() - begun_s
        peak = _after_an_outage(cluster)
        return StoreLoad(
            count,
            SHARDS,
            (after['reads'] - before['reads']) / passed_s,
            (after['writes'] - before['writes']) / passed_s,
            peak['peak_reads_s'],
            peak['peak_writes_s'],
        )


def _after_an_outage(cluster: Cluster) -> dict[str, int]:
    cluster.control.set_mode(cluster.platform, StandinMode('down'))
    time.sleep(_OUTAGE_S)
    cluster.control.set_mode(cluster.platform, StandinMode('up'))
    time.sleep(_OUTAGE_S)
    found: dict[str, int] = cluster.control.stats(cluster.platform)
    return found

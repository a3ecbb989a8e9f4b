"""Measures until when a published configuration is in force everywhere."""

import json
import tempfile
import time
from collections.abc import Callable
from contextlib import closing
from dataclasses import asdict, dataclass
from enum import StrEnum
from pathlib import Path
from random import Random

from ..app.configuration_push import push_configuration
from ..app.peer_finder import listed_peers
from ..app.publish import publish_change
from ..charts.reader import load_chart
from ..decide.data_centre_chart import DATA_CENTRE_WORDS, DataCentreEvent
from ..decide.publication import DataCentreChange
from ..model.errors import UserError
from ..model.ids import ConfigVersion, DataCentreName, NodeName
from ..model.manifest import Configuration
from ..tables.configuration_store import ConfigurationStore
from ..tables.http_platform import HttpPlatform
from ..tasks.clock import MonotonicClock
from ..wire.peer_client import GrpcLinks
from .cluster import Cluster, ClusterSpec, Started
from .demo import publish
from .distribution import distribution
from .manifests import manifest_for, manifest_text
from .standin_control import StandinMode
from .version_watch import VersionWatch, falls, in_force_after_s

#: Data centre that is drained and returned; nothing stands in it.
_TOGGLED = DataCentreName('west')
#: Target for a version to be in force.
TARGET_S = 3.0
#: Seconds after which a version counts as not in force at all.
LIMIT_S = 10.0
#: Seconds that the platform waits before each call when slow.
SLOW_S = 0.3
#: Seconds for which a process is paused.
PAUSE_S = 4.0
_PLATFORM_TIMEOUT_S = 10.0
_PEER_TIMEOUT_S = 1.0
_START_LIMIT_S = 30.0
_OPERATOR = NodeName('bench')


class Fault(StrEnum):
    """What happens while a version is published."""

    NONE = 'none'
    KILL = 'kill'
    PAUSE = 'pause'
    SLOW_STORE = 'slow_store'
    SLOW_AND_KILL = 'slow_and_kill'
    #: The command ends before it has told any peer.
    UNTOLD = 'untold'


#: One fault for each publication, over and over.
FAULTS = (
    *(Fault.NONE,) * 6,
    Fault.KILL,
    Fault.UNTOLD,
    Fault.PAUSE,
    Fault.SLOW_STORE,
    *(Fault.UNTOLD,) * 2,
    Fault.NONE,
    Fault.SLOW_AND_KILL,
    *(Fault.NONE,) * 11,
)


@dataclass(frozen=True)
class ConfigBenchSpec:
    """What is measured.

    Parameters
    ----------
    routers, controllers
        Over two data centres.
    publications
        How many.
    limit_s
        Seconds after which no further publication begins.
    seed
        Of the choice of processes.

    """

    routers: int = 8
    controllers: int = 8
    publications: int = 100
    limit_s: float = 75.0
    seed: int = 1


@dataclass(frozen=True)
class Publication:
    """One publication and how long it took.

    Parameters
    ----------
    version
        What was published.
    fault
        What happened meanwhile.
    in_force_s
        Until no process took new work under an older version.
    late
        Live processes without it after the limit.

    """

    version: ConfigVersion
    fault: Fault
    in_force_s: float
    late: tuple[NodeName, ...] = ()


@dataclass(frozen=True)
class ConfigBenchReport:
    """Result of a run.

    Parameters
    ----------
    spec
        What was measured.
    publications
        Each publication.
    fell
        Processes whose version fell.
    reads_per_s, writes_per_s
        At the platform, over the whole run.

    """

    spec: ConfigBenchSpec
    publications: tuple[Publication, ...]
    fell: tuple[NodeName, ...]
    reads_per_s: float
    writes_per_s: float

    @property
    def is_met(self) -> bool:
        """Return whether every version was in force in time and none fell."""
        in_time = all(
            one.in_force_s <= TARGET_S and not one.late
            for one in self.publications
        )
        return in_time and not self.fell

    def __str__(self) -> str:
        """Render as one line."""
        times = distribution(one.in_force_s for one in self.publications)
        late = sum(bool(one.late) for one in self.publications)
        return (
            f'config: seed {self.spec.seed}, '
            f'{len(self.publications)} publications, in force after '
            f'{times.median_ms:.0f} ms median, {times.max_ms:.0f} ms largest, '
            f'{late} with late processes, {len(self.fell)} versions fell, '
            f'{self.reads_per_s:.1f} reads/s, {self.writes_per_s:.1f} writes/s'
        )


def bench_config(
    spec: ConfigBenchSpec,
    json_path: str = '',
    say: Callable[[str], None] = print,
) -> None:
    """Run the benchmark and print one line.

    Raises
    ------
    UserError
        A target was not met.

    """
    with tempfile.TemporaryDirectory(prefix='pomelogauge-') as folder:
        with closing(_Run(spec, Path(folder))) as run:
            report = run.measure()
    say(str(report))
    if json_path:
        text = json.dumps({'met': report.is_met, **asdict(report)}, indent=1)
        Path(json_path).write_text(f'{text}\n', encoding='utf-8')
    if not report.is_met:
        raise UserError(f'config: not in force within {TARGET_S:g} s, or fell')


class _Run:
    """One run; belongs to the tool's thread."""

    def __init__(self, spec: ConfigBenchSpec, folder: Path) -> None:
        self._spec = spec
        self._folder = folder
        self._rng = Random(spec.seed)
        self._clock = MonotonicClock()
        self._watch = VersionWatch(self._clock)
        self._cluster = Cluster(_cluster_spec(spec), folder)
        self._links = GrpcLinks(_OPERATOR, _PEER_TIMEOUT_S)
        self._chart = load_chart('data_centre', DATA_CENTRE_WORDS)
        self._entries: dict[NodeName, Started] = {}

    def measure(self) -> ConfigBenchReport:
        self._start()
        begun_s = self._clock.now_s()
        before = self._stats()
        done: list[Publication] = []
        for number in range(self._spec.publications):
            if self._clock.now_s() - begun_s > self._spec.limit_s:
                break
            done.append(self._publication(FAULTS[number % len(FAULTS)]))
        passed_s = self._clock.now_s() - begun_s
        after = self._stats()
        fell = {sample.node for sample in falls(self._watch.samples())}
        return ConfigBenchReport(
            self._spec,
            tuple(done),
            tuple(sorted(fell)),
            (after['reads'] - before['reads']) / passed_s,
            (after['writes'] - before['writes']) / passed_s,
        )

    def close(self) -> None:
        self._watch.stop()
        self._cluster.end()

    def _start(self) -> None:
        self._cluster.start_targets()
        spec = self._cluster.spec
        manifest = manifest_for(
            ClusterSpec(data_centres=(*spec.data_centres, _TOGGLED)),
        )
        publish(self._cluster, self._folder, manifest_text(manifest))
        self._cluster.start_entries()
        for started in self._cluster.members:
            self._take(started)
        late = self._await(ConfigVersion(1), _START_LIMIT_S)
        if late:
            raise UserError(f'config: {", ".join(late)} did not get ready')

    def _take(self, started: Started) -> None:
        ready = started.process.ready[0]
        node = NodeName(ready.name)
        self._entries[node] = started
        links = GrpcLinks(_OPERATOR, _PEER_TIMEOUT_S)
        self._watch.watch(node, ready.peer_address, links)

    def _await(
        self, version: ConfigVersion, limit_s: float = LIMIT_S
    ) -> tuple[NodeName, ...]:
        live = [
            node
            for node, started in self._entries.items()
            if started.process.alive
        ]
        return tuple(sorted(self._watch.wait_until(live, version, limit_s)))

    def _publication(self, fault: Fault) -> Publication:
        victim = self._rng.choice(sorted(self._entries))
        process = self._entries[victim].process
        if fault in _SLOW:
            self._set_mode(StandinMode('slow', delay_s=SLOW_S))
        if fault is Fault.PAUSE:
            process.pause()
        published = self._publish()
        published_at_s = self._clock.now_s()
        if fault in _KILLS:
            process.kill()
        if fault is not Fault.UNTOLD:
            self._tell(published)
        if fault is Fault.PAUSE:
            time.sleep(PAUSE_S)
            process.resume()
        late = self._await(published.version)
        in_force_s = in_force_after_s(
            self._watch.samples(), published.version, published_at_s
        )
        self._set_mode(StandinMode('up'))
        if fault in _KILLS:
            self._restart(victim)
        return Publication(published.version, fault, in_force_s, late)

    def _publish(self) -> Configuration:
        store = ConfigurationStore(self._platform())
        newest = store.newest().unwrap()
        event = DataCentreEvent.DRAIN
        if newest is not None and _TOGGLED in newest.drained:
            event = DataCentreEvent.BRING_BACK
        change = DataCentreChange(_TOGGLED, event)
        return publish_change(store, change, self._chart, _OPERATOR)

    def _tell(self, published: Configuration) -> None:
        peers = listed_peers(self._platform())
        push_configuration(self._links, peers, published, self._rng)

    def _restart(self, node: NodeName) -> None:
        gone = self._entries[node]
        number = int(node.rpartition('-')[2])
        started = self._cluster.start_entry(gone.role, gone.data_centre, number)
        self._cluster.await_and_list(started)
        self._take(started)

    def _platform(self) -> HttpPlatform:
        return HttpPlatform(
            self._cluster.platform, _OPERATOR, _PLATFORM_TIMEOUT_S
        )

    def _set_mode(self, mode: StandinMode) -> None:
        self._cluster.control.set_mode(self._cluster.platform, mode)

    def _stats(self) -> dict[str, float]:
        stats: dict[str, float] = self._cluster.control.stats(
            self._cluster.platform
        )
        return stats


def _cluster_spec(spec: ConfigBenchSpec) -> ClusterSpec:
    return ClusterSpec(
        data_centres=('north', 'south'),
        engines=0,
        services=0,
        routers=spec.routers // 2,
        controllers=spec.controllers // 2,
    )


_SLOW = frozenset((Fault.SLOW_STORE, Fault.SLOW_AND_KILL))
_KILLS = frozenset((Fault.KILL, Fault.SLOW_AND_KILL))

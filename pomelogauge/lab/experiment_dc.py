"""Measures service while a data centre leaves and returns under load."""

import tempfile
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, replace
from pathlib import Path

from ..app.connections import open_platform
from ..app.publish import publish_change, publish_manifest
from ..charts.reader import load_chart
from ..decide.data_centre_chart import DATA_CENTRE_WORDS, DataCentreEvent
from ..decide.publication import DataCentreChange
from ..model.ids import DataCentreName
from ..model.topology import InstanceRole
from ..tables.configuration_store import ConfigurationStore
from ..tasks.mailbox import Mailbox
from ..tasks.task import Task
from .cluster import Cluster
from .cluster_spec import ClusterSpec
from .load import LoadSpec, run_load
from .manifests import manifest_for
from .measurement import Mark, Measurement, request_results
from .recorder import Recorder
from .sampler import SamplerActor, SamplesAsked, ask_samples
from .waiting import wait_until

_PLATFORM_TIMEOUT_S = 2.0
_SERVING_LIMIT_S = 40.0
_ORGANISATIONS = 10
_SPAN = 2


@dataclass(frozen=True)
class DcOptions:
    """Size of the experiment.

    Parameters
    ----------
    rate_per_s
        Arrivals a second.
    duration_s
        Seconds of arrivals; the data centre leaves after a quarter and
        returns after five eighths of them.
    tokens
        Tokens of each answer.
    replicas
        Replicas wanted over all data centres.
    engines
        Engines in each data centre.
    seed
        Of the load.

    """

    rate_per_s: float = 30
    duration_s: float = 40
    tokens: int = 24
    replicas: int = 6
    engines: int = 6
    seed: int = 1

    @property
    def drain_at_s(self) -> float:
        """Time at which the data centre leaves."""
        return self.duration_s / 4

    @property
    def return_at_s(self) -> float:
        """Time at which it returns."""
        return self.duration_s * 5 / 8

    @property
    def spec(self) -> ClusterSpec:
        """Three data centres with six routers; two more are added."""
        return ClusterSpec(
            ('north', 'south', 'west'),
            engines=self.engines,
            routers=2,
            controllers=1,
            shared_engine_process=True,
            engine_flags=('--cold-slots', '2', '--slots', '16'),
        )

    @property
    def command(self) -> str:
        """Command that makes the data."""
        return (
            f'pomelogauge lab dc --rate {self.rate_per_s:g} '
            f'--duration {self.duration_s:g} --seed {self.seed}'
        )


def measure_dc(
    options: DcOptions,
    say: Callable[[str], None] = print,
) -> Measurement:
    """Run the load while one of three data centres leaves and returns.

    Parameters
    ----------
    options
        Size of the experiment.
    say
        Takes lines of progress.

    """
    with tempfile.TemporaryDirectory(prefix='pomelogauge-') as folder:
        cluster = Cluster(options.spec, Path(folder))
        # The processes end also when the tool is interrupted.
        try:  # noqa: WPS501
            return _measure(cluster, options, say)
        finally:
            cluster.kill()


def _measure(
    cluster: Cluster,
    options: DcOptions,
    say: Callable[[str], None],
) -> Measurement:
    _start(cluster, options)
    recorder = Recorder()
    sampler = Task('sampler', SamplerActor(cluster, recorder))
    sampler.start()
    wait_until(lambda: _lacking(sampler, options.replicas), _SERVING_LIMIT_S)
    say(f'{options.replicas} replicas serve')
    begun_s = recorder.now_s()
    marks: Mailbox[Mark] = Mailbox()
    operator = threading.Thread(
        target=_operate,
        args=(cluster, options, marks),
        daemon=True,
    )
    operator.start()
    load = LoadSpec(
        cluster.addresses(InstanceRole.ROUTER),
        options.rate_per_s,
        options.duration_s,
        options.tokens,
        _ORGANISATIONS,
        seed=options.seed,
    )
    sent = run_load(load, progress_of(say))
    operator.join()
    samples = tuple(
        replace(sample, at_s=sample.at_s - begun_s)
        for sample in ask_samples(sampler)
        if sample.at_s >= begun_s
    )
    sampler.stop()
    return Measurement(
        'A data centre leaves and returns',
        options.command,
        options.seed,
        options.replicas,
        request_results(sent),
        _all(marks),
        samples,
    )


def progress_of(say: Callable[[str], None]) -> Callable[[int], None]:
    """Return what tells of progress every hundred requests."""

    def tell(done: int) -> None:
        if done % 100 == 0:
            say(f'{done} requests have ended')

    return tell


def _start(cluster: Cluster, options: DcOptions) -> None:
    cluster.start_platform()
    manifest = manifest_for(
        cluster.spec, options.replicas, _SPAN, _ORGANISATIONS
    )
    publish_manifest(_store(cluster), manifest, 'experiment')
    cluster.start_rest()
    for data_centre in cluster.spec.data_centres[:2]:
        started = cluster.start_entry(
            InstanceRole.ROUTER, data_centre, cluster.spec.routers
        )
        cluster.await_and_list(started)


def _operate(
    cluster: Cluster,
    options: DcOptions,
    marks: Mailbox[Mark],
) -> None:
    """Drain and return a data centre at their times."""
    begun_s = time.monotonic()
    store = _store(cluster)
    name = DataCentreName(cluster.spec.data_centres[1])
    chart = load_chart('data_centre', DATA_CENTRE_WORDS)
    plan = (
        (options.drain_at_s, DataCentreEvent.DRAIN),
        (options.return_at_s, DataCentreEvent.BRING_BACK),
    )
    for at_s, event in plan:
        time.sleep(max(0, begun_s + at_s - time.monotonic()))
        publish_change(
            store, DataCentreChange(name, event), chart, 'experiment'
        )
        drained = event is DataCentreEvent.DRAIN
        what = f'{name} {"drained" if drained else "returned"}'
        marks.post(Mark(time.monotonic() - begun_s, what))


def _store(cluster: Cluster) -> ConfigurationStore:
    return ConfigurationStore(
        open_platform(cluster.platform, _PLATFORM_TIMEOUT_S)
    )


def _lacking(sampler: Task[SamplesAsked], wanted: int) -> str:
    samples = ask_samples(sampler)
    found = samples[-1].replicas if samples else 0
    return '' if found >= wanted else f'{found} of {wanted} replicas serve'


def _all(marks: Mailbox[Mark]) -> tuple[Mark, ...]:
    found: list[Mark] = []
    mark = marks.take(0)
    while mark is not None:
        found.append(mark)
        mark = marks.take(0)
    return tuple(found)

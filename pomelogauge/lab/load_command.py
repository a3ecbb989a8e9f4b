"""Runs a load against an installation of its own or one that runs."""

import tempfile
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from ..model.topology import InstanceRole
from .cluster import Cluster
from .cluster_spec import ClusterSpec
from .demo import publish
from .distribution import Distribution, distribution
from .experiment_dc import progress_of
from .load import LoadSpec, run_load
from .manifests import manifest_for, manifest_text
from .measurement import Measurement, RequestResult, request_results
from .readings import EngineReader
from .recorder import Recorder
from .waiting import wait_until

SPEC = ClusterSpec(
    ('north', 'south'),
    routers=1,
    controllers=1,
    shared_engine_process=True,
)
_REPLICAS = 2
_SPAN = 4
_SERVING_LIMIT_S = 30.0


@dataclass(frozen=True)
class LoadOptions:
    """What is sent, and where to.

    Parameters
    ----------
    rate_per_s, duration_s, tokens, organisations, seed
        As in ``LoadSpec``.
    routers
        Where to; empty starts an installation. Callers use the keys of the
        tools' manifests.

    """

    rate_per_s: float
    duration_s: float
    tokens: int
    organisations: int
    seed: int
    routers: tuple[str, ...] = ()

    @property
    def command(self) -> str:
        """Command that makes the data."""
        return (
            f'pomelogauge lab load --rate {self.rate_per_s:g} '
            f'--duration {self.duration_s:g} --tokens {self.tokens} '
            f'--organisations {self.organisations} --seed {self.seed}'
        )


def measure_load(
    options: LoadOptions,
    say: Callable[[str], None] = print,
) -> Measurement:
    """Run a load, say its distributions and return its requests."""
    if options.routers:
        return _measure(options, options.routers, say)
    with tempfile.TemporaryDirectory(prefix='pomelogauge-') as folder:
        cluster = Cluster(SPEC, Path(folder))
        # The processes end also when the tool is interrupted.
        try:  # noqa: WPS501
            routers = _start(cluster, Path(folder), options)
            return _measure(options, routers, say)
        finally:
            cluster.kill()


def distributions(
    requests: tuple[RequestResult, ...],
) -> tuple[Distribution, Distribution]:
    """Return the times to the first token and between tokens."""
    served = [request for request in requests if not request.code]
    return (
        distribution(request.first_token_s for request in served),
        distribution(gap_s for request in served for gap_s in request.gaps_s),
    )


def _start(
    cluster: Cluster,
    folder: Path,
    options: LoadOptions,
) -> tuple[str, ...]:
    cluster.start_platform()
    manifest = manifest_for(SPEC, _REPLICAS, _SPAN, options.organisations)
    publish(cluster, folder, manifest_text(manifest))
    cluster.start_rest()
    reader = EngineReader(Recorder())
    engines = cluster.addresses(InstanceRole.ENGINE)

    def loading() -> str:
        ready = [
            report for report in reader.read(engines) if report.state == 'ready'
        ]
        lacking = _REPLICAS * _SPAN - len(ready)
        return f'{lacking} engines are not ready' if lacking > 0 else ''

    wait_until(loading, _SERVING_LIMIT_S)
    reader.close()
    return cluster.addresses(InstanceRole.ROUTER)


def _measure(
    options: LoadOptions,
    routers: tuple[str, ...],
    say: Callable[[str], None],
) -> Measurement:
    spec = LoadSpec(
        routers,
        options.rate_per_s,
        options.duration_s,
        options.tokens,
        options.organisations,
        seed=options.seed,
    )
    requests = request_results(run_load(spec, progress_of(say)))
    served = sum(not request.code for request in requests)
    say(f'{len(requests)} requests, {served} served, seed {options.seed}')
    for name, found in zip(
        ('first token', 'between tokens'),
        distributions(requests),
        strict=True,
    ):
        say(
            f'{name}: median {found.median_ms:.1f} ms, '
            f'95 in 100 {found.p95_ms:.1f} ms, 99 in 100 {found.p99_ms:.1f} ms'
        )
    return Measurement(
        f'Load of {options.rate_per_s:g} requests a second',
        options.command,
        options.seed,
        0,
        requests,
    )

"""Measures what a router adds to the streams that it relays."""

import json
import tempfile
import time
from collections.abc import Iterator
from concurrent.futures import Executor
from contextlib import ExitStack
from dataclasses import asdict, dataclass
from itertools import chain
from pathlib import Path
from typing import Any

import urllib3

from ..model.ids import Address
from ..model.topology import InstanceRole
from .cluster import Cluster, ClusterSpec, Started
from .demo import publish
from .distribution import Distribution, distribution
from .manifests import (
    caller_key,
    manifest_for,
    manifest_text,
    organisation_names,
)
from .process_usage import usage_of
from .processes import ProcessError
from .relay_load import (
    Header,
    Route,
    StreamsOutcome,
    StreamsSpec,
    load_processes,
    run_streams,
)
from .standin_control import StandinMode

#: Load of one router.
STREAMS = 110
TOKENS_PER_S = 2400
ANSWER_TOKENS = 32
ROUNDS = 2
ROUND_S = 9.0
SATURATION_S = 6.0
#: Engines send so many times faster to saturate the router.
SATURATION_FACTOR = 16.0
#: Bounds of what 95 in 100 may add.
FIRST_TOKEN_TARGET_MS = 10.0
GAP_TARGET_MS = 5.0

_ENGINES = 4
_SLOTS = 40
_INTERVAL_S = STREAMS / TOKENS_PER_S
_SERVING_LIMIT_S = 30.0
_SETTLE_S = 2.0
_POLL_S = 0.2

SPEC = ClusterSpec(
    engines=_ENGINES,
    routers=1,
    controllers=1,
    services=0,
    engine_flags=(
        '--cold-slots',
        str(_SLOTS),
        '--slots',
        str(_SLOTS),
        '--threads',
        str(_SLOTS + 8),
        '--token-interval-s',
        str(_INTERVAL_S),
    ),
)


@dataclass(frozen=True)
class PathTimes:
    """Times of the streams of one path.

    Parameters
    ----------
    answers, failed
        Whole answers, and others.
    tokens_per_s
        Tokens a second while all streams are open.
    first_token, gap
        Distributions.

    """

    answers: int
    failed: int
    tokens_per_s: float
    first_token: Distribution
    gap: Distribution


@dataclass(frozen=True)
class RouterCost:
    """What relaying costs the router.

    Parameters
    ----------
    cpu_cores
        Share of a core at the load.
    cpu_s_per_request, cpu_us_per_token
        All processor time at the load, divided by one or the other.
    saturated_cores
        Share of a core while the engines send as fast as they can.
    saturated_tokens_per_s
        Tokens a second then.
    tokens_per_core_s
        The same for each processor second.

    """

    cpu_cores: float
    cpu_s_per_request: float
    cpu_us_per_token: float
    saturated_cores: float
    saturated_tokens_per_s: float
    tokens_per_core_s: float


@dataclass(frozen=True)
class RelayReport:
    """All that the benchmark has measured.

    Parameters
    ----------
    seed
        Of the load.
    streams
        Streams open at any time.
    direct, relayed
        The two paths.
    added_first_ms, added_gap_ms
        Differences of the paths at the median and at 95 in 100.
    router
        Cost of the router.
    idle_router_mib, idle_controller_mib
        Resident memory before the load.

    """

    seed: int
    streams: int
    direct: PathTimes
    relayed: PathTimes
    added_first_ms: 'Added'
    added_gap_ms: 'Added'
    router: RouterCost
    idle_router_mib: float
    idle_controller_mib: float

    def summary(self) -> str:
        """Return the figures that count, in one line."""
        first, gap = self.added_first_ms, self.added_gap_ms
        met = first.p95 < FIRST_TOKEN_TARGET_MS and gap.p95 < GAP_TARGET_MS
        return (
            f'relay: {"met" if met else "MISSED"}, seed {self.seed}, '
            f'{self.streams} streams, '
            f'{self.relayed.tokens_per_s:.0f} tokens/s, '
            f'failed {self.relayed.failed}; added to the first token '
            f'{first.median:.1f}/{first.p95:.1f} ms, between tokens '
            f'{gap.median:.1f}/{gap.p95:.1f} ms (median/p95); '
            f'{self.router.cpu_us_per_token:.0f} us/token, '
            f'{self.router.tokens_per_core_s:.0f} tokens/s a core at '
            f'saturation; idle {self.idle_router_mib:.0f} MiB router, '
            f'{self.idle_controller_mib:.0f} MiB controller'
        )


@dataclass(frozen=True)
class Added:
    """Difference of two distributions at two points, in milliseconds."""

    median: float
    p95: float


@dataclass(frozen=True)
class _Timed:
    """A load, how long it took and the router's processor time meanwhile."""

    outcome: StreamsOutcome
    passed_s: float
    cpu_s: float


def run_bench(seed: int, json_path: str) -> str:
    """Run the benchmark and return its summary.

    Parameters
    ----------
    seed
        Of the load.
    json_path
        File for all figures; empty for none.

    Raises
    ------
    UserError
        A process did not start, or nothing was served in time.

    """
    with tempfile.TemporaryDirectory(prefix='pomelogauge-') as folder:
        cluster = Cluster(SPEC, Path(folder))
        with ExitStack() as started:
            started.callback(cluster.end)
            report = _measure(cluster, Path(folder), seed)
    if json_path:
        text = json.dumps(asdict(report), indent=1)
        Path(json_path).write_text(f'{text}\n', encoding='utf-8')
    return report.summary()


def _measure(cluster: Cluster, folder: Path, seed: int) -> RelayReport:
    cluster.start_targets()
    manifest = manifest_for(SPEC, replicas=_ENGINES, span=1)
    publish(cluster, folder, manifest_text(manifest))
    cluster.start_entries()
    engines = _await_engines(cluster)
    # The first exchanges and the gossip of the start are over by then.
    time.sleep(_SETTLE_S)
    bench = _Bench(cluster, engines, seed)
    return bench.run()


class _Bench:
    """The loads of one run."""

    def __init__(
        self,
        cluster: Cluster,
        engines: tuple[Route, ...],
        seed: int,
    ) -> None:
        self._cluster = cluster
        self._direct = engines
        self._seed = seed
        self._router = _one_of(cluster, InstanceRole.ROUTER)
        key = caller_key(organisation_names(1)[0])
        authorization = Header('Authorization', f'Bearer {key}')
        address = self._router.process.ready[0].address
        self._relayed = (Route(address, (authorization,)),)

    def run(self) -> RelayReport:
        controller = _one_of(self._cluster, InstanceRole.CONTROLLER)
        idle_router_mib = usage_of(self._router.process.pid).resident_mib
        idle_controller_mib = usage_of(controller.process.pid).resident_mib
        with load_processes() as pool:
            pairs = [self._round(pool, number) for number in range(ROUNDS)]
            saturated = self._saturate(pool)
        direct = [pair[0] for pair in pairs]
        relayed = [pair[1] for pair in pairs]
        near, far = _path_times(direct), _path_times(relayed)
        return RelayReport(
            self._seed,
            STREAMS,
            near,
            far,
            _added(near.first_token, far.first_token),
            _added(near.gap, far.gap),
            _cost(relayed, saturated),
            idle_router_mib,
            idle_controller_mib,
        )

    def _round(self, pool: Executor, number: int) -> tuple[_Timed, _Timed]:
        seed = self._seed + number
        direct = self._timed(pool, self._spec(self._direct, seed))
        return direct, self._timed(pool, self._spec(self._relayed, seed))

    def _saturate(self, pool: Executor) -> _Timed:
        mode = StandinMode('slow', factor=1 / SATURATION_FACTOR)
        for route in self._direct:
            self._cluster.control.set_mode(Address(route.address), mode)
        spec = StreamsSpec(
            self._relayed,
            STREAMS,
            ANSWER_TOKENS,
            SATURATION_S,
            _INTERVAL_S / SATURATION_FACTOR,
            self._seed,
        )
        return self._timed(pool, spec)

    def _spec(self, routes: tuple[Route, ...], seed: int) -> StreamsSpec:
        return StreamsSpec(
            routes, STREAMS, ANSWER_TOKENS, ROUND_S, _INTERVAL_S, seed
        )

    def _timed(self, pool: Executor, spec: StreamsSpec) -> _Timed:
        pid = self._router.process.pid
        cpu_s = usage_of(pid).cpu_s
        begun_s = time.monotonic()
        outcome = run_streams(pool, spec)
        passed_s = time.monotonic() - begun_s
        return _Timed(outcome, passed_s, usage_of(pid).cpu_s - cpu_s)


def _await_engines(cluster: Cluster) -> tuple[Route, ...]:
    """Wait until all engines serve and return the routes to them."""
    addresses = cluster.addresses(InstanceRole.ENGINE)
    pool = urllib3.PoolManager()
    ends_at_s = time.monotonic() + _SERVING_LIMIT_S
    while time.monotonic() < ends_at_s:
        reports = [_report(pool, address) for address in addresses]
        if all(one['state'] == 'ready' for one in reports):
            pairs = zip(addresses, reports, strict=True)
            return tuple(_route(address, one) for address, one in pairs)
        time.sleep(_POLL_S)
    raise ProcessError('not all engines serve')


def _report(pool: urllib3.PoolManager, address: Address) -> Any:
    return pool.request('GET', f'http://{address}/v1/status').json()


def _route(address: Address, report: Any) -> Route:
    headers = (
        Header('X-Replica', report['replica']),
        Header('X-Epoch', str(report['epoch'])),
        Header('X-Resume-At', '0'),
    )
    return Route(address, headers)


def _one_of(cluster: Cluster, role: InstanceRole) -> Started:
    return next(one for one in cluster.members if one.role is role)


def _path_times(loads: list[_Timed]) -> PathTimes:
    answers = [one for load in loads for one in load.outcome.answers]
    open_s = sum(one.duration_s for one in answers)
    return PathTimes(
        len(answers),
        sum(len(load.outcome.failures) for load in loads),
        sum(load.outcome.tokens for load in loads) * STREAMS / open_s,
        distribution(one.first_token_s for one in answers),
        distribution(chain.from_iterable(_gaps(loads))),
    )


def _gaps(loads: list[_Timed]) -> Iterator[tuple[float, ...]]:
    for load in loads:
        for one in load.outcome.answers:
            yield one.gaps_s


def _added(near: Distribution, far: Distribution) -> Added:
    return Added(far.median_ms - near.median_ms, far.p95_ms - near.p95_ms)


def _cost(relayed: list[_Timed], saturated: _Timed) -> RouterCost:
    cpu_s = sum(load.cpu_s for load in relayed)
    passed_s = sum(load.passed_s for load in relayed)
    answers = sum(len(load.outcome.answers) for load in relayed)
    tokens = sum(load.outcome.tokens for load in relayed)
    most = saturated.outcome.tokens
    return RouterCost(
        cpu_cores=cpu_s / passed_s,
        cpu_s_per_request=cpu_s / max(answers, 1),
        cpu_us_per_token=cpu_s / max(tokens, 1) * 1_000_000,
        saturated_cores=saturated.cpu_s / saturated.passed_s,
        saturated_tokens_per_s=most / saturated.passed_s,
        tokens_per_core_s=most / max(saturated.cpu_s, 0.01),
    )

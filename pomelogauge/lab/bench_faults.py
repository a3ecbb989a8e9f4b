"""Random faults under a steady load, with all checkers over the records."""

import heapq
import itertools
import json
import queue
import tempfile
import time
from collections import Counter
from collections.abc import Callable
from contextlib import ExitStack
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import TypeVar

from ..model.errors import UserError
from ..model.topology import InstanceRole
from .checkers_requests import Breach, Evidence, check_requests
from .cluster import Cluster, ClusterSpec
from .demo import publish
from .fault_load import Callers, FaultLoad, Wish
from .faults import Fault, FaultSource
from .manifests import manifest_for, manifest_text
from .request_records import (
    Attempt,
    EngineSeen,
    ServiceRun,
    engine_seen,
    service_runs,
)

SPEC = ClusterSpec(
    domains=2,
    engines=4,
    routers=3,
    controllers=3,
    services=2,
    shared_engine_process=True,
)
#: Seconds between the beginnings of two faults.
GAP_S = 1.5
#: Seconds without faults before the first and after the last one.
CALM_S = 4.0
#: Seconds that the last requests may take.
END_LIMIT_S = 30.0
#: Seconds after which an answer counts as late.
LATE_S = 10.0

RecordT = TypeVar('RecordT')


class BrokenPromiseError(UserError):
    """A checker found a breach, or requests were lost."""


@dataclass(frozen=True)
class FaultPlan:
    """What is run.

    Parameters
    ----------
    faults
        How many.
    seed
        Of the faults and the load.
    rate_per_s
        Requests a second.

    """

    faults: int = 40
    seed: int = 1
    rate_per_s: float = 24


@dataclass(frozen=True)
class FaultFigures:
    """What came of a run."""

    seed: int
    faults: int
    wishes: int
    served: int
    late: int
    lost: int
    refused: dict[str, int]
    attempts: dict[str, int]
    breaches: tuple[str, ...]

    def __str__(self) -> str:
        """Render as one line."""
        refused = ', '.join(
            f'{code} {count}' for code, count in self.refused.items()
        )
        return (
            f'seed {self.seed}: {self.faults} faults, {self.wishes} requests, '
            f'{self.served} served, {self.late} late, {self.lost} lost, '
            f'{len(self.breaches)} breaches; refused: {refused or "none"}'
        )


def run_bench(
    plan: FaultPlan,
    say: Callable[[str], None] = print,
) -> FaultFigures:
    """Run the faults and return the figures.

    Raises
    ------
    UserError
        A process did not start.

    """
    with tempfile.TemporaryDirectory(prefix='pomelogauge-') as folder:
        cluster = Cluster(SPEC, Path(folder))
        with ExitStack() as ending:
            ending.callback(cluster.end)
            return _run(cluster, Path(folder), plan, say)


def bench_faults(
    plan: FaultPlan,
    json_path: str = '',
    say: Callable[[str], None] = print,
) -> None:
    """Run the bench and write its figures.

    Raises
    ------
    BrokenPromiseError
        A promise was broken.

    """
    say(f'seed {plan.seed}')
    figures = run_bench(plan, say)
    if json_path:
        text = json.dumps(asdict(figures), indent=1)
        Path(json_path).write_text(f'{text}\n', encoding='utf-8')
    for breach in figures.breaches:
        say(breach)
    say(str(figures))
    if figures.breaches or figures.lost:
        raise BrokenPromiseError(f'promises were broken, seed {plan.seed}')


def _run(
    cluster: Cluster,
    folder: Path,
    plan: FaultPlan,
    say: Callable[[str], None],
) -> FaultFigures:
    cluster.start_targets()
    manifest = manifest_for(SPEC, replicas=4, span=2)
    publish(cluster, folder, manifest_text(manifest))
    cluster.start_entries()
    time.sleep(CALM_S)
    source = FaultSource(cluster, plan.seed)
    callers = Callers(
        FaultLoad(rate_per_s=plan.rate_per_s, seed=plan.seed), cluster
    )
    callers.start()
    time.sleep(CALM_S)
    _do_faults(source, plan.faults, say)
    time.sleep(CALM_S)
    stuck = callers.stop(END_LIMIT_S)
    return _figures(cluster, plan, callers, source, stuck)


def _do_faults(
    source: FaultSource,
    count: int,
    say: Callable[[str], None],
) -> None:
    """Begin faults at even times and mend each when its time is over."""
    numbers = itertools.count()
    start_s = time.monotonic()
    open_faults: list[tuple[float, int, Fault]] = []
    turns = itertools.count()
    while count:
        _mend_until(open_faults, start_s + next(turns) * GAP_S)
        fault = source.begin()
        if fault is None:
            continue
        count -= 1
        say(f'{time.monotonic() - start_s:7.2f} s  {fault.name}')
        due_s = time.monotonic() + fault.lasts_s
        heapq.heappush(open_faults, (due_s, next(numbers), fault))
    _mend_until(open_faults, float('inf'))


def _mend_until(
    open_faults: list[tuple[float, int, Fault]],
    until_s: float,
) -> None:
    while open_faults and open_faults[0][0] <= until_s:
        due_s, _, fault = heapq.heappop(open_faults)
        time.sleep(max(due_s - time.monotonic(), 0))
        fault.mend()
    if until_s < float('inf'):
        time.sleep(max(until_s - time.monotonic(), 0))


def _figures(
    cluster: Cluster,
    plan: FaultPlan,
    callers: Callers,
    source: FaultSource,
    stuck: int,
) -> FaultFigures:
    attempts = tuple(_drained(callers.attempts))
    wishes = tuple(_drained(callers.wishes))
    evidence = Evidence(
        attempts,
        _engines(cluster),
        _services(cluster),
        frozenset(('status',)),
    )
    breaches: tuple[Breach, ...] = check_requests(evidence)
    served = [wish for wish in wishes if not wish.code]
    return FaultFigures(
        plan.seed,
        plan.faults,
        len(wishes),
        len(served),
        sum(wish.seconds > LATE_S for wish in served),
        stuck + sum(_is_lost(one, source.killed) for one in attempts),
        _by_code(wishes),
        dict(Counter(one.code or 'whole' for one in attempts)),
        tuple(map(str, breaches)),
    )


def _is_lost(attempt: Attempt, killed: set[str]) -> bool:
    """Whether a router that was never killed let a caller down."""
    return attempt.code == 'cut' and attempt.address not in killed


def _by_code(wishes: tuple[Wish, ...]) -> dict[str, int]:
    codes = Counter(
        f'{wish.kind} {wish.code} {wish.execution}'
        for wish in wishes
        if wish.code
    )
    return dict(sorted(codes.items()))


def _engines(cluster: Cluster) -> tuple[EngineSeen, ...]:
    return tuple(
        engine_seen(ready.name, cluster.control.record(ready.address))
        for started in cluster.members
        if started.role is InstanceRole.ENGINE
        for ready in started.process.ready
    )


def _services(cluster: Cluster) -> tuple[ServiceRun, ...]:
    runs: list[ServiceRun] = []
    for started in cluster.members:
        if started.role is InstanceRole.SERVICE:
            ready = started.process.ready[0]
            document = cluster.control.record(ready.address)
            runs.extend(service_runs(ready.name, document))
    return tuple(runs)


def _drained(
    records: 'queue.SimpleQueue[RecordT]',
) -> list[RecordT]:
    return [records.get() for _ in range(records.qsize())]

"""Measures calls that may not be repeated, with the store up and down."""

import tempfile
import time
import uuid
from collections.abc import Callable
from contextlib import ExitStack
from dataclasses import dataclass
from pathlib import Path

from returns.pipeline import is_successful

from ..client import Client
from ..model.topology import InstanceRole
from .cluster import Cluster, ClusterSpec
from .demo import publish
from .manifests import caller_key, manifest_for, manifest_text
from .standin_control import StandinMode

SPEC = ClusterSpec(domains=0, routers=3, controllers=0, services=2)
#: Calls of each case.
CALLS = 200
_READY_LIMIT_S = 20.0
_RETRY_S = 0.1


@dataclass(frozen=True)
class Case:
    """One way to call.

    Parameters
    ----------
    name
        In the output.
    store
        Mode of the platform's stand-in.
    own_key
        The caller brings its own key.
    calls
        How many; fewer where each waits for a time limit.

    """

    name: str
    store: str
    own_key: bool
    calls: int = CALLS


CASES = (
    Case("store up, callers' own keys", 'up', own_key=True),
    Case("store down, callers' own keys", 'down', own_key=True, calls=10),
    Case('store down, keys drawn by the library', 'down', own_key=False),
    Case(
        'store silent, keys drawn by the library',
        'hang',
        own_key=False,
        calls=10,
    ),
)


@dataclass(frozen=True)
class CaseFigures:
    """What came of a case."""

    case: Case
    served: int
    times_s: tuple[float, ...]

    def __str__(self) -> str:
        """Render as one line."""
        times = sorted(self.times_s)
        middle_ms = times[len(times) // 2] * 1000
        last_ms = times[-1] * 1000
        return (
            f'{self.case.name:<42} {self.served:4} of {len(times)} served, '
            f'median {middle_ms:8.2f} ms, longest {last_ms:8.2f} ms'
        )


def bench_once(say: Callable[[str], None] = print) -> None:
    """Run all cases on one installation and print their figures.

    Raises
    ------
    UserError
        A process did not start.

    """
    with tempfile.TemporaryDirectory(prefix='pomelogauge-') as folder:
        cluster = Cluster(SPEC, Path(folder))
        with ExitStack() as ending:
            ending.callback(cluster.end)
            cluster.start_targets()
            publish(cluster, Path(folder), manifest_text(manifest_for(SPEC)))
            cluster.start_entries()
            _await_service(cluster)
            for case in CASES:
                say(str(_measure(cluster, case)))
            cluster.control.set_mode(cluster.platform, StandinMode('up'))
            say(f'runs of one key at most: {_most_runs(cluster)}')


def _client(cluster: Cluster) -> Client:
    routers = cluster.addresses(InstanceRole.ROUTER)
    return Client(routers, caller_key('organisation-0'))


def _await_service(cluster: Cluster) -> None:
    client = _client(cluster)
    give_up_s = time.monotonic() + _READY_LIMIT_S
    while time.monotonic() < give_up_s:
        if is_successful(client.call(SPEC.service, 'status', {})):
            return
        time.sleep(_RETRY_S)


def _measure(cluster: Cluster, case: Case) -> CaseFigures:
    cluster.control.set_mode(cluster.platform, StandinMode(case.store))
    client = _client(cluster)
    times_s: list[float] = []
    served = 0
    for _ in range(case.calls):
        key = uuid.uuid4().hex if case.own_key else ''
        begun_s = time.monotonic()
        served += is_successful(client.call(SPEC.service, 'book', {}, key))
        times_s.append(time.monotonic() - begun_s)
    return CaseFigures(case, served, tuple(times_s))


def _most_runs(cluster: Cluster) -> int:
    runs: dict[str, int] = {}
    for address in cluster.addresses(InstanceRole.SERVICE):
        for run in cluster.control.record(address)['runs']:
            if run['call'] != 'status':
                runs[run['key']] = runs.get(run['key'], 0) + run['count']
    return max(runs.values())

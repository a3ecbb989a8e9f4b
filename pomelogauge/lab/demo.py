"""Runs the whole path once on stand-ins and shows what happened."""

import tempfile
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from pathlib import Path

from returns.pipeline import is_successful
from returns.result import Result

from ..client import Client
from ..model.topology import InstanceRole
from ..wire.caller_responses import CallError, ChatCompletion
from .cluster import Cluster, ClusterSpec
from .manifests import (
    MODEL,
    caller_key,
    manifest_for,
    manifest_text,
    organisation_names,
)
from .processes import Command, ProcessError

#: Seconds until the first answer must have come.
SERVING_LIMIT_S = 30.0
#: Requests that the demo sends.
REQUESTS = 6
_PUBLISH_LIMIT_S = 20.0
_RETRY_S = 0.2

SPEC = ClusterSpec(data_centres=('north', 'south'), routers=1, controllers=1)


@dataclass(frozen=True)
class Line:
    """One row of the demo's table."""

    step: str
    outcome: str
    seconds: float

    def __str__(self) -> str:
        """Render with fixed columns."""
        return f'{self.step:<34} {self.outcome:<52} {self.seconds:7.3f} s'


def run_demo(say: Callable[[str], None] = print) -> None:
    """Start stand-ins, routers and controllers, and send requests.

    Raises
    ------
    UserError
        A process did not start, or nothing was served in time.

    """
    with tempfile.TemporaryDirectory(prefix='pomelogauge-') as folder:
        cluster = Cluster(SPEC, Path(folder))
        try:
            for line in _lines(cluster, Path(folder)):
                say(str(line))
        except KeyboardInterrupt:
            say('interrupted; all processes are ended')
        finally:
            cluster.end()


def publish(cluster: Cluster, folder: Path, text: str) -> None:
    """Publish a manifest by the operators' command.

    Raises
    ------
    ProcessError
        The command refused it.

    """
    path = folder / 'manifest.json'
    path.write_text(text, encoding='utf-8')
    arguments = ('publish', str(path), '--platform', cluster.platform)
    process = cluster.processes.start(Command('publish', arguments))
    if process.wait(_PUBLISH_LIMIT_S).value_or(1):
        raise ProcessError(f'publish failed: {process.last_log_lines()}')


def _lines(cluster: Cluster, folder: Path) -> Iterator[Line]:
    yield _timed('start platform and targets', cluster.start_targets)
    text = manifest_text(manifest_for(SPEC, replicas=2))
    yield _timed('publish a manifest', lambda: publish(cluster, folder, text))
    yield _timed('start routers and controllers', cluster.start_entries)
    yield _first_answer(cluster)
    for number in range(REQUESTS):
        yield _chat(cluster, number)
    yield from _calls(cluster)


def _client(cluster: Cluster, number: int = 0) -> Client:
    names = organisation_names(2)
    key = caller_key(names[number % len(names)])
    return Client(cluster.addresses(InstanceRole.ROUTER), key)


def _timed(step: str, work: Callable[[], None]) -> Line:
    begun_s = time.monotonic()
    work()
    return Line(step, 'done', time.monotonic() - begun_s)


def _first_answer(cluster: Cluster) -> Line:
    """Ask until the first replica serves."""
    begun_s = time.monotonic()
    client = _client(cluster)
    while time.monotonic() - begun_s < SERVING_LIMIT_S:
        outcome = client.chat(MODEL, 'Is anyone there?', max_tokens=2)
        if is_successful(outcome):
            passed_s = time.monotonic() - begun_s
            return Line('wait for the first replica', 'serving', passed_s)
        time.sleep(_RETRY_S)
    raise ProcessError(f'nothing serves: {outcome.failure().message}')


def _chat(cluster: Cluster, number: int) -> Line:
    begun_s = time.monotonic()
    client = _client(cluster, number)
    outcome = client.chat(MODEL, f'Quote for shoe {number}', max_tokens=16)
    passed_s = time.monotonic() - begun_s
    return Line(f'chat {number}', _said(outcome), passed_s)


def _said(outcome: Result[ChatCompletion, CallError]) -> str:
    if not is_successful(outcome):
        error = outcome.failure()
        return f'{error.code} ({error.execution})'
    answer = outcome.unwrap()
    count = len(answer.token_times_s)
    first_ms = answer.first_token_s * 1000
    return f'{count} tokens, first after {first_ms:.1f} ms'


def _calls(cluster: Cluster) -> Iterator[Line]:
    client = _client(cluster)
    for call in ('book', 'status'):
        begun_s = time.monotonic()
        outcome = client.call(SPEC.service, call, {'shoe': 1})
        said = 'answered'
        if not is_successful(outcome):
            said = outcome.failure().code
        yield Line(f'call {call}', said, time.monotonic() - begun_s)

"""Steps of operators: publications, data centres and leaving instances."""

from returns.pipeline import is_successful

from ..app.connections import open_platform
from ..app.publish import publish_manifest
from ..model.phase import NodePhase
from ..tables.configuration_store import ConfigurationStore
from .manifests import manifest_for, manifest_text
from .processes import Command, Process
from .record import VersionPublished
from .steps import VOCABULARY, StepError
from .targets import find
from .waiting import stays, wait_until
from .world import ORGANISATIONS, World

_COMMAND_LIMIT_S = 20.0
_PLATFORM_TIMEOUT_S = 2.0
_PUBLISHED = 'published version '


@VOCABULARY.step(
    'a manifest with {int} replica(s) of {int} instance(s) is published'
)
def publish(world: World, replicas: int, span: int) -> None:
    """Publish a manifest; it must be accepted."""
    _publish(world, replicas, span)


@VOCABULARY.step(
    'a manifest with {int} replica(s) of {int} instance(s) that ignore the '
    'fence is published'
)
def publish_without_fence(world: World, replicas: int, span: int) -> None:
    """Publish a manifest for engines that ignore the fencing number."""
    _publish(world, replicas, span, checks_fence=False)


@VOCABULARY.step(
    'two operators publish {int} and {int} replicas of {int} instance(s) '
    'at once'
)
def race(world: World, first: int, second: int, span: int) -> None:
    """Start two publications; at least one must be accepted."""
    racing = [
        _start_publication(world, replicas, span)
        for replicas in (first, second)
    ]
    accepted = [_accepted(world, process) for process in racing]
    if not any(accepted):
        raise StepError('both publications were refused')


@VOCABULARY.step('data centre {word} is drained')
def drain(world: World, data_centre: str) -> None:
    """Take a data centre out of service."""
    _change(world, 'drain', data_centre)


@VOCABULARY.step('data centre {word} is returned')
def bring_back(world: World, data_centre: str) -> None:
    """Bring a data centre back into service."""
    _change(world, 'return', data_centre)


@VOCABULARY.step('{target} is marked as leaving')
def mark_leaving(world: World, target: str) -> None:
    """Let the platform announce that an instance goes away."""
    found = find(world, target)
    control = world.cluster.control
    control.mark_leaving(world.cluster.platform, found.ready.name)
    world.note('leaving', found.ready.name)


@VOCABULARY.step('version {int} is in force everywhere within {float} s')
def in_force(world: World, version: int, limit_s: float) -> None:
    """Wait until all running routers and controllers report a version."""
    wait_until(lambda: _behind(world, version), limit_s)


@VOCABULARY.step('version {int} stays in force everywhere for {float} s')
def stays_in_force(world: World, version: int, for_s: float) -> None:
    """See that no process reports an older version."""
    stays(lambda: _behind(world, version), for_s)


@VOCABULARY.step('{target} is ready within {float} s')
def is_ready(world: World, target: str, limit_s: float) -> None:
    """Wait until a router or controller takes new work."""
    wait_until(lambda: _not_in_phase(world, target, NodePhase.READY), limit_s)


@VOCABULARY.step('{target} takes no new work within {float} s')
def is_cut_off(world: World, target: str, limit_s: float) -> None:
    """Wait until a process that can't confirm its version says so."""
    phase = NodePhase.CUT_OFF
    wait_until(lambda: _not_in_phase(world, target, phase), limit_s)


def _publish(
    world: World,
    replicas: int,
    span: int,
    *,
    checks_fence: bool = True,
) -> None:
    """Publish as the operators' command does, without its process."""
    publisher = f'operator-{world.number()}'
    manifest = manifest_for(
        world.cluster.spec,
        replicas,
        span,
        ORGANISATIONS,
        checks_fence=checks_fence,
    )
    platform = open_platform(world.cluster.platform, _PLATFORM_TIMEOUT_S)
    store = ConfigurationStore(platform)
    published = publish_manifest(store, manifest, publisher)
    at_s = world.recorder.now_s()
    world.recorder.post(VersionPublished(at_s, published.version, publisher))


def _start_publication(world: World, replicas: int, span: int) -> Process:
    number = world.number()
    cluster = world.cluster
    manifest = manifest_for(cluster.spec, replicas, span, ORGANISATIONS)
    path = world.folder / f'manifest-{number}.json'
    path.write_text(manifest_text(manifest), encoding='utf-8')
    arguments = ('publish', str(path), *_operator(world, number))
    command = Command(f'publish-{number}', arguments)
    return cluster.processes.start(command)


def _operator(world: World, number: int) -> tuple[str, ...]:
    return (
        '--platform',
        world.cluster.platform,
        '--publisher',
        f'operator-{number}',
    )


def _accepted(world: World, process: Process) -> bool:
    """Wait for a publication, record it and tell whether it was accepted."""
    ended = process.wait(_COMMAND_LIMIT_S)
    if not is_successful(ended):
        raise StepError(str(ended.failure()))
    if ended.unwrap():
        world.note('refused', process.command.name, process.last_log_lines())
        return False
    line = process.next_line()
    version = int(line.removeprefix(_PUBLISHED))
    at_s = world.recorder.now_s()
    publisher = process.command.name
    world.recorder.post(VersionPublished(at_s, version, publisher))
    return True


def _change(world: World, verb: str, data_centre: str) -> None:
    number = world.number()
    arguments = ('dc', verb, data_centre, *_operator(world, number))
    command = Command(f'dc-{verb}-{number}', arguments)
    process = world.cluster.processes.start(command)
    if process.wait(_COMMAND_LIMIT_S).value_or(1):
        raise StepError(f'refused: {process.last_log_lines()}')
    world.note(verb, data_centre, process.next_line())


def _behind(world: World, version: int) -> str:
    statuses = world.nodes()
    expected = len(world.cluster.peer_addresses())
    behind = [
        f'{status.sender.node} has {status.sender.version}'
        for status in statuses
        if status.sender.version < version
    ]
    if len(statuses) < expected:
        behind.append(f'{expected - len(statuses)} do not answer')
    return ', '.join(behind)


def _not_in_phase(world: World, target: str, phase: NodePhase) -> str:
    name = find(world, target).name
    for status in world.nodes():
        if status.sender.node == name:
            found = status.sender.phase
            return '' if found is phase else f'{name} is {found}'
    return f'{name} does not answer'

"""Steps that start, stop and pause processes."""

from collections.abc import Iterator
from dataclasses import fields
from typing import Any

from returns.pipeline import is_successful

from ..model.topology import InstanceRole
from .cluster import ClusterSpec
from .collect import collect_from
from .steps import VOCABULARY, StepError, Table
from .targets import Found, data_centre_of, find
from .waiting import wait_until
from .world import ENTRY_ROLES, World

# Links can only be cut where the daemons allow it.
_DAEMON_FLAGS = ('--allow-cuts',)
_FLAGS = 'flags'


def spec_faults(table: Table) -> tuple[str, ...]:
    """Say what is wrong with a table of an installation."""
    known = {field.name for field in fields(ClusterSpec)}
    unknown = tuple(
        f'an installation has no {name!r}'
        for name in table
        if name not in known
    )
    return unknown or tuple(_value_faults(table))


@VOCABULARY.step('an installation:', spec_faults)
def start_installation(world: World, table: Table) -> None:
    """Start the platform and the targets."""
    found = {name: _parse(name, text) for name, text in table.items()}
    for name in ('router_flags', 'controller_flags'):
        found[name] = (*found.get(name, ()), *_DAEMON_FLAGS)
    world.start(ClusterSpec(**found))


@VOCABULARY.step('routers and controllers run')
def start_entries(world: World) -> None:
    """Start the routers and controllers."""
    world.cluster.start_entries()
    world.watch()


@VOCABULARY.step('{target} is killed')
def kill(world: World, target: str) -> None:
    """End a process without a word."""
    found = find(world, target)
    # What a stand-in has recorded ends with it.
    at_s = world.recorder.now_s()
    for event in collect_from(world.cluster, found.started, at_s):
        world.recorder.post(event)
    found.started.process.kill()
    world.note('kill', found.name)


@VOCABULARY.step('{target} is paused')
def pause(world: World, target: str) -> None:
    """Stop a process until it goes on."""
    found = find(world, target)
    found.started.process.pause()
    world.note('pause', found.name)


@VOCABULARY.step('{target} goes on')
def resume(world: World, target: str) -> None:
    """Let a paused process go on."""
    found = find(world, target)
    found.started.process.resume()
    world.note('resume', found.name)


@VOCABULARY.step('{target} is told to end')
def terminate(world: World, target: str) -> None:
    """Ask a process to shut down gracefully."""
    found = find(world, target)
    found.started.process.terminate()
    world.note('terminate', found.name)


@VOCABULARY.step('{target} has ended within {float} s')
def has_ended(world: World, target: str, limit_s: float) -> None:
    """Wait for the end of a process and its exit code."""
    process = find(world, target).started.process
    ended = process.wait(limit_s)
    if not is_successful(ended):
        raise StepError(str(ended.failure()))
    code = ended.unwrap()
    if code:
        raise StepError(f'exit code {code}: {process.last_log_lines()}')


@VOCABULARY.step('{target} starts again')
def start_again(world: World, target: str) -> None:
    """Start a router or controller of the same name."""
    found = find(world, target)
    if found.started.role not in ENTRY_ROLES:
        raise StepError(f'{found.name} is neither router nor controller')
    _start(world, found, _number(found))


@VOCABULARY.step('{target} gets a neighbour')
def start_neighbour(world: World, target: str) -> None:
    """Start one more router or controller beside another."""
    found = find(world, target)
    _start(world, found, len(world.cluster.members))


@VOCABULARY.step('{int} replica(s) serve(s) within {float} s')
def replicas_serve(world: World, count: int, limit_s: float) -> None:
    """Wait until the members' own reports make up so many replicas."""
    wait_until(lambda: _missing_replicas(world, count), limit_s)


@VOCABULARY.step('{int} replica(s) serve(s) in {word} within {float} s')
def replicas_serve_in(
    world: World,
    count: int,
    data_centre: str,
    limit_s: float,
) -> None:
    """Wait until one data centre has so many replicas."""
    wait_until(lambda: _missing_replicas(world, count, data_centre), limit_s)


@VOCABULARY.step('another controller holds every lease within {float} s')
def taken_over(world: World, limit_s: float) -> None:
    """Wait until the process named last holds no lease any more."""
    former = find(world, 'it').name
    wait_until(lambda: _still_held(world, former), limit_s)


def complete_replicas(world: World, data_centre: str = '') -> frozenset[str]:
    """Return the replicas whose members all report them, ready."""
    reports = {report.instance: report for report in world.engines()}
    return frozenset(
        row.replica
        for row in world.rows.replicas()
        if all(
            (seen := reports.get(member)) is not None
            and seen.state == 'ready'
            and (seen.replica, seen.epoch) == (row.replica, row.epoch)
            and data_centre in {'', data_centre_of(world, member)}
            for member in row.members
        )
    )


def _missing_replicas(world: World, count: int, data_centre: str = '') -> str:
    found = len(complete_replicas(world, data_centre))
    serving = {
        view.replica.replica
        for status in world.nodes()
        if status.sender.role is InstanceRole.CONTROLLER
        for view in status.views
        if view.serving
    }
    if found >= count and len(serving) >= count:
        return ''
    return f'{found} replicas are complete, {len(serving)} serve'


def _still_held(world: World, former: str) -> str:
    leases = world.rows.leases()
    held = [lease.shard for lease in leases if lease.holder == former]
    if held or not leases:
        return f'{former} holds {held} of {len(leases)} leases'
    return ''


def _start(world: World, found: Found, number: int) -> None:
    started = world.cluster.start_entry(
        found.started.role, found.started.data_centre, number
    )
    world.cluster.await_and_list(started)
    world.watch()
    world.note('start', started.process.command.name)


def _number(found: Found) -> int:
    return int(found.name.rpartition('-')[2])


def _value_faults(table: Table) -> Iterator[str]:
    for name, text in table.items():
        try:
            _parse(name, text)
        except ValueError as exc:
            yield f'{name}: {exc}'


def _parse(name: str, text: str) -> Any:
    if name.endswith(_FLAGS):
        return tuple(text.split())
    if name == 'data_centres':
        return tuple(word.strip() for word in text.split(','))
    if name == 'shared_engine_process':
        return text == 'true'
    return text if name == 'service' else int(text)

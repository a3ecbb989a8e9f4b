"""Steps that make and end faults of stand-ins and links."""

from collections.abc import Iterator

from ..model.ids import Address
from ..model.topology import InstanceRole
from .processes import Ready
from .standin_control import StandinMode
from .steps import VOCABULARY, StepError
from .targets import Found, find
from .world import ENTRY_ROLES, World

_PLATFORM = 'platform'


@VOCABULARY.step('the store is {word}')
def store_mode(world: World, mode: str) -> None:
    """Turn the platform ``up`` or ``down``, or let it ``hang``."""
    _set_platform(world, StandinMode(mode))


@VOCABULARY.step('the store is slow by {float} s')
def store_slow(world: World, delay_s: float) -> None:
    """Delay every call to the platform."""
    _set_platform(world, StandinMode('slow', delay_s=delay_s))


@VOCABULARY.step('the store loses the answer to the next write')
def store_loses_answer(world: World) -> None:
    """Lose the answer to one write that took effect."""
    _set_platform(world, StandinMode('lose_answer', count=1))


@VOCABULARY.step('the store loses the answer to the next write of {word}')
def store_loses_answer_of(world: World, table: str) -> None:
    """Lose the answer to one write of a table that took effect."""
    _set_platform(world, StandinMode('lose_answer', count=1, table=table))


@VOCABULARY.step('{target} turns {word}')
def target_mode(world: World, target: str, mode: str) -> None:
    """Set the mode of one engine or service, such as ``cold`` or ``up``."""
    found = find(world, target)
    world.cluster.control.set_mode(found.ready.address, StandinMode(mode))
    world.note('mode', found.ready.name, mode)


@VOCABULARY.step('{target} turns slow by {float}')
def target_slow(world: World, target: str, factor: float) -> None:
    """Make an engine take so many times as long."""
    found = find(world, target)
    mode = StandinMode('slow', factor=factor)
    world.cluster.control.set_mode(found.ready.address, mode)
    world.note('mode', found.ready.name, f'slow by {factor:g}')


@VOCABULARY.step('every service turns {word} for {int} call(s)')
def service_mode(world: World, mode: str, count: int) -> None:
    """Set the mode of the plain services for some calls each."""
    for address in world.cluster.addresses(InstanceRole.SERVICE):
        world.cluster.control.set_mode(address, StandinMode(mode, count=count))
    world.note('mode', 'services', mode)


@VOCABULARY.step('every service answers {float} s late for {int} call(s)')
def service_late(world: World, delay_s: float, count: int) -> None:
    """Let the plain services run calls at once and answer them late."""
    mode = StandinMode('slow', delay_s=delay_s, count=count)
    for address in world.cluster.addresses(InstanceRole.SERVICE):
        world.cluster.control.set_mode(address, mode)
    world.note('mode', 'services', mode.mode)


@VOCABULARY.step('{target} is cut off from the platform')
def cut_platform(world: World, target: str) -> None:
    """Cut one process's link to the platform."""
    found = find(world, target)
    world.cluster.control.block_links(world.cluster.platform, (found.name,))
    world.note('cut', found.name, _PLATFORM)


@VOCABULARY.step('{target} is cut off from all other routers and controllers')
def cut_peers(world: World, target: str) -> None:
    """Cut one process's links to its peers, in both directions."""
    found = find(world, target)
    names = [
        name
        for ready in _entries(world)
        if ready.name != found.name
        for name in (ready.name, ready.peer_address)
    ]
    world.set_cuts(found.ready.peer_address, tuple(names))
    world.note('cut', found.name, 'peers')


@VOCABULARY.step('the link from {target} to {target} is cut')
def cut_link(world: World, target: str, other: str) -> None:
    """Cut the link of a process to a target or another process."""
    found = find(world, target)
    far = find(world, other)
    if far.started.role in ENTRY_ROLES:
        names = (far.ready.name, far.ready.peer_address)
        world.set_cuts(found.ready.peer_address, names)
    else:
        world.cluster.control.block_links(far.ready.address, (found.name,))
    world.note('cut', found.name, far.ready.name)


@VOCABULARY.step('all links are healed')
def heal(world: World) -> None:
    """End all cuts."""
    world.cluster.control.block_links(world.cluster.platform, ())
    for started in world.cluster.members:
        if started.process.alive:
            for ready in started.process.ready:
                _heal(world, Found(started, ready))
    world.note('heal', 'links')


def _entries(world: World) -> Iterator[Ready]:
    """Yield the ready lines of all routers and controllers."""
    for started in world.cluster.members:
        if started.role in ENTRY_ROLES:
            yield from started.process.ready


def _heal(world: World, found: Found) -> None:
    if found.started.role in ENTRY_ROLES:
        world.set_cuts(found.ready.peer_address, ())
    else:
        world.cluster.control.block_links(Address(found.ready.address), ())


def _set_platform(world: World, mode: StandinMode) -> None:
    if mode.mode not in {'up', 'down', 'hang', 'slow', 'lose_answer'}:
        raise StepError(f'the store has no mode {mode.mode}')
    world.cluster.control.set_mode(world.cluster.platform, mode)
    world.note('mode', _PLATFORM, mode.mode)

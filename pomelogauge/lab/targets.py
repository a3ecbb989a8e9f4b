"""Finds the processes that steps name."""

from dataclasses import dataclass

from .cluster import Started
from .processes import Ready
from .record import EngineSeen
from .steps import StepError
from .world import World


@dataclass(frozen=True)
class Found:
    """A process and the ready line that was meant."""

    started: Started
    ready: Ready

    @property
    def name(self) -> str:
        """Name of the process."""
        return self.started.process.command.name


def find(world: World, target: str) -> Found:
    """Return the process or instance that a step names.

    Parameters
    ----------
    world
        Where to look.
    target
        Its name, ``it`` for the one named last, or a role that is filled
        when the step runs.

    Raises
    ------
    StepError
        There is none.

    """
    name = _name(world, target)
    for started in reversed(world.cluster.members):
        for ready in started.process.ready:
            if name in {ready.name, started.process.command.name}:
                world.last_found = name
                return Found(started, ready)
    raise StepError(f'no process is named {name}')


def data_centre_of(world: World, instance: str) -> str:
    """Return where an instance stands, also one that has ended."""
    for started in world.cluster.members:
        if any(ready.name == instance for ready in started.process.ready):
            return started.data_centre
    raise StepError(f'no instance is named {instance}')


def _name(world: World, target: str) -> str:
    match target:
        case 'it':
            return world.last_found
        case 'the serving leader':
            return _serving_leader(world).instance
        case 'a serving follower':
            return _serving_follower(world)
        case 'the lease holder':
            return _lease_holder(world)
    return target


def _serving_leader(world: World) -> EngineSeen:
    """Return the leader that has most to do."""
    leaders = [
        report
        for report in world.engines()
        if report.state == 'ready' and report.rank == 0
    ]
    if not leaders:
        raise StepError('no engine serves')
    return max(leaders, key=lambda report: report.running)


def _serving_follower(world: World) -> str:
    """Return a member of the same replica that does not lead."""
    replica = _serving_leader(world).replica
    for report in world.engines():
        if report.replica == replica and report.rank > 0:
            return report.instance
    raise StepError(f'replica {replica} has no follower')


def _lease_holder(world: World) -> str:
    """Return who holds the lease of the replica that has most to do."""
    replica = _serving_leader(world).replica
    shards = {
        row.shard for row in world.rows.replicas() if row.replica == replica
    }
    for lease in world.rows.leases():
        if lease.shard in shards and lease.holder:
            return lease.holder
    raise StepError(f'nobody holds the lease of replica {replica}')

"""The states of the replicas of one shard in the replica chart."""

import logging
from collections.abc import Collection
from dataclasses import dataclass, replace

from ..decide.engine_observation import EngineObservations
from ..decide.replica_chart import (
    ReplicaAction,
    ReplicaChart,
    ReplicaEvent,
    ReplicaFacts,
)
from ..decide.replica_check import ReplicaCheck, assess, is_drained
from ..model.ids import ReplicaId
from ..model.placement import Replica
from ..model.times import ControlTimes
from .clock import Clock

_log = logging.getLogger(__name__)


@dataclass(frozen=True)
class _Machine:
    """State of one replica.

    Parameters
    ----------
    replica
        The replica with its state in the chart.
    since_s
        Monotonic time when it entered the state or when a release was last
        due.
    formed
        Formed under the present lease rather than adopted.
    release_tried
        A write that releases the rows was sent and may have taken effect.

    """

    replica: Replica
    since_s: float
    formed: bool
    release_tried: bool = False


class ReplicaMachines:
    """Steps the replica chart; part of the shard owner's task.

    Parameters
    ----------
    chart
        State chart ``replica``.
    observations
        Observations of the members, updated by the owner between checks.
    times
        Time-outs and bounds of draining.
    clock
        Monotonic clock of this process.

    """

    def __init__(
        self,
        chart: ReplicaChart,
        observations: EngineObservations,
        times: ControlTimes,
        clock: Clock,
    ) -> None:
        """Start without replicas."""
        #: Replicas that the configuration no longer calls for.
        self.unwanted: frozenset[ReplicaId] = frozenset()
        self._chart = chart
        self._observations = observations
        self._times = times
        self._clock = clock
        self._machines: dict[ReplicaId, _Machine] = {}

    def replicas(self) -> tuple[Replica, ...]:
        """Return the replicas with their states."""
        return tuple(machine.replica for machine in self._machines.values())

    def formed(self) -> frozenset[ReplicaId]:
        """Return the names of the replicas formed under the present lease."""
        return frozenset(
            name for name, machine in self._machines.items() if machine.formed
        )

    def replica(self, name: ReplicaId) -> Replica:
        """Return one replica with its state."""
        return self._machines[name].replica

    def has(self, name: ReplicaId) -> bool:
        """Return whether a replica is known."""
        return name in self._machines

    def add(self, replica: Replica, *, formed: bool) -> None:
        """Add a replica in the chart's initial state."""
        claimed = replace(replica, state=self._chart.initial)
        self._machines[replica.replica] = _Machine(
            claimed, self._clock.now_s(), formed
        )

    def update_row_version(self, row: Replica) -> None:
        """Update the row version of a known replica from a scan."""
        machine = self._machines[row.replica]
        replica = replace(machine.replica, version=row.version)
        self._machines[row.replica] = replace(machine, replica=replica)

    def retain(self, existing: Collection[ReplicaId]) -> None:
        """Drop all replicas except those whose rows still exist."""
        for dropped in self._machines.keys() - existing:
            self.step(dropped, ReplicaEvent.RELEASED, held=True)
            self._machines.pop(dropped)

    def clear(self) -> None:
        """Drop all replicas."""
        self._machines.clear()

    def note_release(self, name: ReplicaId, *, tried: bool) -> None:
        """Record that a release was due now, and whether it was sent."""
        machine = self._machines[name]
        self._machines[name] = replace(
            machine,
            since_s=self._clock.now_s(),
            release_tried=machine.release_tried or tried,
        )

    def check(self, name: ReplicaId) -> ReplicaEvent | None:
        """Return the most urgent event of a replica; ``None`` for none."""
        return assess(self._case(self._machines[name]), self._times)

    def step(
        self,
        name: ReplicaId,
        event: ReplicaEvent,
        *,
        held: bool,
    ) -> ReplicaAction | None:
        """Step a replica and return what the owner has to do.

        Parameters
        ----------
        name
            The replica.
        event
            Event of the chart.
        held
            The lease of the shard is held.

        """
        machine = self._machines[name]
        facts = ReplicaFacts(
            is_drained(self._case(machine), self._times),
            held,
            machine.release_tried,
        )
        move = self._chart.step(machine.replica.state, event, facts)
        if move.state != machine.replica.state:
            _log.info(
                'replicas: %s is now %s after %s', name, move.state, event
            )
            self._machines[name] = replace(
                machine,
                replica=replace(machine.replica, state=move.state),
                since_s=self._clock.now_s(),
            )
        return move.action

    def _case(self, machine: _Machine) -> ReplicaCheck:
        return ReplicaCheck(
            machine.replica,
            machine.since_s,
            machine.replica.replica not in self.unwanted,
            self._observations,
            self._clock.now_s(),
        )

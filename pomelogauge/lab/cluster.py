"""A small installation on one machine: stand-ins, routers and controllers."""

from pathlib import Path

from ..model.ids import Address
from ..model.topology import InstanceRole
from .cluster_spec import ClusterSpec, Started
from .launcher import Launcher
from .processes import Command, ProcessSet
from .standin_control import StandinControl

__all__ = ('Cluster', 'ClusterSpec', 'Started')

_PLATFORM = 'platform'


class Cluster:
    """Processes of one installation; belongs to one tool's thread.

    Parameters
    ----------
    spec
        What is started.
    folder
        Where logs go.

    """

    def __init__(self, spec: ClusterSpec, folder: Path) -> None:
        """Start nothing yet."""
        self.spec = spec
        self.control = StandinControl()
        self.members: list[Started] = []
        self.processes = ProcessSet(folder)
        self._launcher = Launcher(spec, self.processes)

    @property
    def platform(self) -> Address:
        """Address of the platform's stand-in."""
        return self.processes.find(_PLATFORM).ready[0].address

    def start_platform(self) -> None:
        """Start the platform."""
        flags = self.spec.platform_flags
        command = Command(_PLATFORM, ('standin', _PLATFORM, *flags))
        self.processes.start(command).await_ready()

    def start_targets(self) -> None:
        """Start the platform, the engines and the plain services."""
        self.start_platform()
        self._await_and_list(self._launcher.targets())

    def start_entries(self) -> None:
        """Start the routers and controllers."""
        self._await_and_list(self._launcher.entries(self.platform))

    def start_rest(self) -> None:
        """Start all but the platform at once."""
        self._await_and_list(
            [*self._launcher.targets(), *self._launcher.entries(self.platform)]
        )

    def start_entry(
        self,
        role: InstanceRole,
        data_centre: str,
        number: int,
    ) -> Started:
        """Start one router or controller without waiting for it."""
        return self._launcher.entry(role, data_centre, number, self.platform)

    def await_and_list(self, started: Started) -> None:
        """Wait for a process and put it on the platform's list."""
        self._await_and_list([started])

    def addresses(self, role: InstanceRole) -> tuple[Address, ...]:
        """Return the addresses of all running processes of a role."""
        return tuple(
            ready.address
            for started in self.members
            if started.role is role and started.process.alive
            for ready in started.process.ready
        )

    def peer_addresses(self) -> tuple[Address, ...]:
        """Return the gRPC addresses of running routers and controllers."""
        return tuple(
            ready.peer_address
            for started in self.members
            if started.process.alive
            for ready in started.process.ready
            if ready.peer_address
        )

    def end(self) -> None:
        """End all processes."""
        self.processes.end_all()

    def kill(self) -> None:
        """End all processes at once, without their graceful shutdown."""
        self.processes.kill_all()

    def _await_and_list(self, fresh: list[Started]) -> None:
        for started in fresh:
            started.process.await_ready()
        self.members.extend(fresh)
        listed = tuple(entry for one in fresh for entry in one.instances())
        self.control.list_instances(self.platform, listed)

"""A small installation on one machine: stand-ins, routers and controllers."""

from dataclasses import dataclass
from itertools import product
from pathlib import Path

from ..model.ids import (
    Address,
    DataCentreName,
    DomainName,
    InstanceName,
    ServiceName,
)
from ..model.topology import Instance, InstanceRole
from .processes import Command, Process, ProcessSet, Ready
from .standin_control import StandinControl

#: Accelerators of one model instance.
ACCELERATORS = 8
_PLATFORM = 'platform'


@dataclass(frozen=True)
class ClusterSpec:
    """What an installation consists of.

    Parameters
    ----------
    data_centres
        Names; every data centre is alike.
    domains
        Fabric domains in each data centre.
    engines
        Model instances in each fabric domain.
    routers, controllers
        Of each kind, in each data centre.
    services
        Instances of the plain service in each data centre.
    service
        Name of the plain service.
    engine_flags, router_flags, controller_flags, platform_flags
        Further flags of each kind.
    shared_engine_process
        The engines of one domain share a process, for many light engines.

    """

    data_centres: tuple[str, ...] = ('north',)
    domains: int = 1
    engines: int = 4
    routers: int = 2
    controllers: int = 2
    services: int = 1
    service: str = 'booking'
    engine_flags: tuple[str, ...] = ()
    router_flags: tuple[str, ...] = ()
    controller_flags: tuple[str, ...] = ()
    platform_flags: tuple[str, ...] = ()
    shared_engine_process: bool = False


@dataclass(frozen=True)
class Started:
    """A process and where it stands.

    Parameters
    ----------
    role
        What it runs.
    data_centre, domain
        Where it stands.
    process
        The process.

    """

    role: InstanceRole
    data_centre: str
    process: Process
    domain: str = ''
    service: str = ''

    def instances(self) -> tuple[Instance, ...]:
        """Return its entries for the platform's instance list."""
        return tuple(self._instance(ready) for ready in self.process.ready)

    def _instance(self, ready: Ready) -> Instance:
        engine = self.role is InstanceRole.ENGINE
        return Instance(
            InstanceName(ready.name),
            self.role,
            ready.address,
            DataCentreName(self.data_centre),
            DomainName(self.domain),
            ACCELERATORS if engine else 0,
            service=ServiceName(self.service),
            peer_address=ready.peer_address,
        )


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

    @property
    def platform(self) -> Address:
        """Address of the platform's stand-in."""
        return self.processes.find(_PLATFORM).ready[0].address

    def start_targets(self) -> None:
        """Start the platform, the engines and the plain services."""
        flags = self.spec.platform_flags
        command = Command(_PLATFORM, ('standin', _PLATFORM, *flags))
        self.processes.start(command).await_ready()
        fresh = [
            started
            for data_centre in self.spec.data_centres
            for started in self._targets_of(data_centre)
        ]
        self._await_and_list(fresh)

    def start_entries(self) -> None:
        """Start the routers and controllers."""
        counts = (
            (InstanceRole.CONTROLLER, self.spec.controllers),
            (InstanceRole.ROUTER, self.spec.routers),
        )
        fresh: list[Started] = []
        for data_centre, (role, count) in product(
            self.spec.data_centres,
            counts,
        ):
            fresh.extend(
                self.start_entry(role, data_centre, number)
                for number in range(count)
            )
        self._await_and_list(fresh)

    def start_entry(
        self,
        role: InstanceRole,
        data_centre: str,
        number: int,
    ) -> Started:
        """Start one router or controller without waiting for it."""
        name = f'{data_centre}-{role}-{number}'
        flags = self.spec.router_flags
        if role is InstanceRole.CONTROLLER:
            flags = self.spec.controller_flags
        arguments = (
            str(role),
            '--node',
            name,
            '--data-centre',
            data_centre,
            '--platform',
            self.platform,
            *flags,
        )
        process = self.processes.start(Command(name, arguments))
        return Started(role, data_centre, process)

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

    def _targets_of(self, data_centre: str) -> list[Started]:
        started = [
            engine
            for number in range(self.spec.domains)
            for engine in self._engines_of(data_centre, f'domain-{number}')
        ]
        for number in range(self.spec.services):
            started.append(self._start_service(data_centre, number))
        return started

    def _engines_of(self, data_centre: str, domain: str) -> list[Started]:
        prefix = f'{data_centre}-{domain}-engine'
        if self.spec.shared_engine_process:
            return [self._start_engine(data_centre, domain, prefix, 0)]
        return [
            self._start_engine(data_centre, domain, prefix, number)
            for number in range(self.spec.engines)
        ]

    def _start_engine(
        self,
        data_centre: str,
        domain: str,
        prefix: str,
        number: int,
    ) -> Started:
        count = self.spec.engines if self.spec.shared_engine_process else 1
        arguments = (
            'standin',
            'engine',
            '--name-prefix',
            f'{prefix}-{number}',
            '--count',
            str(count),
            *self.spec.engine_flags,
        )
        command = Command(f'{prefix}-{number}', arguments, count)
        process = self.processes.start(command)
        return Started(InstanceRole.ENGINE, data_centre, process, domain)

    def _start_service(self, data_centre: str, number: int) -> Started:
        service = self.spec.service
        name = f'{data_centre}-{service}-{number}'
        arguments = ('standin', 'service', '--name', name)
        process = self.processes.start(Command(name, arguments))
        return Started(
            InstanceRole.SERVICE,
            data_centre,
            process,
            service=service,
        )

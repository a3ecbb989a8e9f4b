"""Starts the processes of an installation without waiting for them."""

from itertools import product

from ..model.ids import Address
from ..model.topology import InstanceRole
from .cluster_spec import ClusterSpec, Started
from .processes import Command, ProcessSet


class Launcher:
    """Knows the command of every process of an installation.

    Parameters
    ----------
    spec
        What is started.
    processes
        Takes the processes.

    """

    def __init__(self, spec: ClusterSpec, processes: ProcessSet) -> None:
        """Start nothing yet."""
        self._spec = spec
        self._processes = processes

    def targets(self) -> list[Started]:
        """Start the engines and the plain services."""
        return [
            started
            for data_centre in self._spec.data_centres
            for started in self._targets_of(data_centre)
        ]

    def entries(self, platform: Address) -> list[Started]:
        """Start the routers and controllers."""
        counts = (
            (InstanceRole.CONTROLLER, self._spec.controllers),
            (InstanceRole.ROUTER, self._spec.routers),
        )
        fresh: list[Started] = []
        for data_centre, (role, count) in product(
            self._spec.data_centres,
            counts,
        ):
            fresh.extend(
                self.entry(role, data_centre, number, platform)
                for number in range(count)
            )
        return fresh

    def entry(
        self,
        role: InstanceRole,
        data_centre: str,
        number: int,
        platform: Address,
    ) -> Started:
        """Start one router or controller."""
        name = f'{data_centre}-{role}-{number}'
        flags = self._spec.router_flags
        if role is InstanceRole.CONTROLLER:
            flags = self._spec.controller_flags
        arguments = (
            str(role),
            '--node',
            name,
            '--data-centre',
            data_centre,
            '--platform',
            platform,
            *flags,
        )
        process = self._processes.start(Command(name, arguments))
        return Started(role, data_centre, process)

    def _targets_of(self, data_centre: str) -> list[Started]:
        started = [
            engine
            for number in range(self._spec.domains)
            for engine in self._engines_of(data_centre, f'domain-{number}')
        ]
        for number in range(self._spec.services):
            started.append(self._start_service(data_centre, number))
        return started

    def _engines_of(self, data_centre: str, domain: str) -> list[Started]:
        prefix = f'{data_centre}-{domain}-engine'
        if self._spec.shared_engine_process:
            return [self._start_engine(data_centre, domain, prefix, 0)]
        return [
            self._start_engine(data_centre, domain, prefix, number)
            for number in range(self._spec.engines)
        ]

    def _start_engine(
        self,
        data_centre: str,
        domain: str,
        prefix: str,
        number: int,
    ) -> Started:
        count = self._spec.engines if self._spec.shared_engine_process else 1
        arguments = (
            'standin',
            'engine',
            '--name-prefix',
            f'{prefix}-{number}',
            '--count',
            str(count),
            *self._spec.engine_flags,
        )
        command = Command(f'{prefix}-{number}', arguments, count)
        process = self._processes.start(command)
        return Started(InstanceRole.ENGINE, data_centre, process, domain)

    def _start_service(self, data_centre: str, number: int) -> Started:
        service = self._spec.service
        name = f'{data_centre}-{service}-{number}'
        arguments = ('standin', 'service', '--name', name)
        process = self._processes.start(Command(name, arguments))
        return Started(
            InstanceRole.SERVICE,
            data_centre,
            process,
            service=service,
        )

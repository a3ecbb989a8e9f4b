"""What an installation consists of, and its started processes."""

from dataclasses import dataclass

from ..model.ids import (
    DataCentreName,
    DomainName,
    InstanceName,
    ServiceName,
)
from ..model.topology import Instance, InstanceRole
from .processes import Process, Ready

#: Accelerators of one model instance.
ACCELERATORS = 8


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

"""Instances of the platform and where they run."""

from dataclasses import dataclass
from enum import StrEnum

from .ids import Address, DataCentreName, DomainName, InstanceName, ServiceName


class InstanceRole(StrEnum):
    """Program that runs on an instance."""

    ENGINE = 'engine'
    SERVICE = 'service'
    ROUTER = 'router'
    CONTROLLER = 'controller'


@dataclass(frozen=True)
class Instance:
    """One entry of the platform's instance list.

    Parameters
    ----------
    name
        Unique name.
    role
        Program that runs there.
    address
        ``host:port`` of its HTTP interface.
    data_centre
        Data centre in which it runs.
    domain
        Fabric domain; empty for roles that need none.
    accelerators
        Number of accelerators.
    leaving
        Whether the platform has announced that it will be removed.
    service
        Name of the plain service; empty for other roles.
    peer_address
        ``host:port`` of its gRPC interface, for routers and controllers.

    """

    name: InstanceName
    role: InstanceRole
    address: Address
    data_centre: DataCentreName
    domain: DomainName = DomainName('')
    accelerators: int = 0
    leaving: bool = False
    service: ServiceName = ServiceName('')
    peer_address: Address = Address('')

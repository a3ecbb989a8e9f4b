"""Instances and where they stand."""

from dataclasses import dataclass
from enum import StrEnum

from .ids import Address, DataCentreName, DomainName, InstanceName, ServiceName


class InstanceRole(StrEnum):
    """What runs on an instance."""

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
        What runs there.
    address
        ``host:port`` of its HTTP interface.
    data_centre
        Data centre it stands in.
    domain
        Fabric domain; empty where none matters.
    accelerators
        Number of accelerators.
    leaving
        The platform has announced that the instance goes away.
    service
        Name of the plain service, for that role.
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

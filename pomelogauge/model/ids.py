"""Identifiers and numbers with a meaning of their own."""

from typing import NewType

InstanceName = NewType('InstanceName', str)
NodeName = NewType('NodeName', str)
DataCentreName = NewType('DataCentreName', str)
DomainName = NewType('DomainName', str)
ShardName = NewType('ShardName', str)
OrganisationName = NewType('OrganisationName', str)
DeploymentName = NewType('DeploymentName', str)
ServiceName = NewType('ServiceName', str)
CallName = NewType('CallName', str)
ModelName = NewType('ModelName', str)
ReplicaId = NewType('ReplicaId', str)
RequestId = NewType('RequestId', str)
Address = NewType('Address', str)
TargetName = NewType('TargetName', str)
GroupName = NewType('GroupName', str)
RouteName = NewType('RouteName', str)

#: Fencing number of an order; it only rises on one instance.
Epoch = NewType('Epoch', int)

#: Names one life of a process; a restart brings a new one.
Incarnation = NewType('Incarnation', str)

#: Number of a published configuration; it only rises.
ConfigVersion = NewType('ConfigVersion', int)

#: Version of a row in the table service; zero means absent.
RowVersion = NewType('RowVersion', int)

NO_EPOCH = Epoch(0)
NO_VERSION = ConfigVersion(0)
ABSENT_ROW = RowVersion(0)

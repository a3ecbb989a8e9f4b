"""Types of identifiers and version numbers."""

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
#: Part of a prompt that requests may have in common.
PromptPart = NewType('PromptPart', str)
GroupName = NewType('GroupName', str)
RouteName = NewType('RouteName', str)

#: Fencing number of orders. An instance accepts no lower one than before.
Epoch = NewType('Epoch', int)

#: Identifies one start of a process; a restart gets a new one.
Incarnation = NewType('Incarnation', str)

#: Number of a published configuration; rises with every publication.
ConfigVersion = NewType('ConfigVersion', int)

#: Version of a row in the table service; zero means that the row is absent.
RowVersion = NewType('RowVersion', int)

NO_EPOCH = Epoch(0)
NO_VERSION = ConfigVersion(0)
ABSENT_ROW = RowVersion(0)

"""Targets and their groups as the platform's list tells of them."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from .ids import (
    ABSENT_ROW,
    Address,
    DataCentreName,
    DomainName,
    Epoch,
    GroupName,
    ModelName,
    NodeName,
    RowVersion,
    ServiceName,
    TargetName,
)
from .serving import ServingConfig


class TargetState(StrEnum):
    """What a target says of itself."""

    READY = 'ready'
    DRAINING = 'draining'


class MembershipState(StrEnum):
    """State of a group as one member reports it."""

    JOINING = 'joining'
    READY = 'ready'
    OPEN = 'open'
    CLOSING = 'closing'
    BROKEN = 'broken'


@dataclass(frozen=True)
class ReportedMembership:
    """A target's membership of a group.

    Parameters
    ----------
    group, epoch
        Which forming of which group.
    rank
        Place in the member list; rank zero is the head.
    state
        What the member reports.

    """

    group: GroupName
    epoch: Epoch
    rank: int
    state: MembershipState


@dataclass(frozen=True)
class Target:
    """One life of a target.

    Parameters
    ----------
    name
        Name in the platform's list.
    service
        Service that it runs.
    address
        ``host:port`` for requests and orders.
    data_centre, domain
        Where it stands; the domain is empty outside the fabric.
    state
        Ready or draining.
    slots
        Requests that it runs at once.
    cold_until_s
        Time of the own clock until which it is cold; zero when warm.
    started_at_ms
        Wall clock time of its start; tells lives of one name apart.
    staged
        Models on its host.
    models
        Models that it has loaded.
    membership
        Its group; ``None`` outside groups.
    version
        Row version of this report.

    """

    name: TargetName
    service: ServiceName
    address: Address
    data_centre: DataCentreName
    domain: DomainName
    state: TargetState
    slots: int
    cold_until_s: float = 0
    started_at_ms: int = 0
    staged: tuple[ModelName, ...] = ()
    models: tuple[ModelName, ...] = ()
    membership: ReportedMembership | None = None
    version: RowVersion = ABSENT_ROW

    def heads_open_group(self) -> bool:
        """Return whether it takes requests for a group."""
        membership = self.membership
        return (
            membership is not None
            and not membership.rank
            and membership.state is MembershipState.OPEN
        )


@dataclass(frozen=True)
class Member:
    """A target inside a group: one life of it."""

    target: TargetName
    address: Address
    started_at_ms: int


@dataclass(frozen=True)
class GroupRecord:
    """A group as its owner recorded it before the first order.

    Parameters
    ----------
    group, epoch
        Name and epoch; the epoch is higher than that of all older groups.
    service, model
        What the group serves.
    members
        All members; the first is the head.
    version
        Row version of the record.

    """

    group: GroupName
    epoch: Epoch
    service: ServiceName
    model: ModelName
    members: tuple[Member, ...]
    version: RowVersion = ABSENT_ROW

    @property
    def head(self) -> Member:
        """The member that takes the requests."""
        return self.members[0]


@dataclass(frozen=True)
class EntryInstance:
    """An entry instance as it says of itself.

    Parameters
    ----------
    node
        Its name.
    address
        ``host:port`` for callers.
    data_centre
        Where it stands.
    is_leaving
        It ends and takes no new callers.

    """

    node: NodeName
    address: Address
    data_centre: DataCentreName
    is_leaving: bool = False


@dataclass(frozen=True)
class Fleet:
    """All that an entry instance knows of the platform at one moment.

    Parameters
    ----------
    config
        Configuration in force; ``None`` before the first.
    confirmed_s
        When the read began that last confirmed the configuration, by the
        own clock.
    targets
        Live targets by name.
    drained
        Data centres that get no new requests.
    instances
        Live entry instances.
    can_serve
        The targets have been read since the start.
    listed_s
        When the read of the targets began that was answered last.
    listed_since_s
        Since when reads of the targets have been answered without a gap.

    """

    config: ServingConfig | None = None
    confirmed_s: float = float('-inf')
    targets: Mapping[TargetName, Target] = field(default_factory=dict)
    drained: frozenset[DataCentreName] = frozenset()
    instances: tuple[EntryInstance, ...] = ()
    can_serve: bool = False
    listed_s: float = float('-inf')
    listed_since_s: float = float('inf')

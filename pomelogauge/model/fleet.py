"""Targets, groups and entry instances as the platform lists them."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from .ids import (
    Address,
    DataCentreName,
    DomainName,
    Epoch,
    GroupName,
    ModelName,
    NodeName,
    ServiceName,
    TargetName,
)
from .prompt_parts import PartVerdicts
from .serving import ServingConfig
from .store_version import ABSENT_ROW, StoreVersion


class TargetState(StrEnum):
    """Whether a target takes new requests, as it reports itself."""

    READY = 'ready'
    DRAINING = 'draining'


class MembershipState(StrEnum):
    """State of a membership of a group, as the member reports it."""

    JOINING = 'joining'
    READY = 'ready'
    OPEN = 'open'
    CLOSING = 'closing'
    BROKEN = 'broken'


@dataclass(frozen=True)
class ReportedMembership:
    """A target's membership of a group, as the target reports it.

    Parameters
    ----------
    group, epoch
        Group, and the epoch of the record by which it was formed.
    rank
        Position in the member list; the head has rank zero.
    state
        How far the member has come.

    """

    group: GroupName
    epoch: Epoch
    rank: int
    state: MembershipState


@dataclass(frozen=True)
class Target:
    """One incarnation of a target, as its row in the platform's list states.

    Parameters
    ----------
    name
        Name in the platform's list; kept across restarts.
    service
        Service that it runs.
    address
        ``host:port`` for requests and orders.
    data_centre, domain
        Where it runs; the fabric domain is empty outside the fabric.
    state
        Whether it takes new requests.
    slots
        Requests that it runs at the same time.
    cold_until_s
        Local clock until which it is cold; zero if it is warm.
    started_at_ms
        Wall clock of its start in milliseconds; tells incarnations of one
        name apart. Zero if not stated.
    staged
        Models whose weights are on its host.
    models
        Models that it has loaded.
    membership
        Group that it reports; ``None`` for none.
    version
        Version of the row.

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
    version: StoreVersion = ABSENT_ROW

    def heads_open_group(self) -> bool:
        """Return whether it is the head of an open group.

        Requests for a group are sent to its head only.
        """
        membership = self.membership
        return (
            membership is not None
            and not membership.rank
            and membership.state is MembershipState.OPEN
        )


@dataclass(frozen=True)
class Member:
    """One incarnation of a target, as a member of a group.

    A target that has restarted under the same name is not the member.
    """

    target: TargetName
    address: Address
    started_at_ms: int


@dataclass(frozen=True)
class GroupRecord:
    """A group as its owner stored it, before the first order was sent.

    Parameters
    ----------
    group, epoch
        Name and fencing number; the epoch is higher than that of all groups
        formed before.
    service, model
        What the group serves.
    members
        Members in the order of their ranks; the first is the head.
    version
        Version of the row.

    """

    group: GroupName
    epoch: Epoch
    service: ServiceName
    model: ModelName
    members: tuple[Member, ...]
    version: StoreVersion = ABSENT_ROW

    @property
    def head(self) -> Member:
        """Member that takes the requests of the group."""
        return self.members[0]


@dataclass(frozen=True)
class EntryInstance:
    """An entry instance as it reports itself.

    Parameters
    ----------
    node
        Name of the entry instance.
    address
        ``host:port`` for callers.
    data_centre
        Where it runs.
    is_leaving
        Whether it shuts down and takes no new callers.
    peers
        ``host:port`` for the other entry instances; empty if unknown.
    cores
        Processor cores that it may use; zero if unknown.

    """

    node: NodeName
    address: Address
    data_centre: DataCentreName
    is_leaving: bool = False
    peers: Address = Address('')
    cores: float = 0


@dataclass(frozen=True)
class Fleet:
    """Snapshot of all that an entry instance knows of the platform.

    All times are of the local clock.

    Parameters
    ----------
    config
        Configuration in force; ``None`` until the first one is read.
    confirmed_s
        When the read began that last confirmed the configuration.
    targets
        Live targets by name.
    drained
        Data centres that get no new requests.
    instances
        Live entry instances, this one included.
    lists_all
        Whether an owner has listed the instances; until then only this one is
        known.
    can_serve
        Whether the targets have been read at least once since the start.
    parts
        Parts of prompts that are suspected or quarantined.

    """

    config: ServingConfig | None = None
    confirmed_s: float = float('-inf')
    targets: Mapping[TargetName, Target] = field(default_factory=dict)
    drained: frozenset[DataCentreName] = frozenset()
    instances: tuple[EntryInstance, ...] = ()
    can_serve: bool = False
    parts: PartVerdicts = PartVerdicts()
    lists_all: bool = False

    def listed_nodes(self) -> tuple[NodeName, ...]:
        """Return the names of all live instances; empty if not known yet."""
        if not self.lists_all:
            return ()
        return tuple(instance.node for instance in self.instances)

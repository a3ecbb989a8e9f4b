"""Replicas, grants and demand as protobuf messages."""

from collections.abc import Iterable

from ..model.ids import (
    Address,
    DataCentreName,
    DeploymentName,
    DomainName,
    Epoch,
    Incarnation,
    InstanceName,
    ReplicaId,
    ShardName,
)
from ..model.peers import Demand, ReplicaUse
from ..model.placement import (
    Grant,
    Member,
    Replica,
    ReplicaState,
    ReplicaView,
)
from . import peer_pb2


def encode_replica_views(
    views: Iterable[ReplicaView],
) -> list[peer_pb2.ReplicaView]:
    """Encode what an owner says of its replicas."""
    return [
        peer_pb2.ReplicaView(
            replica=_encode_replica(view.replica),
            serving=view.serving,
            running=view.running,
            bearable=view.current_capacity,
            waiting_s=view.load_age_s,
            incarnation=view.incarnation,
            capacity=view.capacity,
        )
        for view in views
    ]


def decode_replica_views(
    messages: Iterable[peer_pb2.ReplicaView],
) -> tuple[ReplicaView, ...]:
    """Decode what an owner says of its replicas.

    Raises
    ------
    ValueError
        The state of a replica is unknown.

    """
    return tuple(
        ReplicaView(
            replica=_decode_replica(message.replica),
            serving=message.serving,
            running=message.running,
            current_capacity=message.bearable,
            load_age_s=message.waiting_s,
            incarnation=Incarnation(message.incarnation),
            capacity=message.capacity,
        )
        for message in messages
    )


def encode_grants(grants: Iterable[Grant]) -> list[peer_pb2.Grant]:
    """Encode grants of capacity."""
    return [
        peer_pb2.Grant(
            replica=grant.replica,
            slots=grant.slots,
            life_s=grant.life_s,
            lease_epoch=grant.lease_epoch,
        )
        for grant in grants
    ]


def decode_grants(messages: Iterable[peer_pb2.Grant]) -> tuple[Grant, ...]:
    """Decode grants of capacity."""
    return tuple(
        Grant(
            replica=ReplicaId(message.replica),
            slots=message.slots,
            life_s=message.life_s,
            lease_epoch=Epoch(message.lease_epoch),
        )
        for message in messages
    )


def encode_demands(demands: Iterable[Demand]) -> list[peer_pb2.Demand]:
    """Encode what a router wants for each deployment."""
    return [
        peer_pb2.Demand(
            deployment=demand.deployment,
            waiting=demand.waiting,
            running=demand.running,
        )
        for demand in demands
    ]


def decode_demands(messages: Iterable[peer_pb2.Demand]) -> tuple[Demand, ...]:
    """Decode what a router wants for each deployment."""
    return tuple(
        Demand(
            DeploymentName(message.deployment),
            message.waiting,
            message.running,
        )
        for message in messages
    )


def encode_uses(uses: Iterable[ReplicaUse]) -> list[peer_pb2.ReplicaUse]:
    """Encode what a router has running on each replica."""
    return [
        peer_pb2.ReplicaUse(
            replica=use.replica, running=use.running, held=use.held
        )
        for use in uses
    ]


def decode_uses(
    messages: Iterable[peer_pb2.ReplicaUse],
) -> tuple[ReplicaUse, ...]:
    """Decode what a router has running on each replica."""
    return tuple(
        ReplicaUse(
            ReplicaId(message.replica),
            message.running,
            message.held if message.HasField('held') else None,
        )
        for message in messages
    )


def _encode_replica(replica: Replica) -> peer_pb2.Replica:
    return peer_pb2.Replica(
        replica=replica.replica,
        deployment=replica.deployment,
        epoch=replica.epoch,
        shard=replica.shard,
        members=[_encode_member(member) for member in replica.members],
        state=replica.state.value,
    )


def _decode_replica(message: peer_pb2.Replica) -> Replica:
    # The row version stays with the owner, who alone writes the row.
    return Replica(
        replica=ReplicaId(message.replica),
        deployment=DeploymentName(message.deployment),
        epoch=Epoch(message.epoch),
        shard=ShardName(message.shard),
        members=tuple(_decode_member(member) for member in message.members),
        state=ReplicaState(message.state),
    )


def _encode_member(member: Member) -> peer_pb2.Member:
    return peer_pb2.Member(
        instance=member.instance,
        address=member.address,
        data_centre=member.data_centre,
        domain=member.domain,
        rank=member.rank,
    )


def _decode_member(message: peer_pb2.Member) -> Member:
    return Member(
        instance=InstanceName(message.instance),
        address=Address(message.address),
        data_centre=DataCentreName(message.data_centre),
        domain=DomainName(message.domain),
        rank=message.rank,
    )

"""JSON texts of the rows of the controllers' tables."""

import json
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import TypeVar

from returns.result import Failure, Result, Success

from ..model.ids import (
    Address,
    DataCentreName,
    DeploymentName,
    DomainName,
    Epoch,
    Incarnation,
    InstanceName,
    NodeName,
    ReplicaId,
    ShardName,
)
from ..model.placement import (
    Heartbeat,
    Lease,
    Member,
    Membership,
    Replica,
    ReplicaState,
)
from ..tables.protocols import Row, RowKey

HOLDERS = 'holders'
LEASES = 'leases'
MEMBERS = 'members'
REPLICAS = 'replicas'

#: What reading a malformed text can raise.
DECODE_ERRORS = (KeyError, TypeError, ValueError, RecursionError)

RecordT = TypeVar('RecordT')
Document = Mapping[str, object]


@dataclass(frozen=True)
class RowError:
    """A row whose text can't be read."""

    key: RowKey
    message: str


def encode_lease(lease: Lease) -> str:
    """Return the text of a row of ``leases``."""
    return json.dumps({'holder': lease.holder, 'epoch': lease.epoch})


def decode_lease(row: Row) -> Result[Lease, RowError]:
    """Read a row of ``leases``."""
    return _decode(row, _lease)


def encode_heartbeat(heartbeat: Heartbeat) -> str:
    """Return the text of a row of ``holders``."""
    return json.dumps(
        {
            'incarnation': heartbeat.incarnation,
            'count': heartbeat.count,
        }
    )


def decode_heartbeat(row: Row) -> Result[Heartbeat, RowError]:
    """Read a row of ``holders``."""
    return _decode(row, _heartbeat)


def encode_membership(membership: Membership) -> str:
    """Return the text of a row of ``members``."""
    return json.dumps(
        {
            'replica': membership.replica,
            'epoch': membership.epoch,
        }
    )


def decode_membership(row: Row) -> Result[Membership, RowError]:
    """Read a row of ``members``."""
    return _decode(row, _membership)


def encode_replica(replica: Replica) -> str:
    """Return the text of a row of ``replicas``."""
    return json.dumps(
        {
            'replica': replica.replica,
            'deployment': replica.deployment,
            'epoch': replica.epoch,
            'shard': replica.shard,
            'state': replica.state.value,
            'model_version': replica.model_version,
            'adapters': list(replica.adapters),
            'members': [_member_document(member) for member in replica.members],
        }
    )


def decode_replica(row: Row) -> Result[Replica, RowError]:
    """Read a row of ``replicas``."""
    return _decode(row, _replica)


def _decode(
    row: Row,
    build: Callable[[Row, Document], RecordT],
) -> Result[RecordT, RowError]:
    try:
        return Success(build(row, as_document(json.loads(row.text))))
    except DECODE_ERRORS as exc:
        return Failure(RowError(row.key, repr(exc)))


def _lease(row: Row, document: Document) -> Lease:
    return Lease(
        ShardName(row.key.key),
        NodeName(text(document, 'holder')),
        Epoch(number(document, 'epoch')),
        row.version,
    )


def _heartbeat(row: Row, document: Document) -> Heartbeat:
    return Heartbeat(
        NodeName(row.key.key),
        Incarnation(text(document, 'incarnation')),
        number(document, 'count'),
        row.version,
    )


def _membership(row: Row, document: Document) -> Membership:
    return Membership(
        InstanceName(row.key.key),
        ReplicaId(text(document, 'replica')),
        Epoch(number(document, 'epoch')),
        row.version,
    )


def _replica(row: Row, document: Document) -> Replica:
    members = document['members']
    if not isinstance(members, list):
        raise TypeError('members is no list')
    return Replica(
        ReplicaId(text(document, 'replica')),
        DeploymentName(text(document, 'deployment')),
        Epoch(number(document, 'epoch')),
        ShardName(text(document, 'shard')),
        tuple(_member(as_document(member)) for member in members),
        ReplicaState(text(document, 'state')),
        row.version,
        text(document, 'model_version'),
        _adapters(document),
    )


def _adapters(document: Document) -> tuple[str, ...]:
    names = document['adapters']
    if not isinstance(names, list):
        raise TypeError('adapters is no list')
    return tuple(str(name) for name in names)


def _member(document: Document) -> Member:
    return Member(
        InstanceName(text(document, 'instance')),
        Address(text(document, 'address')),
        DataCentreName(text(document, 'data_centre')),
        DomainName(text(document, 'domain')),
        number(document, 'rank'),
    )


def _member_document(member: Member) -> Document:
    return {
        'instance': member.instance,
        'address': member.address,
        'data_centre': member.data_centre,
        'domain': member.domain,
        'rank': member.rank,
    }


def as_document(loaded: object) -> Document:
    """Return a JSON object; anything else raises ``TypeError``."""
    if not isinstance(loaded, dict):
        raise TypeError('no JSON object')
    return loaded


def text(document: Document, name: str) -> str:
    """Return a text of an object; raises where there is none."""
    found = document[name]
    if not isinstance(found, str):
        raise TypeError(f'{name} is no text')
    return found


def number(document: Document, name: str) -> int:
    """Return an integer of an object; raises where there is none."""
    found = document[name]
    if not isinstance(found, int) or isinstance(found, bool):
        raise TypeError(f'{name} is no number')
    return found

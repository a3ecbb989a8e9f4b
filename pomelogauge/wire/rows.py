"""JSON encoding of the rows of the controllers' tables."""

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

#: Exceptions that decoding a malformed JSON text can raise.
DECODE_ERRORS = (KeyError, TypeError, ValueError, RecursionError)

RecordT = TypeVar('RecordT')
Document = Mapping[str, object]


@dataclass(frozen=True)
class RowError:
    """A row whose text can't be decoded, with the exception as message."""

    key: RowKey
    message: str


def encode_lease(lease: Lease) -> str:
    """Encode a row of ``leases``; the shard is its key."""
    return json.dumps({'holder': lease.holder, 'epoch': lease.epoch})


def decode_lease(row: Row) -> Result[Lease, RowError]:
    """Decode a row of ``leases``."""
    return _decode(row, _lease)


def encode_heartbeat(heartbeat: Heartbeat) -> str:
    """Encode a row of ``holders``; the holder's node name is its key."""
    return json.dumps(
        {
            'incarnation': heartbeat.incarnation,
            'count': heartbeat.count,
        }
    )


def decode_heartbeat(row: Row) -> Result[Heartbeat, RowError]:
    """Decode a row of ``holders``."""
    return _decode(row, _heartbeat)


def encode_membership(membership: Membership) -> str:
    """Encode a row of ``members``; the instance's name is its key."""
    return json.dumps(
        {
            'replica': membership.replica,
            'epoch': membership.epoch,
        }
    )


def decode_membership(row: Row) -> Result[Membership, RowError]:
    """Decode a row of ``members``."""
    return _decode(row, _membership)


def encode_replica(replica: Replica) -> str:
    """Encode a row of ``replicas`` with all members of the replica."""
    return json.dumps(
        {
            'replica': replica.replica,
            'deployment': replica.deployment,
            'epoch': replica.epoch,
            'shard': replica.shard,
            'state': replica.state.value,
            'model_version': replica.model_version,
            'adapters': list(replica.adapters),
            'members': [_encode_member(member) for member in replica.members],
        }
    )


def decode_replica(row: Row) -> Result[Replica, RowError]:
    """Decode a row of ``replicas``."""
    return _decode(row, _replica)


def _decode(
    row: Row,
    build: Callable[[Row, Document], RecordT],
) -> Result[RecordT, RowError]:
    try:
        return Success(build(row, as_object(json.loads(row.text))))
    except DECODE_ERRORS as exc:
        return Failure(RowError(row.key, repr(exc)))


def _lease(row: Row, document: Document) -> Lease:
    return Lease(
        ShardName(row.key.key),
        NodeName(text_field(document, 'holder')),
        Epoch(int_field(document, 'epoch')),
        row.version,
    )


def _heartbeat(row: Row, document: Document) -> Heartbeat:
    return Heartbeat(
        NodeName(row.key.key),
        Incarnation(text_field(document, 'incarnation')),
        int_field(document, 'count'),
        row.version,
    )


def _membership(row: Row, document: Document) -> Membership:
    return Membership(
        InstanceName(row.key.key),
        ReplicaId(text_field(document, 'replica')),
        Epoch(int_field(document, 'epoch')),
        row.version,
    )


def _replica(row: Row, document: Document) -> Replica:
    members = document['members']
    if not isinstance(members, list):
        raise TypeError(f'members must be a list, got {type(members).__name__}')
    return Replica(
        ReplicaId(text_field(document, 'replica')),
        DeploymentName(text_field(document, 'deployment')),
        Epoch(int_field(document, 'epoch')),
        ShardName(text_field(document, 'shard')),
        tuple(_member(as_object(member)) for member in members),
        ReplicaState(text_field(document, 'state')),
        row.version,
        text_field(document, 'model_version'),
        _adapters(document),
    )


def _adapters(document: Document) -> tuple[str, ...]:
    names = document['adapters']
    if not isinstance(names, list):
        raise TypeError(f'adapters must be a list, got {type(names).__name__}')
    return tuple(str(name) for name in names)


def _member(document: Document) -> Member:
    return Member(
        InstanceName(text_field(document, 'instance')),
        Address(text_field(document, 'address')),
        DataCentreName(text_field(document, 'data_centre')),
        DomainName(text_field(document, 'domain')),
        int_field(document, 'rank'),
    )


def _encode_member(member: Member) -> Document:
    return {
        'instance': member.instance,
        'address': member.address,
        'data_centre': member.data_centre,
        'domain': member.domain,
        'rank': member.rank,
    }


def as_object(loaded: object) -> Document:
    """Return a decoded value that has to be a JSON object.

    Raises
    ------
    TypeError
        The value is not an object.

    """
    if not isinstance(loaded, dict):
        raise TypeError(f'expected a JSON object, got {type(loaded).__name__}')
    return loaded


def text_field(document: Document, name: str) -> str:
    """Return a mandatory string field.

    Raises
    ------
    KeyError
        The field is absent.
    TypeError
        The field is not a string.

    """
    field = document[name]
    if not isinstance(field, str):
        raise TypeError(f'{name} must be a string, got {type(field).__name__}')
    return field


def int_field(document: Document, name: str) -> int:
    """Return a mandatory integer field.

    Raises
    ------
    KeyError
        The field is absent.
    TypeError
        The field is not an integer; booleans are none.

    """
    field = document[name]
    if not isinstance(field, int) or isinstance(field, bool):
        raise TypeError(
            f'{name} must be an integer, got {type(field).__name__}'
        )
    return field

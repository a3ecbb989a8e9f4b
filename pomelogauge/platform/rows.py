"""The project's own rows in the platform's store."""

import json
from collections.abc import Iterable

from ..entry.ownership import OwnerLease
from ..model.fleet import GroupRecord, Member
from ..model.ids import (
    Address,
    Epoch,
    GroupName,
    ModelName,
    RowVersion,
    ServiceName,
    TargetName,
)
from .fields import Fields, read_fields


def encode_group(record: GroupRecord) -> bytes:
    """Encode a group's record."""
    return _encode(
        {
            'epoch': record.epoch,
            'service': record.service,
            'model': record.model,
            'members': [
                {
                    'target': member.target,
                    'address': member.address,
                    'born_ms': member.started_at_ms,
                }
                for member in record.members
            ],
        }
    )


def decode_group(key: str, text: bytes, version: RowVersion) -> GroupRecord:
    """Decode a group's record.

    Raises
    ------
    FindingsError
        The row has faults.

    """
    fields = read_fields(f'groups/{key}', text)
    record = GroupRecord(
        group=GroupName(key),
        epoch=Epoch(fields.integer('epoch')),
        service=ServiceName(fields.text('service')),
        model=ModelName(fields.text('model')),
        members=tuple(_members(fields.objects('members'))),
        version=version,
    )
    if not record.members:
        fields.add_finding('members', 'is empty')
    fields.check()
    return record


def encode_owner_lease(owner_lease: OwnerLease) -> bytes:
    """Encode who owns the groups."""
    return _encode(
        {
            'holder': owner_lease.holder,
            'term': owner_lease.term,
            'address': owner_lease.address,
        }
    )


def decode_owner_lease(
    key: str, text: bytes, version: RowVersion
) -> OwnerLease:
    """Decode who owns the groups.

    Raises
    ------
    FindingsError
        The row has faults.

    """
    fields = read_fields(f'owner/{key}', text)
    owner_lease = OwnerLease(
        holder=fields.text('holder'),
        term=fields.integer('term'),
        address=Address(fields.text('address')),
        version=version,
    )
    fields.check()
    return owner_lease


def _members(objects: Iterable[Fields]) -> Iterable[Member]:
    for one in objects:
        yield Member(
            TargetName(one.text('target')),
            Address(one.text('address')),
            one.integer('born_ms'),
        )


def _encode(fields: dict[str, object]) -> bytes:
    return json.dumps(fields, separators=(',', ':')).encode()

"""Encoding of the rows that this system writes to the platform's store."""

import json
from collections.abc import Iterable

from ..entry.ownership import OwnerLease
from ..model.fleet import GroupRecord, Member
from ..model.ids import (
    Address,
    Epoch,
    GroupName,
    ModelName,
    PromptPart,
    ServiceName,
    TargetName,
)
from ..model.store_version import StoreVersion
from .fields import Fields, read_fields


def encode_group(record: GroupRecord) -> bytes:
    """Encode the record of a group as compact JSON.

    The name of the group is the key of its row and not part of the value.
    """
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


def decode_group(key: str, text: bytes, version: StoreVersion) -> GroupRecord:
    """Decode the record of a group.

    Parameters
    ----------
    key
        Key of the row, which is the name of the group.
    text
        Value of the row.
    version
        Version of the row, which the next write expects.

    Raises
    ------
    FindingsError
        The row is malformed or lists no members; all findings together.

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
        fields.add_finding('members', 'is empty, expected at least one member')
    fields.check()
    return record


def encode_owner_lease(owner_lease: OwnerLease) -> bytes:
    """Encode the lease on ownership of all groups as compact JSON."""
    return _encode(
        {
            'holder': owner_lease.holder,
            'term': owner_lease.term,
            'address': owner_lease.address,
        }
    )


def decode_owner_lease(
    key: str, text: bytes, version: StoreVersion
) -> OwnerLease:
    """Decode the lease on ownership of all groups.

    Parameters
    ----------
    key
        Key of the row.
    text
        Value of the row.
    version
        Version of the row, which the next write expects.

    Raises
    ------
    FindingsError
        The row is malformed; all findings together.

    """
    fields = read_fields(f'owner/{key}', text)
    owner_lease = OwnerLease(
        holder=fields.text('holder'),
        term=fields.integer('term'),
        address=Address(fields.text('address')),
        version=version,
    )
    if not owner_lease.term:
        fields.add_finding('term', 'is 0, expected 1 or more')
    fields.check()
    return owner_lease


def encode_quarantine(parts: frozenset[PromptPart]) -> bytes:
    """Encode the quarantined parts of prompts as compact JSON."""
    return _encode({'parts': sorted(parts)})


def decode_quarantine(key: str, text: bytes) -> frozenset[PromptPart]:
    """Decode the quarantined parts of prompts.

    Parameters
    ----------
    key
        Key of the row.
    text
        Value of the row.

    Raises
    ------
    FindingsError
        The row is malformed; all findings together.

    """
    fields = read_fields(f'quarantine/{key}', text)
    parts = frozenset(PromptPart(part) for part in fields.list_of('parts', str))
    fields.check()
    return parts


def _members(objects: Iterable[Fields]) -> Iterable[Member]:
    for member in objects:
        yield Member(
            TargetName(member.text('target')),
            Address(member.text('address')),
            member.integer('born_ms'),
        )


def _encode(fields: dict[str, object]) -> bytes:
    return json.dumps(fields, separators=(',', ':')).encode()

"""The project's own rows in the platform's store."""

import json
from collections.abc import Iterable

from ..entry.ownership import Tenure
from ..model.fleet import EntryInstance, GroupRecord, Member
from ..model.ids import (
    Address,
    DataCentreName,
    Epoch,
    GroupName,
    ModelName,
    NodeName,
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
                    'born_ms': member.born_ms,
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
        epoch=Epoch(fields.whole('epoch')),
        service=ServiceName(fields.text('service')),
        model=ModelName(fields.text('model')),
        members=tuple(_members(fields.each('members'))),
        version=version,
    )
    if not record.members:
        fields.refuse('members', 'is empty')
    fields.check()
    return record


def encode_tenure(tenure: Tenure) -> bytes:
    """Encode who owns the groups."""
    return _encode({'holder': tenure.holder, 'term': tenure.term})


def decode_tenure(key: str, text: bytes, version: RowVersion) -> Tenure:
    """Decode who owns the groups.

    Raises
    ------
    FindingsError
        The row has faults.

    """
    fields = read_fields(f'owner/{key}', text)
    tenure = Tenure(
        holder=fields.text('holder'),
        term=fields.whole('term'),
        version=version,
    )
    fields.check()
    return tenure


def encode_entry(entry: EntryInstance) -> bytes:
    """Encode the row of an entry instance."""
    return _encode(
        {
            'address': entry.address,
            'data_centre': entry.data_centre,
            'beat': entry.beat,
            'leaving': entry.is_leaving,
        }
    )


def decode_entry(key: str, text: bytes, version: RowVersion) -> EntryInstance:
    """Decode the row of an entry instance.

    Raises
    ------
    FindingsError
        The row has faults.

    """
    fields = read_fields(f'entries/{key}', text)
    entry = EntryInstance(
        node=NodeName(key),
        address=Address(fields.text('address')),
        data_centre=DataCentreName(fields.text('data_centre')),
        beat=fields.whole('beat'),
        is_leaving=fields.flag('leaving'),
    )
    fields.check()
    return entry


def _members(each: Iterable[Fields]) -> Iterable[Member]:
    for one in each:
        yield Member(
            TargetName(one.text('target')),
            Address(one.text('address')),
            one.whole('born_ms'),
        )


def _encode(fields: dict[str, object]) -> bytes:
    return json.dumps(fields, separators=(',', ':')).encode()

"""JSON encoding of the platform's records."""

from dataclasses import asdict, dataclass
from typing import Any

from returns.result import Result

from ..model.ids import (
    Address,
    DataCentreName,
    DomainName,
    InstanceName,
    RowVersion,
    ServiceName,
)
from ..model.topology import Instance, InstanceRole
from ..tables.protocols import (
    Committed,
    Condition,
    Row,
    RowKey,
    Transaction,
    Write,
)
from .json_fields import (
    DecodeError,
    decode,
    encode,
    number_of,
    optional,
    text_of,
)


@dataclass(frozen=True)
class Conflict:
    """A condition that did not hold, with the version found."""

    key: RowKey
    version: RowVersion


def encode_transaction(transaction: Transaction) -> bytes:
    """Encode a transaction."""
    return encode(
        {
            'transaction': transaction.transaction,
            'conditions': [
                {**asdict(condition.key), 'version': condition.version}
                for condition in transaction.conditions
            ],
            'writes': [
                {**asdict(write.key), 'text': write.text}
                for write in transaction.writes
            ],
        },
    )


def decode_transaction(body: bytes) -> Result[Transaction, DecodeError]:
    """Decode a transaction."""
    return decode(body, _transaction)


def encode_committed(committed: Committed) -> bytes:
    """Encode the answer to a transaction that took effect."""
    return encode({'versions': list(committed.versions)})


def decode_committed(body: bytes) -> Result[Committed, DecodeError]:
    """Decode the answer to a transaction that took effect."""
    return decode(body, _committed)


def encode_conflicts(conflicts: tuple[Conflict, ...]) -> bytes:
    """Encode the answer to a transaction whose conditions did not hold."""
    return encode(
        {
            'conflicts': [
                {**asdict(conflict.key), 'version': conflict.version}
                for conflict in conflicts
            ],
        },
    )


def encode_row(row: Row) -> bytes:
    """Encode one row."""
    return encode(_row_fields(row))


def decode_row(table: str, body: bytes) -> Result[Row, DecodeError]:
    """Decode one row of a table."""
    return decode(body, lambda fields: _row(table, fields))


def encode_rows(rows: tuple[Row, ...]) -> bytes:
    """Encode rows in their order."""
    return encode({'rows': [_row_fields(row) for row in rows]})


def decode_rows(
    table: str,
    body: bytes,
) -> Result[tuple[Row, ...], DecodeError]:
    """Decode rows of a table."""
    return decode(
        body,
        lambda fields: tuple(_row(table, row) for row in fields['rows']),
    )


def encode_instances(instances: tuple[Instance, ...]) -> bytes:
    """Encode the instance list."""
    return encode({'instances': [asdict(instance) for instance in instances]})


def decode_instances(
    body: bytes,
) -> Result[tuple[Instance, ...], DecodeError]:
    """Decode the instance list."""
    return decode(
        body,
        lambda fields: tuple(map(_instance, fields['instances'])),
    )


def _transaction(fields: Any) -> Transaction:
    return Transaction(
        transaction=text_of(fields, 'transaction'),
        conditions=tuple(map(_condition, fields['conditions'])),
        writes=tuple(map(_write, fields['writes'])),
    )


def _condition(fields: Any) -> Condition:
    return Condition(_key(fields), _version(fields['version']))


def _write(fields: Any) -> Write:
    if fields['text'] is None:
        return Write(_key(fields), None)
    return Write(_key(fields), text_of(fields, 'text'))


def _key(fields: Any) -> RowKey:
    return RowKey(text_of(fields, 'table'), text_of(fields, 'key'))


def _committed(fields: Any) -> Committed:
    return Committed(tuple(map(_version, fields['versions'])))


def _row_fields(row: Row) -> dict[str, Any]:
    return {
        'key': row.key.key,
        'version': row.version,
        'text': row.text,
        'transaction': row.transaction,
    }


def _row(table: str, fields: Any) -> Row:
    return Row(
        key=RowKey(table, text_of(fields, 'key')),
        version=_version(fields['version']),
        text=text_of(fields, 'text'),
        transaction=text_of(fields, 'transaction'),
    )


def _instance(fields: Any) -> Instance:
    return Instance(
        name=InstanceName(text_of(fields, 'name')),
        role=InstanceRole(fields['role']),
        address=Address(text_of(fields, 'address')),
        data_centre=DataCentreName(text_of(fields, 'data_centre')),
        domain=DomainName(text_of(fields, 'domain', '')),
        accelerators=number_of(optional(fields, 'accelerators', 0)),
        leaving=optional(fields, 'leaving', False) is True,
        service=ServiceName(text_of(fields, 'service', '')),
        peer_address=Address(text_of(fields, 'peer_address', '')),
    )


def _version(number: Any) -> RowVersion:
    return RowVersion(number_of(number))

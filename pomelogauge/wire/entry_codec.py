"""Protobuf encoding of the messages between entry instances."""

import math

from ..entry.owner_link import EntryReport, MembershipSnapshot
from ..entry.store import Table
from ..entry.table_deltas import (
    NO_TABLE_VERSIONS,
    TableDelta,
    TableDeltas,
    TableVersions,
)
from ..model.fleet import EntryInstance
from ..model.ids import (
    Address,
    DataCentreName,
    NodeName,
    RowVersion,
    TargetName,
)
from ..model.rows import Rows, StoredRow
from . import entry_peer_pb2

_MS_IN_S = 1000


def encode_report(report: EntryReport) -> entry_peer_pb2.EntryReport:
    """Encode an instance's report to the owner."""
    instance = report.instance
    return entry_peer_pb2.EntryReport(
        node=instance.node,
        address=instance.address,
        data_centre=instance.data_centre,
        leaving=instance.is_leaving,
        suspects=sorted(report.suspects),
    )


def decode_report(message: entry_peer_pb2.EntryReport) -> EntryReport:
    """Decode an instance's report to the owner."""
    return EntryReport(
        _decode_instance(message),
        frozenset(TargetName(name) for name in message.suspects),
    )


def encode_membership_snapshot(
    snapshot: MembershipSnapshot,
) -> entry_peer_pb2.EntryRoll:
    """Encode the owner's answer to a report."""
    return entry_peer_pb2.EntryRoll(
        term=snapshot.term,
        beat=snapshot.renewal_version,
        entries=[
            encode_report(EntryReport(instance))
            for instance in snapshot.instances
        ],
    )


def decode_membership_snapshot(
    message: entry_peer_pb2.EntryRoll,
) -> MembershipSnapshot:
    """Decode the owner's answer to a report."""
    return MembershipSnapshot(
        message.term,
        RowVersion(message.beat),
        tuple(_decode_instance(report) for report in message.entries),
    )


def encode_known_versions(
    versions: TableVersions,
) -> entry_peer_pb2.FollowQuestion:
    """Encode a watch request, which names the versions already known."""
    return entry_peer_pb2.FollowQuestion(
        places=[
            entry_peer_pb2.TablePlace(table=table, version=version)
            for table, version in versions.items()
        ]
    )


def decode_known_versions(
    message: entry_peer_pb2.FollowQuestion,
) -> TableVersions:
    """Decode a watch request; a table that is not named is unknown.

    Raises
    ------
    ValueError
        A table's name is unknown.

    """
    known = {
        Table(place.table): RowVersion(place.version)
        for place in message.places
    }
    return {**NO_TABLE_VERSIONS, **known}


def encode_deltas(deltas: TableDeltas) -> entry_peer_pb2.FollowAnswer:
    """Encode the owner's answer to a watch request."""
    return entry_peer_pb2.FollowAnswer(
        tables=[_encode_delta(delta) for delta in deltas.tables]
    )


def decode_deltas(message: entry_peer_pb2.FollowAnswer) -> TableDeltas:
    """Decode the owner's answer to a watch request.

    Raises
    ------
    ValueError
        A table's name is unknown.

    """
    return TableDeltas(tuple(_decode_delta(table) for table in message.tables))


def _encode_delta(delta: TableDelta) -> entry_peer_pb2.TableNews:
    return entry_peer_pb2.TableNews(
        table=delta.table,
        version=delta.rows.version,
        whole=delta.is_whole,
        # Rounded up, so that no state looks newer than it is.
        age_ms=math.ceil(delta.age_s * _MS_IN_S),
        was_away=delta.was_away,
        rows=[
            entry_peer_pb2.TableRow(
                key=row.key, version=row.version, body=row.body
            )
            for row in delta.rows.rows
        ],
    )


def _decode_delta(message: entry_peer_pb2.TableNews) -> TableDelta:
    rows = tuple(
        StoredRow(
            row.key,
            RowVersion(row.version),
            row.body if row.HasField('body') else None,
        )
        for row in message.rows
    )
    return TableDelta(
        Table(message.table),
        Rows(rows, RowVersion(message.version)),
        message.whole,
        message.age_ms / _MS_IN_S,
        message.was_away,
    )


def _decode_instance(message: entry_peer_pb2.EntryReport) -> EntryInstance:
    return EntryInstance(
        node=NodeName(message.node),
        address=Address(message.address),
        data_centre=DataCentreName(message.data_centre),
        is_leaving=message.leaving,
    )

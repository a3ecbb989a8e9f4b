"""Encodes and decodes what entry instances tell each other."""

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
    """Encode a report."""
    entry = report.instance
    return entry_peer_pb2.EntryReport(
        node=entry.node,
        address=entry.address,
        data_centre=entry.data_centre,
        leaving=entry.is_leaving,
        suspects=sorted(report.suspects),
    )


def decode_report(message: entry_peer_pb2.EntryReport) -> EntryReport:
    """Decode a report."""
    return EntryReport(
        _entry(message),
        frozenset(TargetName(name) for name in message.suspects),
    )


def encode_membership_snapshot(
    roll: MembershipSnapshot,
) -> entry_peer_pb2.EntryRoll:
    """Encode a roll."""
    return entry_peer_pb2.EntryRoll(
        term=roll.term,
        beat=roll.renewal_version,
        entries=[encode_report(EntryReport(entry)) for entry in roll.instances],
    )


def decode_membership_snapshot(
    message: entry_peer_pb2.EntryRoll,
) -> MembershipSnapshot:
    """Decode a roll."""
    return MembershipSnapshot(
        message.term,
        RowVersion(message.beat),
        tuple(_entry(one) for one in message.entries),
    )


def encode_known_versions(
    places: TableVersions,
) -> entry_peer_pb2.FollowQuestion:
    """Encode a question."""
    return entry_peer_pb2.FollowQuestion(
        places=[
            entry_peer_pb2.TablePlace(table=table, version=version)
            for table, version in places.items()
        ]
    )


def decode_known_versions(
    message: entry_peer_pb2.FollowQuestion,
) -> TableVersions:
    """Decode a question."""
    named = {
        Table(one.table): RowVersion(one.version) for one in message.places
    }
    return {**NO_TABLE_VERSIONS, **named}


def encode_deltas(news: TableDeltas) -> entry_peer_pb2.FollowAnswer:
    """Encode an answer."""
    return entry_peer_pb2.FollowAnswer(
        tables=[_encode_changes(one) for one in news.tables]
    )


def decode_deltas(message: entry_peer_pb2.FollowAnswer) -> TableDeltas:
    """Decode an answer."""
    return TableDeltas(tuple(_decode_changes(one) for one in message.tables))


def _encode_changes(changes: TableDelta) -> entry_peer_pb2.TableNews:
    return entry_peer_pb2.TableNews(
        table=changes.table,
        version=changes.rows.version,
        whole=changes.is_whole,
        age_ms=math.ceil(changes.age_s * _MS_IN_S),
        was_away=changes.was_away,
        rows=[
            entry_peer_pb2.TableRow(
                key=row.key, version=row.version, body=row.body
            )
            for row in changes.rows.rows
        ],
    )


def _decode_changes(message: entry_peer_pb2.TableNews) -> TableDelta:
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


def _entry(message: entry_peer_pb2.EntryReport) -> EntryInstance:
    return EntryInstance(
        node=NodeName(message.node),
        address=Address(message.address),
        data_centre=DataCentreName(message.data_centre),
        is_leaving=message.leaving,
    )

"""Protobuf encoding of the messages between entry instances."""

import math
import zlib
from collections.abc import Iterable
from functools import lru_cache
from itertools import chain, repeat

from google.protobuf.message import DecodeError

from ..entry.owner_link import EntryReport, MembershipSnapshot, SnapshotVersion
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
    PromptPart,
    TargetName,
)
from ..model.prompt_parts import (
    PartCrash,
    PartEvidence,
    PartService,
    PartVerdicts,
)
from ..model.rows import Rows, StoredRow
from ..model.store_version import StoreVersion
from ..model.target_limits import TargetLimit
from . import entry_peer_pb2

_MS_IN_S = 1000
#: Greatest age that a field holds.
_MAX_AGE_MS = 2**32 - 1
#: Different sets of rows whose encoding is kept. Most watchers have the same
#: versions, so that one set answers many of them.
_PACKED_SETS = 16
#: Largest set of rows in bytes, unpacked.
_MAX_UNPACKED_BYTES = 1 << 26


class MalformedDeltasError(Exception):
    """The answer to a watch request can't be decoded."""


def encode_report(report: EntryReport) -> entry_peer_pb2.EntryReport:
    """Encode an instance's report to the owner."""
    encoded = _encode_instance(report.instance)
    encoded.suspects.extend(sorted(report.suspects))
    encoded.known_roll.CopyFrom(_encode_version(report.known))
    encoded.part_crashes.extend(
        entry_peer_pb2.PartCrash(
            part=crash.part,
            target=crash.target,
            started_at_ms=crash.started_at_ms,
            age_ms=math.floor(crash.age_s * _MS_IN_S),
            alone=not crash.others_answered,
        )
        for crash in sorted(report.parts.crashes)
    )
    for service in sorted(report.parts.served):
        encoded.served_parts.append(service.part)
        # Rounded up, so that no service looks later than it is.
        encoded.served_ages_ms.append(math.ceil(service.age_s * _MS_IN_S))
    encoded.limits.extend(_encode_limits(report.limits))
    encoded.known_limits.CopyFrom(_encode_version(report.known_limits))
    return encoded


def decode_report(message: entry_peer_pb2.EntryReport) -> EntryReport:
    """Decode an instance's report to the owner."""
    return EntryReport(
        _decode_instance(message),
        frozenset(TargetName(name) for name in message.suspects),
        _decode_version(message.known_roll),
        PartEvidence(
            frozenset(
                PartCrash(
                    PromptPart(crash.part),
                    TargetName(crash.target),
                    crash.started_at_ms,
                    crash.age_ms / _MS_IN_S,
                    not crash.alone,
                )
                for crash in message.part_crashes
            ),
            _decode_services(message),
        ),
        _decode_limits(message.limits),
        _decode_version(message.known_limits),
    )


def encode_membership_snapshot(
    snapshot: MembershipSnapshot,
) -> entry_peer_pb2.EntryRoll:
    """Encode the owner's answer to a report."""
    return entry_peer_pb2.EntryRoll(
        term=snapshot.term,
        beat=snapshot.renewal_version.number,
        beat_era=snapshot.renewal_version.era,
        entries=[_encode_instance(instance) for instance in snapshot.instances],
        version=_encode_version(snapshot.version),
        suspected_parts=sorted(snapshot.parts.suspected),
        quarantined_parts=sorted(snapshot.parts.quarantined),
        limits=_encode_limits(snapshot.limits),
        limits_version=_encode_version(snapshot.limits_version),
    )


def decode_membership_snapshot(
    message: entry_peer_pb2.EntryRoll,
) -> MembershipSnapshot:
    """Decode the owner's answer to a report."""
    return MembershipSnapshot(
        message.term,
        StoreVersion(message.beat_era, message.beat),
        tuple(_decode_instance(report) for report in message.entries),
        _decode_version(message.version),
        PartVerdicts(
            frozenset(PromptPart(part) for part in message.suspected_parts),
            frozenset(PromptPart(part) for part in message.quarantined_parts),
        ),
        _decode_limits(message.limits),
        _decode_version(message.limits_version),
    )


def encode_known_versions(
    versions: TableVersions,
) -> entry_peer_pb2.FollowQuestion:
    """Encode a watch request, which names the versions already known."""
    return entry_peer_pb2.FollowQuestion(
        places=[
            entry_peer_pb2.TablePlace(
                table=table, version=version.number, era=version.era
            )
            for table, version in versions.items()
        ],
        takes_packed=True,
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
        Table(place.table): StoreVersion(place.era, place.version)
        for place in message.places
    }
    return {**NO_TABLE_VERSIONS, **known}


def encode_deltas(
    deltas: TableDeltas, *, is_packed: bool = True
) -> entry_peer_pb2.FollowAnswer:
    """Encode the answer to a watch request.

    Parameters
    ----------
    deltas
        The deltas of all watched tables.
    is_packed
        Whether the rows are compressed; instances of earlier versions do not
        decode that.

    """
    return entry_peer_pb2.FollowAnswer(
        tables=[_encode_delta(delta, is_packed) for delta in deltas.tables],
        suspects=sorted(deltas.suspects),
    )


def decode_deltas(message: entry_peer_pb2.FollowAnswer) -> TableDeltas:
    """Decode the owner's answer to a watch request.

    Raises
    ------
    MalformedDeltasError
        A table's name is unknown, or packed rows can't be unpacked.

    """
    try:
        tables = tuple(_decode_delta(table) for table in message.tables)
    except (ValueError, DecodeError, zlib.error) as exc:
        raise MalformedDeltasError(str(exc)) from exc
    return TableDeltas(
        tables, frozenset(TargetName(name) for name in message.suspects)
    )


def _encode_delta(
    delta: TableDelta, is_packed: bool
) -> entry_peer_pb2.TableNews:
    encoded = entry_peer_pb2.TableNews(
        table=delta.table,
        version=delta.rows.version.number,
        era=delta.rows.version.era,
        whole=delta.is_whole,
        # Rounded up, so that no state looks newer than it is.
        age_ms=math.ceil(delta.age_s * _MS_IN_S),
        was_away=delta.was_away,
    )
    if is_packed and delta.rows.rows:
        encoded.packed_rows = _pack(delta.rows.rows)
    else:
        encoded.rows.extend(_encode_rows(delta.rows.rows))
    return encoded


@lru_cache(maxsize=_PACKED_SETS)
def _pack(rows: tuple[StoredRow, ...]) -> bytes:
    """Return rows as a compressed message.

    Traffic between data centres is expensive, and rows are similar to each
    other, so that they compress well.
    """
    encoded = entry_peer_pb2.TableRows(rows=_encode_rows(rows))
    return zlib.compress(encoded.SerializeToString())


def _encode_rows(
    rows: tuple[StoredRow, ...],
) -> list[entry_peer_pb2.TableRow]:
    return [
        entry_peer_pb2.TableRow(
            key=row.key,
            version=row.version.number,
            era=row.version.era,
            body=row.body,
        )
        for row in rows
    ]


def _decode_delta(message: entry_peer_pb2.TableNews) -> TableDelta:
    encoded = message.rows
    if message.packed_rows:
        unpacked = _unpack(message.packed_rows)
        encoded = entry_peer_pb2.TableRows.FromString(unpacked).rows
    rows = tuple(
        StoredRow(
            row.key,
            StoreVersion(row.era, row.version),
            row.body if row.HasField('body') else None,
        )
        for row in encoded
    )
    return TableDelta(
        Table(message.table),
        Rows(rows, StoreVersion(message.era, message.version)),
        message.whole,
        message.age_ms / _MS_IN_S,
        message.was_away,
    )


def _unpack(packed: bytes) -> bytes:
    stream = zlib.decompressobj()
    unpacked = stream.decompress(packed, _MAX_UNPACKED_BYTES)
    if not stream.eof:
        raise ValueError('packed rows are cut or too large')
    return unpacked


def _decode_services(
    message: entry_peer_pb2.EntryReport,
) -> frozenset[PartService]:
    ages_ms = chain(message.served_ages_ms, repeat(0))
    return frozenset(
        PartService(PromptPart(part), age_ms / _MS_IN_S)
        for part, age_ms in zip(message.served_parts, ages_ms, strict=False)
    )


def _encode_limits(
    limits: Iterable[TargetLimit],
) -> list[entry_peer_pb2.TargetLimit]:
    return [
        entry_peer_pb2.TargetLimit(
            target=limit.target,
            per_s=limit.per_s,
            age_ms=_encode_age(limit.age_s),
        )
        for limit in limits
    ]


def _encode_age(age_s: float) -> int:
    """Return an age in milliseconds, rounded up so that nothing looks newer."""
    return min(max(0, math.ceil(age_s * _MS_IN_S)), _MAX_AGE_MS)


def _decode_limits(
    messages: Iterable[entry_peer_pb2.TargetLimit],
) -> tuple[TargetLimit, ...]:
    return tuple(
        TargetLimit(
            TargetName(message.target),
            message.per_s if message.HasField('per_s') else None,
            message.age_ms / _MS_IN_S,
        )
        for message in messages
    )


def _encode_instance(instance: EntryInstance) -> entry_peer_pb2.EntryReport:
    return entry_peer_pb2.EntryReport(
        node=instance.node,
        address=instance.address,
        data_centre=instance.data_centre,
        leaving=instance.is_leaving,
        peers=instance.peers,
        cores=instance.cores,
    )


def _decode_instance(message: entry_peer_pb2.EntryReport) -> EntryInstance:
    return EntryInstance(
        node=NodeName(message.node),
        address=Address(message.address),
        data_centre=DataCentreName(message.data_centre),
        is_leaving=message.leaving,
        peers=Address(message.peers),
        cores=message.cores,
    )


def _encode_version(version: SnapshotVersion) -> entry_peer_pb2.RollVersion:
    return entry_peer_pb2.RollVersion(term=version.term, count=version.count)


def _decode_version(message: entry_peer_pb2.RollVersion) -> SnapshotVersion:
    return SnapshotVersion(message.term, message.count)

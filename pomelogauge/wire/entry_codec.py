"""Encodes and decodes reports and rolls."""

from ..entry.roll import EntryReport, Roll
from ..model.fleet import EntryInstance
from ..model.ids import (
    Address,
    DataCentreName,
    NodeName,
    RowVersion,
    TargetName,
)
from . import entry_peer_pb2


def encode_report(report: EntryReport) -> entry_peer_pb2.EntryReport:
    """Encode a report."""
    entry = report.entry
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


def encode_roll(roll: Roll) -> entry_peer_pb2.EntryRoll:
    """Encode a roll."""
    return entry_peer_pb2.EntryRoll(
        term=roll.term,
        beat=roll.beat,
        entries=[encode_report(EntryReport(entry)) for entry in roll.entries],
    )


def decode_roll(message: entry_peer_pb2.EntryRoll) -> Roll:
    """Decode a roll."""
    return Roll(
        message.term,
        RowVersion(message.beat),
        tuple(_entry(one) for one in message.entries),
    )


def _entry(message: entry_peer_pb2.EntryReport) -> EntryInstance:
    return EntryInstance(
        node=NodeName(message.node),
        address=Address(message.address),
        data_centre=DataCentreName(message.data_centre),
        is_leaving=message.leaving,
    )

"""JSON encoding of the messages of a stand-in engine."""

from typing import Any

from ..model.ids import Address, Epoch, InstanceName, ReplicaId
from .engine_load import CacheEvent
from .engine_messages import (
    EngineMode,
    EngineModeName,
    EngineRecord,
    EngineReport,
    StreamRecord,
)
from .engine_model import EngineOrder, OrderKind, OrderMember


def report_fields(report: EngineReport) -> dict[str, Any]:
    """Encode the body of ``GET /v1/status``."""
    status = report.status
    load = report.load.status
    return {
        'instance': status.instance,
        'incarnation': status.incarnation,
        'state': status.state,
        'replica': status.replica,
        'epoch': status.epoch,
        'rank': status.rank,
        'load': {
            'running': load.running,
            'completed': load.completed,
            'bearable': load.current_capacity,
            'capacity': load.capacity,
            'age_s': report.load.age_s,
        },
    }


def order_of(fields: dict[str, Any]) -> EngineOrder:
    """Decode the body of ``POST /v1/orders``."""
    return EngineOrder(
        order=str(fields['order']),
        kind=OrderKind(fields['kind']),
        replica=ReplicaId(fields['replica']),
        epoch=Epoch(int(fields['epoch'])),
        rank=int(fields.get('rank', 0)),
        members=tuple(map(_member, fields.get('members') or ())),
    )


def mode_of(fields: dict[str, Any]) -> EngineMode:
    """Decode the body of ``PUT /control/mode``."""
    return EngineMode(
        EngineModeName(fields['mode']),
        float(fields.get('factor', 1)),
    )


def events_fields(after: int, events: tuple[CacheEvent, ...]) -> dict[str, Any]:
    """Encode cache events; ``next`` is the ``after`` of the next poll."""
    return {
        'events': [
            {
                'sequence': event.sequence,
                'kind': event.kind,
                'prefix': event.prefix,
            }
            for event in events
        ],
        'next': max((event.sequence for event in events), default=after),
    }


def record_fields(record: EngineRecord) -> dict[str, Any]:
    """Encode the body of ``GET /control/record``."""
    return {
        'overfed': record.overload_crashes,
        'peak_running': record.peak_running,
        'requests': [_stream_fields(stream) for stream in record.requests],
    }


def _stream_fields(stream: StreamRecord) -> dict[str, Any]:
    return {
        'request': stream.request,
        'replica': stream.replica,
        'first': stream.first,
        'next': stream.next_index,
        'end': stream.end,
    }


def _member(fields: dict[str, Any]) -> OrderMember:
    return OrderMember(
        instance=InstanceName(fields['instance']),
        address=Address(fields['address']),
        rank=int(fields['rank']),
    )

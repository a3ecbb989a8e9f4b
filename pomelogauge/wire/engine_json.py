"""JSON bodies of orders to engines and of their reports."""

import json

from returns.result import Failure, Result, Success

from ..engines.protocols import (
    EngineError,
    EngineFault,
    LoadOrder,
    UnloadOrder,
)
from ..model.ids import Epoch, Incarnation, InstanceName, ReplicaId
from ..model.placement import EngineState, EngineStatus, Member
from .rows import DECODE_ERRORS, as_document, number, text


def encode_load(order: LoadOrder) -> bytes:
    """Return the body of an order to load."""
    replica = order.replica
    return json.dumps(
        {
            'order': order.order,
            'kind': 'load',
            'replica': replica.replica,
            'epoch': replica.epoch,
            'rank': order.rank,
            'members': [_member(member) for member in replica.members],
            'model': order.model,
            'model_version': order.model_version,
            'adapters': list(order.adapters),
        }
    ).encode()


def encode_unload(order: UnloadOrder) -> bytes:
    """Return the body of an order to leave a replica."""
    return json.dumps(
        {
            'order': order.order,
            'kind': 'unload',
            'replica': order.replica,
            'epoch': order.epoch,
            'rank': 0,
            'members': [],
            'model': '',
            'model_version': '',
            'adapters': [],
        }
    ).encode()


def decode_status(body: bytes) -> Result[EngineStatus, EngineError]:
    """Read an engine's report."""
    try:
        return Success(_status(body))
    except DECODE_ERRORS as exc:
        fault = EngineFault.REFUSED
        return Failure(EngineError(fault, f'unreadable report: {exc!r}'))


def _status(body: bytes) -> EngineStatus:
    document = as_document(json.loads(body))
    load = as_document(document.get('load', {}))
    return EngineStatus(
        InstanceName(text(document, 'instance')),
        Incarnation(text(document, 'incarnation')),
        EngineState(text(document, 'state')),
        ReplicaId(text(document, 'replica')),
        Epoch(number(document, 'epoch')),
        number(document, 'rank'),
        number(load, 'running'),
        number(load, 'completed'),
        number(load, 'bearable'),
        number(load, 'capacity'),
    )


def _member(member: Member) -> dict[str, object]:
    return {
        'instance': member.instance,
        'address': member.address,
        'rank': member.rank,
    }

"""JSON encoding of orders to engines and of engines' status reports."""

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
from .rows import DECODE_ERRORS, as_object, int_field, text_field


def encode_load(order: LoadOrder) -> bytes:
    """Return the body of an order to load a model."""
    replica = order.replica
    return json.dumps(
        {
            'order': order.order,
            'kind': 'load',
            'replica': replica.replica,
            'epoch': replica.epoch,
            'rank': order.rank,
            'members': [_encode_member(member) for member in replica.members],
            'model': order.model,
            'model_version': order.model_version,
            'adapters': list(order.adapters),
        }
    ).encode()


def encode_unload(order: UnloadOrder) -> bytes:
    """Return the body of an order to unload and leave a replica.

    It has all fields of an order to load; those without a meaning are empty.
    """
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
    """Decode an engine's status report.

    Parameters
    ----------
    body
        JSON body of the report.

    Returns
    -------
    Result
        The status, or an error that says what is wrong with the report.

    """
    try:
        return Success(_status(body))
    except DECODE_ERRORS as exc:
        fault = EngineFault.REFUSED
        return Failure(EngineError(fault, f'malformed status report: {exc!r}'))


def _status(body: bytes) -> EngineStatus:
    document = as_object(json.loads(body))
    load = as_object(document.get('load', {}))
    return EngineStatus(
        InstanceName(text_field(document, 'instance')),
        Incarnation(text_field(document, 'incarnation')),
        EngineState(text_field(document, 'state')),
        ReplicaId(text_field(document, 'replica')),
        Epoch(int_field(document, 'epoch')),
        int_field(document, 'rank'),
        int_field(load, 'running'),
        int_field(load, 'completed'),
        int_field(load, 'bearable'),
        int_field(load, 'capacity'),
    )


def _encode_member(member: Member) -> dict[str, object]:
    return {
        'instance': member.instance,
        'address': member.address,
        'rank': member.rank,
    }

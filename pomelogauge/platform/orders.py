"""Sends orders to targets."""

import json
from typing import Any

from urllib3 import PoolManager, Timeout
from urllib3.exceptions import HTTPError, NewConnectionError

from ..entry.messages import Order, OrderKind, OrderOutcome
from ..model.ids import Address
from ..model.log_parts import Part
from ..tasks.log import part_logger

#: Seconds to connect and to wait for the answer. Targets answer orders at
#: once.
_TIMEOUT = Timeout(connect=0.4, read=0.8)
_TAKEN = frozenset((200, 202))
_MISDIRECTED = 421
#: What runs may end, what waits too.
_CLOSE_MODE = 'queue'

_log = part_logger(Part.GROUPS)


class OrderClient:
    """Sends each order over a connection of its own."""

    def send(self, address: Address, order: Order) -> OrderOutcome:
        """Send one order once and return what became of it."""
        try:
            with PoolManager(retries=False) as pool:
                answer = pool.request(
                    'POST',
                    f'http://{address}/order',
                    body=json.dumps(_body(order)),
                    headers={
                        'Content-Type': 'application/json',
                        'X-Expect-Instance': order.target,
                    },
                    timeout=_TIMEOUT,
                )
        except NewConnectionError as exc:
            return _unreached(exc)
        except HTTPError as exc:
            _log.warning('no answer from %s: %s', order.target, exc)
            return OrderOutcome.SILENT
        if answer.status in _TAKEN:
            return OrderOutcome.TAKEN
        if answer.status == _MISDIRECTED:
            return OrderOutcome.DEAD
        _log.info('%s answered %s', order.target, answer.status)
        return OrderOutcome.REFUSED


def _unreached(exc: NewConnectionError) -> OrderOutcome:
    if isinstance(exc.__cause__, ConnectionRefusedError):
        return OrderOutcome.DEAD
    _log.warning('no connection: %s', exc)
    return OrderOutcome.SILENT


def _body(order: Order) -> dict[str, Any]:
    body: dict[str, Any] = {'operation': order.kind.value}
    if order.kind is OrderKind.STAGE:
        return {**body, 'model': order.model}
    body = {**body, 'group': order.group, 'epoch': order.epoch}
    if order.kind is OrderKind.JOIN:
        members = list(order.members)
        return {**body, 'model': order.model, 'members': members}
    if order.kind is OrderKind.CLOSE:
        return {**body, 'close_mode': _CLOSE_MODE}
    return body

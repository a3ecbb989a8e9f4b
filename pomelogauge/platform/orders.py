"""Sends orders to targets."""

import json
from typing import Any

from urllib3 import PoolManager, Timeout
from urllib3.exceptions import HTTPError, NewConnectionError
from urllib3.response import BaseHTTPResponse

from ..entry.messages import Order, OrderKind, OrderOutcome
from ..model.errors import FindingsError
from ..model.fleet import MembershipState
from ..model.ids import Address
from ..model.log_parts import Part
from ..tasks.log import part_logger
from .targets import decode_reported_membership

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
        is_question = order.kind is OrderKind.PROBE
        try:
            with PoolManager(retries=False) as pool:
                answer = pool.request(
                    'GET' if is_question else 'POST',
                    f'http://{address}/{"report" if is_question else "order"}',
                    body=None if is_question else json.dumps(_body(order)),
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
            return OrderOutcome.NO_ANSWER
        return _outcome(answer, order)


def _outcome(answer: BaseHTTPResponse, order: Order) -> OrderOutcome:
    if answer.status == _MISDIRECTED:
        return OrderOutcome.REPLACED
    if answer.status not in _TAKEN:
        _log.info('%s answered %s', order.target, answer.status)
        return OrderOutcome.REFUSED
    if order.kind is OrderKind.PROBE and not _holds_seat(answer.data, order):
        return OrderOutcome.REFUSED
    return OrderOutcome.TAKEN


def _holds_seat(report: bytes, order: Order) -> bool:
    """Return whether a target reports the group that an order names."""
    try:
        membership = decode_reported_membership(order.target, report)
    except FindingsError as exc:
        _log.warning('report of %s is malformed: %s', order.target, exc)
        return False
    if membership is None or membership.state is MembershipState.BROKEN:
        return False
    return membership.group == order.group and membership.epoch == order.epoch


def _unreached(exc: NewConnectionError) -> OrderOutcome:
    if isinstance(exc.__cause__, ConnectionRefusedError):
        return OrderOutcome.CLOSED
    _log.warning('no connection: %s', exc)
    return OrderOutcome.NO_ANSWER


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

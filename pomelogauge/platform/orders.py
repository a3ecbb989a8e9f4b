"""Sends orders to targets over HTTP."""

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

#: Seconds to connect and to wait for a response. Targets respond to
#: orders at once, so that a longer wait gains nothing.
_TIMEOUT = Timeout(connect=0.4, read=0.8)
_ACCEPTED_STATUSES = frozenset((200, 202))
#: The order does not fit the target's state, or its epoch is too low.
_UNFIT_STATUSES = frozenset((409, 412))
#: Another target, or another incarnation of this one, has the address.
_MISDIRECTED = 421
#: A group that closes completes both its running and its queued requests.
_CLOSE_MODE = 'queue'

_log = part_logger(Part.GROUPS)


class OrderClient:
    """Sends each order over a new connection, without retries.

    It keeps no state between orders, so that any thread may use it.
    """

    def send(self, address: Address, order: Order) -> OrderOutcome:
        """Send an order once and return its outcome.

        The call blocks until the target responds or the time-out expires. A
        ``PROBE`` changes nothing at the target: it reads its report and
        checks that the target is still a member of the order's group and
        epoch.
        """
        is_probe = order.kind is OrderKind.PROBE
        try:
            with PoolManager(retries=False) as pool:
                response = pool.request(
                    'GET' if is_probe else 'POST',
                    f'http://{address}/{"report" if is_probe else "order"}',
                    body=None if is_probe else json.dumps(_body(order)),
                    headers={
                        'Content-Type': 'application/json',
                        'X-Expect-Instance': order.target,
                    },
                    timeout=_TIMEOUT,
                )
        except NewConnectionError as exc:
            return _connection_failure(exc)
        except HTTPError as exc:
            _log.warning(
                'no response from target %s to order %s: %s',
                order.target,
                order.kind,
                exc,
            )
            return OrderOutcome.NO_ANSWER
        return _outcome(response, order)


def _outcome(response: BaseHTTPResponse, order: Order) -> OrderOutcome:
    if response.status == _MISDIRECTED:
        return OrderOutcome.REPLACED
    if response.status not in _ACCEPTED_STATUSES:
        _log.info(
            'target %s answered order %s with status %s',
            order.target,
            order.kind,
            response.status,
        )
        is_unfit = response.status in _UNFIT_STATUSES
        return OrderOutcome.REFUSED if is_unfit else OrderOutcome.FAILED
    if order.kind is OrderKind.PROBE and not _reports_membership(
        response.data, order
    ):
        return OrderOutcome.REFUSED
    return OrderOutcome.TAKEN


def _reports_membership(report: bytes, order: Order) -> bool:
    """Return whether a report shows the group and epoch of an order."""
    try:
        membership = decode_reported_membership(order.target, report)
    except FindingsError as exc:
        _log.warning('report of target %s is malformed: %s', order.target, exc)
        return False
    if membership is None or membership.state is MembershipState.BROKEN:
        return False
    return membership.group == order.group and membership.epoch == order.epoch


def _connection_failure(exc: NewConnectionError) -> OrderOutcome:
    if isinstance(exc.__cause__, ConnectionRefusedError):
        return OrderOutcome.CLOSED
    _log.warning('connection to target failed: %s', exc)
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

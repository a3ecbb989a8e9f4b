"""Sends orders to targets over HTTP."""

import json
from contextlib import closing
from typing import Any

from returns.result import Failure

from ..entry.messages import Order, OrderKind, OrderOutcome
from ..model.errors import FindingsError
from ..model.fleet import MembershipState
from ..model.ids import Address
from ..model.log_parts import Part
from ..tasks.clock import Clock
from ..tasks.log import part_logger
from ..wire.http_exchange import (
    ExchangeBounds,
    ExchangeError,
    ExchangeFault,
    HttpAnswer,
    HttpExchange,
)
from ..wire.target_link import RequestHead
from .targets import decode_reported_membership

#: Seconds for the whole response. Targets respond to orders at once, so that
#: a longer wait gains nothing.
_RESPONSE_S = 0.8
_BOUNDS = ExchangeBounds(connect_s=0.4, body_bytes=256 * 1024)
_ACCEPTED_STATUSES = frozenset((200, 202))
#: The order does not fit the target's state, or its epoch is too low.
_UNFIT_STATUSES = frozenset((409, 412))
#: The order is not for the target that has got it, or not for its role.
_MISDIRECTED = 421
#: Name of the target that a misdirected order has reached.
_REACHED_TARGET = b'at-server'
#: A group that closes completes both its running and its queued requests.
_CLOSE_MODE = 'queue'

_log = part_logger(Part.GROUPS)


class OrderClient:
    """Sends each order over a new connection, without retries.

    It keeps no state between orders, so that any thread may use it.

    Parameters
    ----------
    clock
        Local clock, for the time of a response.

    """

    def __init__(self, clock: Clock) -> None:
        """Start without a connection; each order has its own."""
        self._clock = clock

    def send(self, address: Address, order: Order) -> OrderOutcome:
        """Send an order once and return its outcome.

        The call blocks until the target's whole response is read, or a bound
        of time or size is exceeded, which counts as no answer. A ``PROBE``
        changes nothing at the target: it reads its report and checks that the
        target is still a member of the order's group and epoch.
        """
        body = b''
        if order.kind is not OrderKind.PROBE:
            body = json.dumps(_body(order)).encode()
        with closing(HttpExchange(address, _BOUNDS, self._clock)) as exchange:
            answer = exchange.send(_head(order), body, _RESPONSE_S)
        if isinstance(answer, Failure):
            return _failed_exchange(answer.failure(), order)
        return _outcome(answer.unwrap(), order)


def _head(order: Order) -> RequestHead:
    expected = (b'X-Expect-Instance', order.target.encode())
    if order.kind is OrderKind.PROBE:
        return RequestHead(b'GET', b'/report', (expected,))
    media_type = (b'Content-Type', b'application/json')
    return RequestHead(b'POST', b'/order', (media_type, expected))


def _outcome(response: HttpAnswer, order: Order) -> OrderOutcome:
    if response.status == _MISDIRECTED and _is_from_other(response, order):
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
        response.body, order
    ):
        return OrderOutcome.REFUSED
    return OrderOutcome.TAKEN


def _is_from_other(response: HttpAnswer, order: Order) -> bool:
    """Return whether a response names another target than the order's.

    One without a name proves nothing of who listens at the address.
    """
    names = {
        header.strip()
        for name, header in response.headers
        if name.lower() == _REACHED_TARGET
    }
    return any(names) and order.target.encode() not in names


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


def _failed_exchange(error: ExchangeError, order: Order) -> OrderOutcome:
    if error.fault is ExchangeFault.REFUSED:
        return OrderOutcome.CLOSED
    _log.warning(
        'no response from target %s to order %s: %s',
        order.target,
        order.kind,
        error.message,
        extra={'target': order.target, 'fault': error.fault},
    )
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

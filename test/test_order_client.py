"""Outcomes of orders by what a target answers."""

import socket
import unittest
from dataclasses import replace

from pomelogauge.entry.messages import Order, OrderKind, OrderOutcome
from pomelogauge.model.ids import Address, Epoch, GroupName, TargetName
from pomelogauge.platform.orders import OrderClient
from pomelogauge.tasks.clock import BootClock

from .entry_fakes import LLM, SMALL
from .platform_standin import Handler, HttpStandin

LEAVE = Order(
    OrderKind.LEAVE, LLM, TargetName('t'), GroupName('g'), Epoch(1), SMALL
)


class TargetStandin(HttpStandin):
    """Answers each order with ``status`` and ``headers``."""

    status = 200
    headers: dict[str, str] = {}

    def serve(self, conn: Handler, body: bytes) -> None:
        conn.answer(self.status, {}, **self.headers)


class OrderClientTest(unittest.TestCase):
    def setUp(self) -> None:
        self.target = TargetStandin()
        self.addCleanup(self.target.close)

    def leave(self, status: int, **headers: str) -> OrderOutcome:
        """Send an order to leave that is answered with status and headers."""
        self.target.status = status
        self.target.headers = headers
        return OrderClient(BootClock()).send(
            Address(self.target.address), LEAVE
        )

    def test_an_accepted_order_is_taken(self) -> None:
        for status in (200, 202):
            self.assertIs(self.leave(status), OrderOutcome.TAKEN)

    def test_an_order_that_does_not_fit_the_state_is_refused(self) -> None:
        for status in (409, 412):
            self.assertIs(self.leave(status), OrderOutcome.REFUSED)

    def test_another_target_at_the_address_is_known(self) -> None:
        outcome = self.leave(421, At_Server='t2')
        self.assertIs(outcome, OrderOutcome.REPLACED)

    def test_a_target_that_turns_its_own_order_away_has_not_left(self) -> None:
        """Guards against taking a member that is misdirected for a free one."""
        for headers in ({'At_Server': 't'}, {'At_Server': ' '}, {}):
            with self.subTest(headers):
                outcome = self.leave(421, **headers)
                self.assertIs(outcome, OrderOutcome.FAILED)

    def test_a_failure_says_nothing_of_the_membership(self) -> None:
        """Guards against taking a target that fails for one that has left."""
        for status in (400, 408, 429, 500, 502, 503, 504):
            self.assertIs(self.leave(status), OrderOutcome.FAILED, status)

    def test_a_refused_connection_is_closed(self) -> None:
        with socket.create_server(('127.0.0.1', 0)) as free:
            port = free.getsockname()[1]
        outcome = OrderClient(BootClock()).send(
            Address(f'127.0.0.1:{port}'), LEAVE
        )
        self.assertIs(outcome, OrderOutcome.CLOSED)

    def test_a_name_that_fits_no_header_gives_no_answer(self) -> None:
        for name in (' t', 't\nx', 't\0'):
            order = replace(LEAVE, target=TargetName(name))
            outcome = OrderClient(BootClock()).send(
                Address(self.target.address), order
            )
            self.assertIs(outcome, OrderOutcome.NO_ANSWER, name)

    def test_an_address_that_does_not_exist_gives_no_answer(self) -> None:
        for address in (f'127.0.0.1:{10**30}', 'a..b:80'):
            outcome = OrderClient(BootClock()).send(Address(address), LEAVE)
            self.assertIs(outcome, OrderOutcome.NO_ANSWER, address)


if __name__ == '__main__':
    unittest.main()

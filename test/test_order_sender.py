"""Orders that waited or whose process was paused while the lease ended."""

import threading
import unittest

from pomelogauge.entry.messages import (
    Order,
    OrderKind,
    OrderOutcome,
    OrderSettled,
)
from pomelogauge.entry.order_sender import OrderPermit, OrderSenderPool
from pomelogauge.entry.ownership import OwnershipStatus
from pomelogauge.model.ids import (
    Address,
    Epoch,
    GroupName,
    ServiceName,
    TargetName,
)
from pomelogauge.tasks.mailbox import Mailbox
from pomelogauge.tasks.published import Published

from .entry_fakes import FakeClock

LEASE_S = 1.3
ADDRESS = Address('t1:1')


class Link:
    """Records the orders; the first one waits until it is let go."""

    def __init__(self) -> None:
        self.sent: list[Order] = []
        self.has_first = threading.Event()
        self.lets_go = threading.Event()

    def send(self, address: Address, order: Order) -> OrderOutcome:
        self.sent.append(order)
        self.has_first.set()
        self.lets_go.wait(5)
        return OrderOutcome.TAKEN


def order(kind: OrderKind) -> Order:
    return Order(
        kind,
        ServiceName('llm'),
        TargetName('t1'),
        GroupName('g'),
        Epoch(300_001),
    )


class OrderSenderTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = FakeClock()
        self.link = Link()
        self.settled: Mailbox[OrderSettled] = Mailbox()
        self.ownership = Published(OwnershipStatus())
        self.renew(term=3)
        self.pool = OrderSenderPool(
            self.link, OrderPermit(self.ownership, self.clock)
        )
        self.addCleanup(self.pool.keep_only, frozenset())
        self.addCleanup(self.link.lets_go.set)

    def renew(self, term: int) -> None:
        self.ownership.publish(
            OwnershipStatus(
                True,
                term,
                Address('n1:2'),
                until_s=self.clock.now_s() + LEASE_S,
            )
        )

    def send_behind_a_slow_order(self, kind: OrderKind) -> None:
        """Queue an order behind one that the target has not answered."""
        self.pool.send(ADDRESS, order(OrderKind.JOIN), self.settled)
        self.assertTrue(self.link.has_first.wait(5))
        self.pool.send(ADDRESS, order(kind), self.settled)

    def second_outcome(self) -> OrderOutcome:
        self.link.lets_go.set()
        self.settled.take(5)
        return self.settled.take(5).outcome

    def test_an_order_within_the_lease_is_sent(self) -> None:
        self.send_behind_a_slow_order(OrderKind.LEAVE)
        self.clock.at_s += LEASE_S - 0.1
        self.assertIs(self.second_outcome(), OrderOutcome.TAKEN)

    def test_an_order_is_not_sent_once_the_lease_has_ended(self) -> None:
        """Guards against a paused owner that acts beside its successor."""
        for kind in OrderKind:
            if kind is OrderKind.PROBE:
                continue
            with self.subTest(kind):
                self.setUp()
                self.send_behind_a_slow_order(kind)
                self.clock.at_s += LEASE_S + 0.1
                self.assertIs(self.second_outcome(), OrderOutcome.WITHHELD)
                self.assertEqual(len(self.link.sent), 1)

    def test_an_order_of_a_former_term_is_not_sent(self) -> None:
        self.send_behind_a_slow_order(OrderKind.LEAVE)
        self.clock.at_s += 5
        self.renew(term=5)
        self.assertIs(self.second_outcome(), OrderOutcome.WITHHELD)

    def test_an_order_is_sent_after_a_renewal_in_the_same_term(self) -> None:
        self.send_behind_a_slow_order(OrderKind.LEAVE)
        self.clock.at_s += 5
        self.renew(term=3)
        self.assertIs(self.second_outcome(), OrderOutcome.TAKEN)

    def test_orders_to_a_target_that_lapses_stay_in_order(self) -> None:
        """Guards against an order to leave that overtakes the one to join.

        The list no longer had the target, so that its sender was stopped with
        the order to join on its way. The target refused the order of the next
        sender, as it had not joined yet, and counted as free.
        """
        self.pool.send(ADDRESS, order(OrderKind.JOIN), self.settled)
        self.assertTrue(self.link.has_first.wait(5))
        self.pool.keep_only(frozenset())
        self.pool.send(ADDRESS, order(OrderKind.LEAVE), self.settled)
        self.assertIsNone(self.settled.take(0.2))
        sent = [one.kind for one in self.link.sent]
        self.assertEqual(sent, [OrderKind.JOIN])
        self.link.lets_go.set()
        outcomes = [self.settled.take(5).order.kind for _ in range(2)]
        self.assertEqual(outcomes, [OrderKind.JOIN, OrderKind.LEAVE])

    def test_a_probe_changes_nothing_and_is_sent(self) -> None:
        self.send_behind_a_slow_order(OrderKind.PROBE)
        self.clock.at_s += LEASE_S + 0.1
        self.assertIs(self.second_outcome(), OrderOutcome.TAKEN)


if __name__ == '__main__':
    unittest.main()

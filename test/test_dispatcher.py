"""Tests of the dispatcher, driven without a thread."""

import unittest
from dataclasses import replace

from pomelogauge.charts.reader import load_chart
from pomelogauge.decide.known_replica import FleetSettings
from pomelogauge.decide.queue import QueueLimits
from pomelogauge.decide.routing import LeastLoaded
from pomelogauge.decide.warmth_chart import WARMTH_WORDS
from pomelogauge.model.ids import (
    Address,
    Epoch,
    Incarnation,
    InstanceName,
    NodeName,
    ReplicaId,
    RequestId,
    ServiceName,
)
from pomelogauge.model.peers import ExchangeAnswer, NodePhase, ReplicaUse
from pomelogauge.model.placement import Grant, ReplicaView
from pomelogauge.model.request import (
    Execution,
    Refusal,
    RefusalCode,
    ServiceRequest,
    Slot,
    SlotOutcome,
)
from pomelogauge.model.topology import Instance, InstanceRole
from pomelogauge.tasks.dispatcher import Dispatcher, DispatcherSettings
from pomelogauge.tasks.mailbox import Mailbox
from pomelogauge.tasks.messages import (
    ConfigurationInForce,
    DemandRequested,
    ExchangeDone,
    ExchangeExpedited,
    IncarnationObserved,
    InstancesListed,
    PhaseChanged,
    ReleaseSlot,
    RequestServiceSlot,
    RequestSlot,
    VersionConfirmed,
    WithdrawRequest,
)
from pomelogauge.tasks.published import Published
from pomelogauge.tasks.router_state import RouterState

from .router_fixtures import (
    NORTH,
    OWN,
    FakeClock,
    configuration,
    request,
    view,
)

CHART = load_chart('target_warmth', WARMTH_WORDS)
REPLICA = ReplicaId('p-1')


class DispatcherTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = FakeClock()
        self.published = Published(RouterState())
        cfg = DispatcherSettings(
            OWN,
            FleetSettings(),
            QueueLimits(max_waiting=3),
        )
        self.hastened: Mailbox[ExchangeExpedited] = Mailbox()
        self.dispatcher = Dispatcher(
            cfg,
            self.clock,
            LeastLoaded(NORTH),
            CHART,
            self.published,
            self.hastened,
        )
        self.tell(ConfigurationInForce(configuration()))
        self.tell(PhaseChanged(NodePhase.READY))

    def tell(self, message) -> None:
        self.dispatcher.on_message(message)

    def test_a_late_confirmation_closes_at_once(self) -> None:
        waiting = self.ask('waiting')
        self.tell(VersionConfirmed(self.clock.at_s + 1))
        self.clock.at_s += 2
        late = self.ask('late')
        for reply in (waiting, late):
            self.assertIs(reply.take(0).code, RefusalCode.CUT_OFF)
        self.tell(VersionConfirmed(self.clock.at_s + 1))
        self.assertTrue(self.published.latest().is_ready)

    def grant(
        self,
        *views: ReplicaView,
        slots: int = 2,
        epoch: int = 1,
        controller: str = 'c-1',
        life_s: float = 3,
    ) -> None:
        grants = tuple(
            Grant(one.replica.replica, slots, life_s, Epoch(epoch))
            for one in views
        )
        answer = ExchangeAnswer(OWN, views, grants)
        now_s = self.clock.now_s()
        self.tell(ExchangeDone(NodeName(controller), now_s, answer))

    def ask(self, name: str, deadline_s: float = 30, **more) -> Mailbox:
        reply: Mailbox = Mailbox()
        now_s = self.clock.now_s()
        req = replace(request(name), deadline_s=deadline_s)
        self.tell(RequestSlot(req, now_s, reply, **more))
        return reply

    def free(self, name: str, end: SlotOutcome = SlotOutcome.COMPLETED) -> None:
        self.tell(ReleaseSlot(RequestId(name), end))

    def outcome(self, reply: Mailbox):
        self.assertEqual(reply.depth(), 1)
        return reply.take(0)

    def complete_one(self) -> None:
        self.outcome(self.ask('w'))
        self.free('w')

    def silence(self) -> None:
        now_s = self.clock.now_s()
        self.tell(ExchangeDone(NodeName('c-1'), now_s, None))

    def test_sends_nothing_without_a_live_grant(self) -> None:
        reply = self.ask('r-1')
        self.assertEqual(reply.depth(), 0)
        self.grant(view())
        self.assertIsInstance(self.outcome(reply), Slot)
        self.clock.at_s += 3
        self.assertEqual(self.ask('r-2').depth(), 0)

    def test_keeps_to_the_slots_and_wakes_who_waits(self) -> None:
        self.grant(view())
        replies = [self.ask(f'r-{number}') for number in range(3)]
        depths = [reply.depth() for reply in replies]
        self.assertEqual(depths, [1, 1, 0])
        self.free('r-0')
        self.assertIsInstance(self.outcome(replies[2]), Slot)

    def test_answers_once_when_the_deadline_is_over(self) -> None:
        reply = self.ask('r-1')
        due_s = self.dispatcher.on_timer()
        self.assertEqual(due_s, 30)
        self.clock.at_s += 30
        self.assertIsNone(self.dispatcher.on_timer())
        refusal = self.outcome(reply)
        self.assertEqual(refusal.code, RefusalCode.DEADLINE)
        self.assertEqual(refusal.execution, Execution.NOT_RUN)

    def test_a_forgotten_request_gets_and_keeps_no_place(self) -> None:
        waits = self.ask('r-1')
        self.tell(WithdrawRequest(RequestId('r-1')))
        self.grant(view(), slots=1)
        self.assertEqual(waits.depth(), 0)
        self.outcome(self.ask('r-2'))
        self.tell(WithdrawRequest(RequestId('r-2')))
        self.assertIsInstance(self.outcome(self.ask('r-3')), Slot)

    def test_static_stability_needs_proof(self) -> None:
        self.grant(view())
        self.complete_one()
        self.silence()
        self.clock.at_s += 10
        replies = [self.ask(f'r-{number}') for number in range(3)]
        self.assertEqual([one.depth() for one in replies], [1, 1, 0])
        self.free('r-0', SlotOutcome.CANCELLED)
        self.clock.at_s += 25
        self.free('r-1', SlotOutcome.CANCELLED)
        self.assertEqual(self.ask('r-4').depth(), 0)

    def test_static_stability_needs_warmth(self) -> None:
        self.grant(replace(view(), current_capacity=2))
        self.complete_one()
        self.silence()
        self.clock.at_s += 10
        self.assertEqual(self.ask('r-1').depth(), 0)

    def test_an_answer_without_a_grant_takes_it_back(self) -> None:
        self.grant(view())
        self.complete_one()
        answer = ExchangeAnswer(OWN, (view(),))
        self.clock.at_s += 3
        now_s = self.clock.now_s()
        self.tell(ExchangeDone(NodeName('c-1'), now_s, answer))
        self.assertEqual(self.ask('r-1').depth(), 0)

    def test_a_grant_taken_back_is_not_used_again(self) -> None:
        self.grant(view(), life_s=1)
        self.complete_one()
        answer = ExchangeAnswer(OWN, (view(),))
        now_s = self.clock.now_s()
        self.tell(ExchangeDone(NodeName('c-1'), now_s, answer))
        self.clock.at_s += 1
        self.silence()
        self.assertEqual(self.ask('r-1').depth(), 0)

    def test_takes_no_answer_to_an_older_ask(self) -> None:
        demand: Mailbox = Mailbox()
        for _ in range(2):
            self.tell(DemandRequested(demand, NodeName('c-1')))
        reply = self.ask('r-1')
        grant = Grant(REPLICA, 1, 3, Epoch(1))
        answer = ExchangeAnswer(OWN, (view(),), (grant,))
        for sequence, depth in ((1, 0), (2, 1)):
            done = ExchangeDone(
                NodeName('c-1'), self.clock.now_s(), answer, sequence
            )
            self.tell(done)
            self.assertEqual(reply.depth(), depth)

    def test_the_first_that_waits_hastens_the_exchanges(self) -> None:
        self.grant(view(), slots=1)
        for hastened in (0, 1, 1):
            self.ask(f'r-{self.clock.at_s}')
            self.clock.at_s += 0.1
            self.assertEqual(self.hastened.depth(), hastened)

    def test_refuses_early_what_would_wait_too_long(self) -> None:
        self.grant(view(), slots=1, life_s=60)
        for _ in range(20):
            self.complete_one()
            self.clock.at_s += 0.4
        self.ask('r-1')
        waits = [self.ask(f'r-{number}', deadline_s=2) for number in (2, 3)]
        self.assertEqual([one.depth() for one in waits], [0, 0])
        # Two go before it, and about two places come free in a second.
        refusal = self.outcome(self.ask('r-4', deadline_s=0.3))
        self.assertEqual(refusal.code, RefusalCode.DEADLINE)
        self.assertEqual(refusal.execution, Execution.NOT_RUN)
        self.assertGreaterEqual(refusal.retry_after_s, 1)

    def test_retries_are_a_share_of_first_tries(self) -> None:
        lost = (REPLICA,)
        for number in range(200):
            name = f'l-{number}'
            self.ask(name, avoid=lost, admitted=True)
            self.tell(WithdrawRequest(RequestId(name)))
        refusal = self.outcome(self.ask('l', avoid=lost, admitted=True))
        self.assertEqual(refusal.code, RefusalCode.TARGET_LOST)
        for _ in range(6):
            self.ask('r-1')
            self.tell(WithdrawRequest(RequestId('r-1')))
        depths = [
            self.ask(name, avoid=lost, admitted=True).depth()
            for name in ('l-1', 'l-2')
        ]
        self.assertEqual(depths, [0, 1])

    def test_tells_what_may_still_run(self) -> None:
        self.grant(view(), life_s=1)
        self.outcome(self.ask('r-1'))
        self.free('r-1', SlotOutcome.LOST)
        for held in (2, 0):
            demand: Mailbox = Mailbox()
            self.tell(DemandRequested(demand))
            use = ReplicaUse(REPLICA, 1, held)
            self.assertEqual(demand.take(0).uses, (use,))
            self.clock.at_s += 1

    def test_a_new_incarnation_drops_to_the_cold_share(self) -> None:
        self.grant(view(), slots=3)
        self.outcome(self.ask('r-0'))
        self.tell(IncarnationObserved(REPLICA, Incarnation('two')))
        reply = self.ask('r-1')
        self.assertEqual(reply.depth(), 0)
        # A late report of the former incarnation confirms nothing.
        self.grant(view(), slots=3)
        self.assertEqual(reply.depth(), 0)
        self.grant(view(incarnation='two'), slots=3)
        self.assertIsInstance(self.outcome(reply), Slot)

    def test_a_lower_lease_epoch_is_ignored(self) -> None:
        self.grant(view(), slots=1, epoch=5)
        self.grant(view(serving=False), epoch=4, controller='c-2')
        self.assertIsInstance(self.outcome(self.ask('r-1')), Slot)
        self.grant(view(serving=False), epoch=6, controller='c-2')
        self.grant(view(), epoch=5)
        self.free('r-1')
        self.assertEqual(self.ask('r-2').depth(), 0)

    def test_a_lost_replica_gets_nothing_and_is_named(self) -> None:
        self.grant(view(), life_s=60)
        self.outcome(self.ask('r-1'))
        self.free('r-1', SlotOutcome.LOST)
        reply = self.ask('r-1', avoid=(REPLICA,), admitted=True)
        other = self.ask('r-2')
        self.assertEqual((reply.depth(), other.depth()), (0, 0))
        demand: Mailbox = Mailbox()
        self.tell(DemandRequested(demand))
        asked = demand.take(0)
        self.assertEqual(asked.suspects, (REPLICA,))
        self.assertEqual(asked.demands[0].waiting, 2)
        self.clock.at_s += self.dispatcher.on_timer()
        self.dispatcher.on_timer()
        self.assertIsInstance(self.outcome(other), Slot)
        self.assertEqual(reply.depth(), 0)

    def test_a_lost_request_keeps_its_slot_for_a_while(self) -> None:
        self.grant(view(), slots=1, life_s=60)
        self.outcome(self.ask('r-1'))
        self.free('r-1', SlotOutcome.LOST)
        reply = self.ask('r-2')
        for expected in (0, 1):
            self.clock.at_s += self.dispatcher.on_timer()
            self.dispatcher.on_timer()
            self.assertEqual(reply.depth(), expected)

    def test_leaving_refuses_new_work_only(self) -> None:
        self.grant(view())
        self.tell(PhaseChanged(NodePhase.LEAVING))
        refusal = self.outcome(self.ask('r-1'))
        self.assertEqual(refusal.code, RefusalCode.DRAINING)
        self.assertIsInstance(
            self.outcome(self.ask('r-2', admitted=True)), Slot
        )
        # A confirmed configuration does not bring a leaving router back.
        self.tell(PhaseChanged(NodePhase.READY))
        refusal = self.outcome(self.ask('r-3'))
        self.assertEqual(refusal.code, RefusalCode.DRAINING)

    def test_cut_off_refuses_until_confirmed(self) -> None:
        self.grant(view())
        self.tell(PhaseChanged(NodePhase.CUT_OFF))
        refusal = self.outcome(self.ask('r-1'))
        self.assertEqual(refusal.code, RefusalCode.CUT_OFF)
        self.tell(PhaseChanged(NodePhase.READY))
        self.assertIsInstance(self.outcome(self.ask('r-2')), Slot)

    def test_drained_and_leaving_targets_get_no_new_work(self) -> None:
        self.grant(view())
        self.tell(ConfigurationInForce(configuration(2, ('north',))))
        self.tell(ConfigurationInForce(configuration(1)))
        self.assertEqual(self.ask('r-1').depth(), 0)
        self.tell(ConfigurationInForce(configuration(3)))
        leaving = Instance(
            InstanceName('i-p-1'),
            InstanceRole.ENGINE,
            Address('p-1:1'),
            NORTH,
            leaving=True,
        )
        self.tell(InstancesListed((leaving,)))
        self.assertEqual(self.ask('r-2').depth(), 0)

    def test_the_queue_is_bounded(self) -> None:
        for number in range(3):
            self.ask(f'r-{number}')
        refusal = self.outcome(self.ask('r-3'))
        self.assertEqual(refusal.code, RefusalCode.NO_CAPACITY)

    def test_places_service_calls(self) -> None:
        books = Instance(
            InstanceName('b'),
            InstanceRole.SERVICE,
            Address('b:1'),
            NORTH,
            service=ServiceName('books'),
        )
        self.tell(InstancesListed((books,)))
        asked = ServiceRequest(
            RequestId('r-1'), request().organisation, books.service, 'pay'
        )
        reply: Mailbox = Mailbox()
        self.tell(RequestServiceSlot(asked, 0, reply))
        self.assertEqual(self.outcome(reply).address, 'b:1')
        self.tell(RequestServiceSlot(asked, 0, reply, (books.address,)))
        self.assertIsInstance(self.outcome(reply), Refusal)

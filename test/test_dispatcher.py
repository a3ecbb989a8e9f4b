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
from pomelogauge.model.peers import ExchangeAnswer, ReplicaUse
from pomelogauge.model.phase import NodePhase
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
    ReleaseSlot,
    RequestServiceSlot,
    RequestSlot,
    VersionConfirmed,
    WithdrawRequest,
)
from pomelogauge.tasks.published import Published
from pomelogauge.tasks.router_state import RouterState
from pomelogauge.tasks.shutdown_messages import PhaseChanged

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
    """Guards what the dispatcher grants, refuses and reports.

    Failures are slots beyond a grant, on a lost or cold replica or under an
    outdated configuration, requests without an answer or with two, and
    reports that leave out what a target may still run.
    """

    def setUp(self) -> None:
        self.clock = FakeClock()
        self.published = Published(RouterState())
        cfg = DispatcherSettings(
            OWN,
            FleetSettings(),
            QueueLimits(max_waiting=3),
        )
        self.expedited: Mailbox[ExchangeExpedited] = Mailbox()
        self.dispatcher = Dispatcher(
            cfg,
            self.clock,
            LeastLoaded(NORTH),
            CHART,
            self.published,
            self.expedited,
        )
        self.send(ConfigurationInForce(configuration()))
        self.send(PhaseChanged(NodePhase.READY))

    def send(self, message) -> None:
        """Pass a message to the dispatcher as its task would."""
        self.dispatcher.on_message(message)

    def test_requests_are_refused_once_the_confirmation_expires(self) -> None:
        waiting = self.request_slot('waiting')
        self.send(VersionConfirmed(self.clock.at_s + 1))
        self.clock.at_s += 2
        late = self.request_slot('late')
        for reply in (waiting, late):
            self.assertIs(reply.take(0).code, RefusalCode.CUT_OFF)
        self.send(VersionConfirmed(self.clock.at_s + 1))
        self.assertTrue(self.published.latest().is_ready)

    def grant(
        self,
        *views: ReplicaView,
        slots: int = 2,
        epoch: int = 1,
        controller: str = 'c-1',
        life_s: float = 3,
    ) -> None:
        """Report a controller's answer with a grant for each view."""
        grants = tuple(
            Grant(replica_view.replica.replica, slots, life_s, Epoch(epoch))
            for replica_view in views
        )
        answer = ExchangeAnswer(OWN, views, grants)
        now_s = self.clock.now_s()
        self.send(ExchangeDone(NodeName(controller), now_s, answer))

    def request_slot(
        self, name: str, deadline_s: float = 30, **more
    ) -> Mailbox:
        """Request a slot and return the mailbox of the answer."""
        reply: Mailbox = Mailbox()
        now_s = self.clock.now_s()
        req = replace(request(name), deadline_s=deadline_s)
        self.send(RequestSlot(req, now_s, reply, **more))
        return reply

    def release(
        self, name: str, end: SlotOutcome = SlotOutcome.COMPLETED
    ) -> None:
        """Release the slot of a request."""
        self.send(ReleaseSlot(RequestId(name), end))

    def outcome(self, reply: Mailbox):
        """Check that there is exactly one answer and return it."""
        self.assertEqual(reply.depth(), 1)
        return reply.take(0)

    def complete_request(self) -> None:
        """Grant and complete one request, which confirms its replica."""
        self.outcome(self.request_slot('w'))
        self.release('w')

    def lose_controller(self) -> None:
        """Report an exchange that the controller did not answer."""
        now_s = self.clock.now_s()
        self.send(ExchangeDone(NodeName('c-1'), now_s, None))

    def test_no_slot_is_granted_without_a_live_grant(self) -> None:
        reply = self.request_slot('r-1')
        self.assertEqual(reply.depth(), 0)
        self.grant(view())
        self.assertIsInstance(self.outcome(reply), Slot)
        self.clock.at_s += 3
        self.assertEqual(self.request_slot('r-2').depth(), 0)

    def test_released_slot_goes_to_a_waiting_request(self) -> None:
        self.grant(view())
        replies = [self.request_slot(f'r-{number}') for number in range(3)]
        depths = [reply.depth() for reply in replies]
        self.assertEqual(depths, [1, 1, 0])
        self.release('r-0')
        self.assertIsInstance(self.outcome(replies[2]), Slot)

    def test_request_is_refused_once_at_its_deadline(self) -> None:
        reply = self.request_slot('r-1')
        due_s = self.dispatcher.on_timer()
        self.assertEqual(due_s, 30)
        self.clock.at_s += 30
        self.assertIsNone(self.dispatcher.on_timer())
        refusal = self.outcome(reply)
        self.assertEqual(refusal.code, RefusalCode.DEADLINE)
        self.assertEqual(refusal.execution, Execution.NOT_RUN)

    def test_withdrawn_request_neither_gets_nor_keeps_a_slot(self) -> None:
        waits = self.request_slot('r-1')
        self.send(WithdrawRequest(RequestId('r-1')))
        self.grant(view(), slots=1)
        self.assertEqual(waits.depth(), 0)
        self.outcome(self.request_slot('r-2'))
        self.send(WithdrawRequest(RequestId('r-2')))
        self.assertIsInstance(self.outcome(self.request_slot('r-3')), Slot)

    def test_slots_outlive_a_lost_controller_only_while_answers_complete(
        self,
    ) -> None:
        self.grant(view())
        self.complete_request()
        self.lose_controller()
        self.clock.at_s += 10
        replies = [self.request_slot(f'r-{number}') for number in range(3)]
        self.assertEqual([reply.depth() for reply in replies], [1, 1, 0])
        self.release('r-0', SlotOutcome.CANCELLED)
        self.clock.at_s += 25
        self.release('r-1', SlotOutcome.CANCELLED)
        self.assertEqual(self.request_slot('r-4').depth(), 0)

    def test_slots_of_a_cold_replica_end_with_a_lost_controller(self) -> None:
        self.grant(replace(view(), current_capacity=2))
        self.complete_request()
        self.lose_controller()
        self.clock.at_s += 10
        self.assertEqual(self.request_slot('r-1').depth(), 0)

    def test_answer_without_a_grant_withdraws_the_earlier_grant(self) -> None:
        self.grant(view())
        self.complete_request()
        answer = ExchangeAnswer(OWN, (view(),))
        self.clock.at_s += 3
        now_s = self.clock.now_s()
        self.send(ExchangeDone(NodeName('c-1'), now_s, answer))
        self.assertEqual(self.request_slot('r-1').depth(), 0)

    def test_withdrawn_grant_is_not_used_when_the_controller_is_lost(
        self,
    ) -> None:
        self.grant(view(), life_s=1)
        self.complete_request()
        answer = ExchangeAnswer(OWN, (view(),))
        now_s = self.clock.now_s()
        self.send(ExchangeDone(NodeName('c-1'), now_s, answer))
        self.clock.at_s += 1
        self.lose_controller()
        self.assertEqual(self.request_slot('r-1').depth(), 0)

    def test_answer_to_an_outdated_exchange_is_ignored(self) -> None:
        demand: Mailbox = Mailbox()
        for _ in range(2):
            self.send(DemandRequested(demand, NodeName('c-1')))
        reply = self.request_slot('r-1')
        grant = Grant(REPLICA, 1, 3, Epoch(1))
        answer = ExchangeAnswer(OWN, (view(),), (grant,))
        for sequence, depth in ((1, 0), (2, 1)):
            done = ExchangeDone(
                NodeName('c-1'), self.clock.now_s(), answer, sequence
            )
            self.send(done)
            self.assertEqual(reply.depth(), depth)

    def test_first_waiting_request_expedites_the_exchanges(self) -> None:
        self.grant(view(), slots=1)
        for expedited in (0, 1, 1):
            self.request_slot(f'r-{self.clock.at_s}')
            self.clock.at_s += 0.1
            self.assertEqual(self.expedited.depth(), expedited)

    def test_request_that_would_miss_its_deadline_is_refused_at_once(
        self,
    ) -> None:
        self.grant(view(), slots=1, life_s=60)
        for _ in range(20):
            self.complete_request()
            self.clock.at_s += 0.4
        self.request_slot('r-1')
        waits = [
            self.request_slot(f'r-{number}', deadline_s=2) for number in (2, 3)
        ]
        self.assertEqual([reply.depth() for reply in waits], [0, 0])
        # Two requests are ahead, and about two slots are released a second.
        refusal = self.outcome(self.request_slot('r-4', deadline_s=0.3))
        self.assertEqual(refusal.code, RefusalCode.DEADLINE)
        self.assertEqual(refusal.execution, Execution.NOT_RUN)
        self.assertGreaterEqual(refusal.retry_after_s, 1)

    def test_retry_budget_grows_with_first_attempts(self) -> None:
        lost = (REPLICA,)
        for number in range(200):
            name = f'l-{number}'
            self.request_slot(name, avoid=lost, admitted=True)
            self.send(WithdrawRequest(RequestId(name)))
        refusal = self.outcome(
            self.request_slot('l', avoid=lost, admitted=True)
        )
        self.assertEqual(refusal.code, RefusalCode.TARGET_LOST)
        for _ in range(6):
            self.request_slot('r-1')
            self.send(WithdrawRequest(RequestId('r-1')))
        depths = [
            self.request_slot(name, avoid=lost, admitted=True).depth()
            for name in ('l-1', 'l-2')
        ]
        self.assertEqual(depths, [0, 1])

    def test_demand_counts_lost_requests_that_may_still_run(self) -> None:
        self.grant(view(), life_s=1)
        self.outcome(self.request_slot('r-1'))
        self.release('r-1', SlotOutcome.LOST)
        for held in (2, 0):
            demand: Mailbox = Mailbox()
            self.send(DemandRequested(demand))
            use = ReplicaUse(REPLICA, 1, held)
            self.assertEqual(demand.take(0).uses, (use,))
            self.clock.at_s += 1

    def test_new_incarnation_gets_the_slots_of_a_cold_replica(self) -> None:
        self.grant(view(), slots=3)
        self.outcome(self.request_slot('r-0'))
        self.send(IncarnationObserved(REPLICA, Incarnation('two')))
        reply = self.request_slot('r-1')
        self.assertEqual(reply.depth(), 0)
        # A late report of the former incarnation must not confirm the new
        # one.
        self.grant(view(), slots=3)
        self.assertEqual(reply.depth(), 0)
        self.grant(view(incarnation='two'), slots=3)
        self.assertIsInstance(self.outcome(reply), Slot)

    def test_grant_of_a_lower_lease_epoch_is_ignored(self) -> None:
        self.grant(view(), slots=1, epoch=5)
        self.grant(view(serving=False), epoch=4, controller='c-2')
        self.assertIsInstance(self.outcome(self.request_slot('r-1')), Slot)
        self.grant(view(serving=False), epoch=6, controller='c-2')
        self.grant(view(), epoch=5)
        self.release('r-1')
        self.assertEqual(self.request_slot('r-2').depth(), 0)

    def test_lost_replica_is_held_back_and_reported_as_suspect(self) -> None:
        self.grant(view(), life_s=60)
        self.outcome(self.request_slot('r-1'))
        self.release('r-1', SlotOutcome.LOST)
        reply = self.request_slot('r-1', avoid=(REPLICA,), admitted=True)
        other = self.request_slot('r-2')
        self.assertEqual((reply.depth(), other.depth()), (0, 0))
        demand: Mailbox = Mailbox()
        self.send(DemandRequested(demand))
        exchange_request = demand.take(0)
        self.assertEqual(exchange_request.suspects, (REPLICA,))
        self.assertEqual(exchange_request.demands[0].waiting, 2)
        self.clock.at_s += self.dispatcher.on_timer()
        self.dispatcher.on_timer()
        self.assertIsInstance(self.outcome(other), Slot)
        self.assertEqual(reply.depth(), 0)

    def test_lost_request_keeps_its_slot_until_the_target_has_noticed(
        self,
    ) -> None:
        self.grant(view(), slots=1, life_s=60)
        self.outcome(self.request_slot('r-1'))
        self.release('r-1', SlotOutcome.LOST)
        reply = self.request_slot('r-2')
        for expected in (0, 1):
            self.clock.at_s += self.dispatcher.on_timer()
            self.dispatcher.on_timer()
            self.assertEqual(reply.depth(), expected)

    def test_leaving_router_refuses_new_requests_only(self) -> None:
        self.grant(view())
        self.send(PhaseChanged(NodePhase.LEAVING))
        refusal = self.outcome(self.request_slot('r-1'))
        self.assertEqual(refusal.code, RefusalCode.DRAINING)
        self.assertIsInstance(
            self.outcome(self.request_slot('r-2', admitted=True)), Slot
        )
        # A confirmed configuration must not make a leaving router ready.
        self.send(PhaseChanged(NodePhase.READY))
        refusal = self.outcome(self.request_slot('r-3'))
        self.assertEqual(refusal.code, RefusalCode.DRAINING)

    def test_cut_off_router_refuses_until_its_configuration_is_confirmed(
        self,
    ) -> None:
        self.grant(view())
        self.send(PhaseChanged(NodePhase.CUT_OFF))
        refusal = self.outcome(self.request_slot('r-1'))
        self.assertEqual(refusal.code, RefusalCode.CUT_OFF)
        self.send(PhaseChanged(NodePhase.READY))
        self.assertIsInstance(self.outcome(self.request_slot('r-2')), Slot)

    def test_drained_and_leaving_targets_get_no_new_requests(self) -> None:
        self.grant(view())
        self.send(ConfigurationInForce(configuration(2, ('north',))))
        self.send(ConfigurationInForce(configuration(1)))
        self.assertEqual(self.request_slot('r-1').depth(), 0)
        self.send(ConfigurationInForce(configuration(3)))
        leaving = Instance(
            InstanceName('i-p-1'),
            InstanceRole.ENGINE,
            Address('p-1:1'),
            NORTH,
            leaving=True,
        )
        self.send(InstancesListed((leaving,)))
        self.assertEqual(self.request_slot('r-2').depth(), 0)

    def test_request_is_refused_when_the_queue_is_full(self) -> None:
        for number in range(3):
            self.request_slot(f'r-{number}')
        refusal = self.outcome(self.request_slot('r-3'))
        self.assertEqual(refusal.code, RefusalCode.NO_CAPACITY)

    def test_service_call_gets_an_instance_it_has_not_tried(self) -> None:
        books = Instance(
            InstanceName('b'),
            InstanceRole.SERVICE,
            Address('b:1'),
            NORTH,
            service=ServiceName('books'),
        )
        self.send(InstancesListed((books,)))
        service_request = ServiceRequest(
            RequestId('r-1'), request().organisation, books.service, 'pay'
        )
        reply: Mailbox = Mailbox()
        self.send(RequestServiceSlot(service_request, 0, reply))
        self.assertEqual(self.outcome(reply).address, 'b:1')
        self.send(
            RequestServiceSlot(service_request, 0, reply, (books.address,))
        )
        self.assertIsInstance(self.outcome(reply), Refusal)

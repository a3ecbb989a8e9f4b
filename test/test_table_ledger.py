"""Tests of the ledger of at-most-once calls."""

import unittest
from dataclasses import replace
from random import Random

from returns.result import Failure, Success

from pomelogauge.charts.reader import load_chart
from pomelogauge.decide.non_idempotent_call import CALL_WORDS
from pomelogauge.model.ids import (
    CallName,
    Incarnation,
    NodeName,
    OrganisationName,
    RequestId,
    ServiceName,
)
from pomelogauge.model.request import Execution, RefusalCode, ServiceRequest
from pomelogauge.services.ledger import Permit
from pomelogauge.services.protocols import ServiceAnswer, ServiceError
from pomelogauge.services.table_ledger import (
    LedgerParts,
    LedgerSettings,
    TableLedger,
)
from pomelogauge.standins.memory_platform import MemoryPlatform
from pomelogauge.tables.protocols import PlatformError, PlatformFault
from pomelogauge.tasks.intent_sweeper import IntentSweeper, SweepSettings
from pomelogauge.tasks.mailbox import Mailbox
from pomelogauge.tasks.minted_keys import MintedKeys
from pomelogauge.tasks.non_idempotent_messages import KeyRequested
from pomelogauge.tasks.outcome_writer import OutcomeWriter, WriterSettings
from pomelogauge.tasks.transactions import TransactionNames
from pomelogauge.wire.intent_rows import BUCKET_COUNT, INTENTS, intent_key

from .router_fixtures import FakeClock

CHART = load_chart('non_idempotent_call', CALL_WORDS)
ANSWERED = Success(ServiceAnswer(200, b'booked'))
LOST = Failure(ServiceError('cut', Execution.MAY_HAVE_RUN))
NOT_RUN = Failure(ServiceError('refused', Execution.NOT_RUN))
DOWN = PlatformError(PlatformFault.UNAVAILABLE, 'down')
INDETERMINATE = PlatformError(PlatformFault.INDETERMINATE, 'lost')


def call(request: str = 'r-1', key: str = 'k') -> ServiceRequest:
    """Return a request for the same call, with a request id and a key."""
    return ServiceRequest(
        RequestId(request),
        OrganisationName('large'),
        ServiceName('books'),
        CallName('pay'),
        key,
    )


class LossyPlatform(MemoryPlatform):
    """Platform that loses answers, or delays writes and reports no outcome.

    ``lost_answers`` and ``delays`` count the commits that are still disturbed;
    the test commits the transactions in ``delayed`` itself.
    """

    def __init__(self) -> None:
        super().__init__()
        self.lost_answers = 0
        self.delayed = []
        self.delays = 0

    def commit(self, transaction):
        if self.delays:
            self.delays -= 1
            self.delayed.append(transaction)
            return Failure(INDETERMINATE)
        outcome = super().commit(transaction)
        if self.lost_answers:
            self.lost_answers -= 1
            return Failure(INDETERMINATE)
        return outcome


class Inline:
    """Outbox that handles each message at once instead of in a task."""

    def __init__(self, actor) -> None:
        self.actor = actor

    def post(self, message) -> None:
        self.actor.on_message(message)
        self.actor.on_timer()


class Router:
    """The ledger of one router and the actors that it posts to."""

    def __init__(self, platform: LossyPlatform, name: str) -> None:
        self.clock = FakeClock()
        self.minted = Inline(MintedKeys(Incarnation(name)))
        self.writer = OutcomeWriter(
            WriterSettings(max_waiting=3), platform, self.clock, Random(1)
        )
        self.ledger = TableLedger(
            LedgerParts(
                LedgerSettings(NodeName(name), Incarnation(name), 100),
                platform,
                CHART,
                self.minted,
                Inline(self.writer),
                self.clock,
            )
        )

    def run(self, outcome, req=None, body: bytes = b'{}'):
        """Begin a call, and finish it with an outcome if it may be sent."""
        req = req or call()
        begun = self.ledger.begin(req, body)
        if isinstance(begun, Success) and isinstance(begun.unwrap(), Permit):
            self.ledger.finish(begun.unwrap(), outcome)
        return begun

    def mint(self) -> str:
        """Return a new key that this router has minted."""
        reply = Mailbox()
        self.minted.post(KeyRequested(OrganisationName('large'), reply))
        return reply.take(1)

    def write_outcomes(self) -> None:
        """Let a minute pass and write all outcomes that wait."""
        self.clock.at_s += 60
        while self.writer.on_timer() == 0:
            """Write the next outcome."""


class TableLedgerTest(unittest.TestCase):
    """A call with one key must not run twice, whatever answers are lost."""

    def setUp(self) -> None:
        self.platform = LossyPlatform()
        self.first = Router(self.platform, 'one')
        self.other = Router(self.platform, 'other')

    def may_send(self, begun) -> bool:
        """Return whether the ledger permits to send the call."""
        return isinstance(begun.value_or(None), Permit)

    def refusal_of(self, begun) -> tuple[RefusalCode, Execution]:
        """Return why a retry was refused, and what it says about the run."""
        refusal = begun.failure()
        self.assertEqual(refusal.request, 'r-2')
        return refusal.code, refusal.execution

    def retry(self, router, outcome=ANSWERED, body=b'{}', key='k'):
        """Send a second request, by default with the key of the first."""
        return router.run(outcome, call('r-2', key), body)

    def test_a_retry_gets_the_stored_answer(self) -> None:
        self.assertTrue(self.may_send(self.first.run(ANSWERED)))
        self.assertEqual(self.retry(self.other), ANSWERED)
        refused = self.retry(self.other, body=b'{"sum": 2}')
        self.assertEqual(
            self.refusal_of(refused),
            (RefusalCode.KEY_REUSED, Execution.NOT_RUN),
        )
        self.assertTrue(self.may_send(self.retry(self.other, key='k2')))

    def test_a_call_that_may_have_run_is_never_sent_again(self) -> None:
        unknown = (RefusalCode.OUTCOME_UNKNOWN, Execution.MAY_HAVE_RUN)
        self.assertTrue(self.may_send(self.first.ledger.begin(call(), b'{}')))
        for router in (self.first, self.other):
            begun = self.retry(router)
            self.assertEqual(self.refusal_of(begun), unknown)
            self.assertGreater(begun.failure().retry_after_s, 0)
        self.first.run(LOST, call('r-3', 'cut'))
        begun = self.retry(self.other, key='cut')
        self.assertEqual(self.refusal_of(begun), unknown)
        self.assertEqual(begun.failure().retry_after_s, 0)

    def test_a_call_that_did_not_run_may_be_sent_by_another_router(
        self,
    ) -> None:
        self.assertTrue(self.may_send(self.first.run(NOT_RUN)))
        self.assertTrue(self.may_send(self.retry(self.other)))
        self.assertEqual(self.retry(self.first), ANSWERED)

    def test_a_call_with_a_large_answer_is_known_to_have_run(self) -> None:
        self.first.run(Success(ServiceAnswer(200, b'x' * 101)))
        self.assertEqual(
            self.refusal_of(self.retry(self.other)),
            (RefusalCode.ANSWER_NOT_KEPT, Execution.RAN),
        )

    def test_an_intent_whose_answer_was_lost_is_read_back(self) -> None:
        self.platform.lost_answers = 1
        self.assertTrue(self.may_send(self.first.run(ANSWERED)))
        self.assertEqual(self.retry(self.other), ANSWERED)

    def test_an_intent_that_arrives_late_conflicts_with_the_freed_key(
        self,
    ) -> None:
        self.platform.delays = 1
        begun = self.retry(self.first)
        self.assertEqual(
            self.refusal_of(begun), (RefusalCode.STORE_DOWN, Execution.NOT_RUN)
        )
        late = self.platform.delayed[0]
        self.assertTrue(isinstance(self.platform.commit(late), Failure))
        self.assertTrue(self.may_send(self.retry(self.other)))

    def test_an_intent_that_took_effect_late_is_released(self) -> None:
        self.platform.delays = 2
        self.retry(self.first)
        self.platform.commit(self.platform.delayed[0])
        self.assertEqual(
            self.refusal_of(self.retry(self.other))[1], Execution.MAY_HAVE_RUN
        )
        self.first.write_outcomes()
        self.assertTrue(self.may_send(self.retry(self.other)))

    def test_outcomes_are_written_when_the_store_is_back(self) -> None:
        begun = self.first.ledger.begin(call(), b'{}')
        self.platform.fault = DOWN
        self.first.ledger.finish(begun.unwrap(), ANSWERED)
        self.assertEqual(
            self.refusal_of(self.retry(self.other)),
            (RefusalCode.STORE_DOWN, Execution.NOT_RUN),
        )
        self.platform.fault = None
        self.platform.lost_answers = 1
        self.first.write_outcomes()
        self.first.write_outcomes()
        self.assertEqual(self.retry(self.other), ANSWERED)

    def test_a_minted_key_runs_once_without_the_store(self) -> None:
        key = self.first.mint()
        self.platform.fault = DOWN
        self.assertTrue(
            self.may_send(self.first.run(ANSWERED, call('r-1', key)))
        )
        self.assertEqual(self.retry(self.first, key=key), ANSWERED)
        unknown = (RefusalCode.OUTCOME_UNKNOWN, Execution.MAY_HAVE_RUN)
        begun = self.retry(self.other, key=key)
        self.assertEqual(self.refusal_of(begun), unknown)
        self.platform.fault = None
        begun = self.retry(self.other, key=key)
        self.assertEqual(self.refusal_of(begun), unknown)
        self.first.write_outcomes()
        for router in (self.first, self.other, Router(self.platform, 'new')):
            self.assertEqual(self.retry(router, key=key), ANSWERED)

    def test_a_minted_key_whose_outcome_was_dropped_is_not_run_again(
        self,
    ) -> None:
        self.platform.fault = DOWN
        keys = [self.first.mint() for _ in range(5)]
        for key in keys:
            self.first.run(ANSWERED, call(f'r-{key}', key))
        self.platform.fault = None
        self.first.write_outcomes()
        for key in keys:
            self.assertFalse(self.may_send(self.retry(self.first, key=key)))

    def test_a_minted_key_is_free_after_a_call_that_did_not_run(self) -> None:
        key = self.first.mint()
        self.first.run(NOT_RUN, call('r-1', key))
        self.assertTrue(self.may_send(self.retry(self.first, key=key)))
        self.assertFalse(self.may_send(self.retry(self.first, key=f'{key}x')))


class IntentSweeperTest(unittest.TestCase):
    """Rows are deleted when they expire, and no two calls share a row."""

    def test_deletes_expired_rows_only(self) -> None:
        platform = LossyPlatform()
        router = Router(platform, 'one')
        router.run(ANSWERED, call('r-1', 'old'))
        router.clock.at_s += 100
        router.run(ANSWERED, call('r-2', 'new'))
        sweeper = IntentSweeper(
            SweepSettings(interval_s=0, life_s=50),
            platform,
            TransactionNames('one', 'one'),
            router.clock,
            Random(1),
        )
        for _ in range(BUCKET_COUNT):
            sweeper.on_timer()
        left = [row.key for row in platform.scan(INTENTS).unwrap()]
        self.assertEqual(left, [intent_key(call('r-2', 'new'))])

    def test_row_keys_of_different_calls_differ(self) -> None:
        long = 'x' * 300
        keys = {
            intent_key(call(key='a/b')).key,
            intent_key(replace(call(key='b'), call=CallName('pay/a'))).key,
            intent_key(call(key=long)).key,
            intent_key(call(key=f'{long}y')).key,
        }
        self.assertEqual(len(keys), 4)
        self.assertLess(max(map(len, keys)), 250)

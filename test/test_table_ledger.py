"""Tests of the ledger of calls that may run at most once."""

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
WHOLE = Success(ServiceAnswer(200, b'booked'))
LOST = Failure(ServiceError('cut', Execution.MAY_HAVE_RUN))
NOT_RUN = Failure(ServiceError('refused', Execution.NOT_RUN))
DOWN = PlatformError(PlatformFault.UNAVAILABLE, 'down')
INDETERMINATE = PlatformError(PlatformFault.INDETERMINATE, 'lost')


def call(request: str = 'r-1', key: str = 'k') -> ServiceRequest:
    return ServiceRequest(
        RequestId(request),
        OrganisationName('large'),
        ServiceName('books'),
        CallName('pay'),
        key,
    )


class LossyPlatform(MemoryPlatform):
    """Can lose its answer, or hold a write back until it is let through."""

    def __init__(self) -> None:
        super().__init__()
        self.lose = 0
        self.held = []
        self.hold = 0

    def commit(self, transaction):
        if self.hold:
            self.hold -= 1
            self.held.append(transaction)
            return Failure(INDETERMINATE)
        outcome = super().commit(transaction)
        if self.lose:
            self.lose -= 1
            return Failure(INDETERMINATE)
        return outcome


class Inline:
    """Runs an actor at once, as its task would."""

    def __init__(self, actor) -> None:
        self.actor = actor

    def post(self, message) -> None:
        self.actor.on_message(message)
        self.actor.on_timer()


class Router:
    """One router's ledger and the tasks behind it."""

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
        """Send the call if the ledger lets it through."""
        req = req or call()
        begun = self.ledger.begin(req, body)
        if isinstance(begun, Success) and isinstance(begun.unwrap(), Permit):
            self.ledger.finish(begun.unwrap(), outcome)
        return begun

    def mint(self) -> str:
        reply = Mailbox()
        self.minted.post(KeyRequested(OrganisationName('large'), reply))
        return reply.take(1)

    def catch_up(self) -> None:
        self.clock.at_s += 60
        while self.writer.on_timer() == 0:
            """Write what is due."""


class TableLedgerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.platform = LossyPlatform()
        self.one = Router(self.platform, 'one')
        self.other = Router(self.platform, 'other')

    def sent(self, begun) -> bool:
        return isinstance(begun.value_or(None), Permit)

    def refused(self, begun) -> tuple[RefusalCode, Execution]:
        refusal = begun.failure()
        self.assertEqual(refusal.request, 'r-2')
        return refusal.code, refusal.execution

    def again(self, router, outcome=WHOLE, body=b'{}', key='k'):
        return router.run(outcome, call('r-2', key), body)

    def test_a_repeat_gets_the_kept_answer(self) -> None:
        self.assertTrue(self.sent(self.one.run(WHOLE)))
        self.assertEqual(self.again(self.other), WHOLE)
        refused = self.again(self.other, body=b'{"sum": 2}')
        self.assertEqual(
            self.refused(refused),
            (RefusalCode.KEY_REUSED, Execution.NOT_RUN),
        )
        self.assertTrue(self.sent(self.again(self.other, key='k2')))

    def test_what_may_have_run_is_never_sent_again(self) -> None:
        unknown = (RefusalCode.OUTCOME_UNKNOWN, Execution.MAY_HAVE_RUN)
        self.assertTrue(self.sent(self.one.ledger.begin(call(), b'{}')))
        for router in (self.one, self.other):
            begun = self.again(router)
            self.assertEqual(self.refused(begun), unknown)
            self.assertGreater(begun.failure().retry_after_s, 0)
        self.one.run(LOST, call('r-3', 'cut'))
        begun = self.again(self.other, key='cut')
        self.assertEqual(self.refused(begun), unknown)
        self.assertEqual(begun.failure().retry_after_s, 0)

    def test_what_surely_did_not_run_may_run_elsewhere(self) -> None:
        self.assertTrue(self.sent(self.one.run(NOT_RUN)))
        self.assertTrue(self.sent(self.again(self.other)))
        self.assertEqual(self.again(self.one), WHOLE)

    def test_a_large_answer_is_known_to_have_run(self) -> None:
        self.one.run(Success(ServiceAnswer(200, b'x' * 101)))
        self.assertEqual(
            self.refused(self.again(self.other)),
            (RefusalCode.ANSWER_NOT_KEPT, Execution.RAN),
        )

    def test_a_lost_answer_to_the_intent_is_read_back(self) -> None:
        self.platform.lose = 1
        self.assertTrue(self.sent(self.one.run(WHOLE)))
        self.assertEqual(self.again(self.other), WHOLE)

    def test_a_late_intent_conflicts_with_the_freed_key(self) -> None:
        self.platform.hold = 1
        begun = self.again(self.one)
        self.assertEqual(
            self.refused(begun), (RefusalCode.STORE_DOWN, Execution.NOT_RUN)
        )
        late = self.platform.held[0]
        self.assertTrue(isinstance(self.platform.commit(late), Failure))
        self.assertTrue(self.sent(self.again(self.other)))

    def test_an_intent_that_took_effect_late_is_freed(self) -> None:
        self.platform.hold = 2
        self.again(self.one)
        self.platform.commit(self.platform.held[0])
        self.assertEqual(
            self.refused(self.again(self.other))[1], Execution.MAY_HAVE_RUN
        )
        self.one.catch_up()
        self.assertTrue(self.sent(self.again(self.other)))

    def test_outcomes_are_written_once_the_store_is_back(self) -> None:
        begun = self.one.ledger.begin(call(), b'{}')
        self.platform.fault = DOWN
        self.one.ledger.finish(begun.unwrap(), WHOLE)
        self.assertEqual(
            self.refused(self.again(self.other)),
            (RefusalCode.STORE_DOWN, Execution.NOT_RUN),
        )
        self.platform.fault = None
        self.platform.lose = 1
        self.one.catch_up()
        self.one.catch_up()
        self.assertEqual(self.again(self.other), WHOLE)

    def test_a_minted_key_runs_once_without_the_store(self) -> None:
        key = self.one.mint()
        self.platform.fault = DOWN
        self.assertTrue(self.sent(self.one.run(WHOLE, call('r-1', key))))
        self.assertEqual(self.again(self.one, key=key), WHOLE)
        unknown = (RefusalCode.OUTCOME_UNKNOWN, Execution.MAY_HAVE_RUN)
        begun = self.again(self.other, key=key)
        self.assertEqual(self.refused(begun), unknown)
        self.platform.fault = None
        begun = self.again(self.other, key=key)
        self.assertEqual(self.refused(begun), unknown)
        self.one.catch_up()
        for router in (self.one, self.other, Router(self.platform, 'new')):
            self.assertEqual(self.again(router, key=key), WHOLE)

    def test_a_minted_key_that_was_dropped_is_not_run_again(self) -> None:
        self.platform.fault = DOWN
        keys = [self.one.mint() for _ in range(5)]
        for key in keys:
            self.one.run(WHOLE, call(f'r-{key}', key))
        self.platform.fault = None
        self.one.catch_up()
        for key in keys:
            self.assertFalse(self.sent(self.again(self.one, key=key)))

    def test_a_minted_key_is_free_after_what_did_not_run(self) -> None:
        key = self.one.mint()
        self.one.run(NOT_RUN, call('r-1', key))
        self.assertTrue(self.sent(self.again(self.one, key=key)))
        self.assertFalse(self.sent(self.again(self.one, key=f'{key}x')))


class IntentSweeperTest(unittest.TestCase):
    def test_deletes_old_rows_only(self) -> None:
        platform = LossyPlatform()
        router = Router(platform, 'one')
        router.run(WHOLE, call('r-1', 'old'))
        router.clock.at_s += 100
        router.run(WHOLE, call('r-2', 'new'))
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

    def test_keys_of_other_calls_differ(self) -> None:
        long = 'x' * 300
        keys = {
            intent_key(call(key='a/b')).key,
            intent_key(replace(call(key='b'), call=CallName('pay/a'))).key,
            intent_key(call(key=long)).key,
            intent_key(call(key=f'{long}y')).key,
        }
        self.assertEqual(len(keys), 4)
        self.assertLess(max(map(len, keys)), 250)

"""Each checker of the request path fails on a bad record."""

import unittest
from dataclasses import replace

from pomelogauge.lab.checkers_requests import Evidence, check_requests
from pomelogauge.lab.request_records import (
    Attempt,
    EngineRun,
    EngineSeen,
    ServiceRun,
)
from pomelogauge.standins.tokens import token_text

MESSAGES = [{'role': 'user', 'content': 'hi'}]
TOKENS = [token_text(MESSAGES, index) for index in range(3)]
CHAT = Attempt(
    1, 'a:1', 0, 1, request='r-1', prompt='hi', tokens=3, text=''.join(TOKENS)
)
CALL = Attempt(2, 'a:1', 0, 1, request='r-2', key='k')
ENGINE = EngineSeen('e', 0, (EngineRun('e', 'r-1', 0, 3, 'whole'),))
RUN = ServiceRun('s', 'book', 'k', 1)
GOOD = Evidence((CHAT, CALL), (ENGINE,), (RUN,), frozenset(('status',)))


class CheckersTest(unittest.TestCase):
    def breaches(self, evidence: Evidence) -> set[str]:
        return {breach.promise for breach in check_requests(evidence)}

    def test_a_good_record_passes(self) -> None:
        self.assertEqual(self.breaches(GOOD), set())
        repeated = replace(RUN, call='status', count=5)
        good = replace(GOOD, services=(RUN, repeated))
        self.assertEqual(self.breaches(good), set())

    def test_answers_that_are_not_own_or_not_whole(self) -> None:
        cases = (
            (''.join(TOKENS[:2]), {'whole answer'}),
            (TOKENS[0] + ''.join(TOKENS), {'whole answer'}),
            (TOKENS[0] + TOKENS[2] + TOKENS[1], {'whole answer'}),
            (
                token_text([{'role': 'user', 'content': 'ho'}], 0),
                {'own answer', 'whole answer'},
            ),
        )
        for text, broken in cases:
            with self.subTest(text):
                bad = replace(GOOD, attempts=(replace(CHAT, text=text), CALL))
                self.assertEqual(self.breaches(bad), broken)

    def test_a_call_that_ran_twice(self) -> None:
        for services in (
            (replace(RUN, count=2),),
            (RUN, replace(RUN, instance='t')),
        ):
            bad = replace(GOOD, services=services)
            self.assertEqual(self.breaches(bad), {'at most once'})

    def test_a_target_that_was_overfed(self) -> None:
        bad = replace(GOOD, engines=(replace(ENGINE, overfed=1),))
        self.assertEqual(self.breaches(bad), {'cap of a cold target'})

    def test_a_refusal_that_is_not_true(self) -> None:
        for attempt in (CHAT, CALL):
            refused = replace(attempt, code='no', execution='not_run', text='')
            bad = replace(GOOD, attempts=(refused,))
            self.assertEqual(self.breaches(bad), {'true refusal'})
        bad = replace(GOOD, services=())
        self.assertEqual(self.breaches(bad), {'true answer'})

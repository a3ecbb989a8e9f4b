"""Tests that each checker of a record finds a breach, and no false one."""

import unittest
from dataclasses import replace

from pomelogauge.lab import checkers
from pomelogauge.lab.record import (
    CallSent,
    ChatAnswered,
    ChatSent,
    Checker,
    DataCentreOf,
    EngineCounted,
    EngineSeen,
    EngineStreamed,
    Event,
    Failed,
    FaultMade,
    MemberRowSeen,
    ReplicaRowSeen,
    ServiceRan,
    VersionPublished,
    VersionSeen,
    check_record,
)
from pomelogauge.standins.tokens import token_text

SENT = ChatSent(10, 'c', 'organisation-0', 'shoe', 2)
TEXT = ''.join(
    token_text([{'role': 'user', 'content': 'shoe'}], index)
    for index in range(2)
)
ANSWERED = ChatAnswered(11, 'c', 'q', TEXT)
STREAMED = EngineStreamed(20, 'e', 'q', 'r', 0, 2, 'whole')
RAN = ServiceRan(20, 's0', 'pay', 'k', 'q', 1)
ROW = ReplicaRowSeen(1, 1.1, 'd#0', 1, 'r', 'd', 1, 'n/d', ('e', 'f'))
READY = EngineSeen(8, 8.1, 'f', 'i', 'ready', 'r', 1, 1, 0)
SEEN = VersionSeen(3, 3.1, 'n', 'i', 2, 'ready')


class CheckersTest(unittest.TestCase):
    def found(self, checker: Checker, *events: Event) -> int:
        return len(check_record([checker], events))

    def test_whole_answer(self) -> None:
        checker = checkers.WholeAnswerChecker()
        self.assertEqual(self.found(checker, SENT, ANSWERED), 0)
        for text in (TEXT[:7], TEXT + TEXT[:7], TEXT[7:] + TEXT[:7]):
            other = replace(ANSWERED, text=text)
            self.assertEqual(self.found(checker, SENT, other), 1)

    def test_true_refusal(self) -> None:
        checker = checkers.TrueRefusalChecker()
        failed = Failed(11, 'c', 'no', 'not_run', request='q')
        self.assertEqual(self.found(checker, failed, STREAMED), 1)
        self.assertEqual(self.found(checker, failed, RAN), 1)
        honest = replace(failed, execution='may_have_run')
        self.assertEqual(self.found(checker, honest, STREAMED, RAN), 0)

    def test_at_most_once(self) -> None:
        checker = checkers.AtMostOnceChecker()
        sent = CallSent(1, 'c', 'o', 'booking', 'pay', 'k', idempotent=False)
        other = replace(RAN, instance='s1')
        self.assertEqual(self.found(checker, sent, RAN), 0)
        self.assertEqual(self.found(checker, sent, RAN, other), 1)
        self.assertEqual(self.found(checker, sent, replace(RAN, count=2)), 1)
        again = replace(sent, idempotent=True)
        self.assertEqual(self.found(checker, again, RAN, other), 0)

    def test_cold_target(self) -> None:
        checker = checkers.ColdTargetChecker()
        self.assertEqual(self.found(checker, EngineCounted(1, 'e', 1, 3)), 1)
        self.assertEqual(self.found(checker, EngineCounted(1, 'e', 0, 3)), 0)

    def test_one_group(self) -> None:
        checker = checkers.OneGroupChecker()
        other = replace(ROW, slot='d#1', replica='x', members=('f', 'g'))
        self.assertEqual(self.found(checker, ROW, other), 1)
        later = replace(other, asked_at_s=2, at_s=2.1)
        self.assertEqual(self.found(checker, ROW, later), 0)
        member = MemberRowSeen(1, 1.1, 'e', 4, 'r', 2)
        fallen = replace(member, at_s=2, epoch=1)
        self.assertEqual(self.found(checker, member, fallen), 1)

    def test_partial_group(self) -> None:
        checker = checkers.PartialGroupChecker()
        member = MemberRowSeen(1, 1.1, 'f', 4, 'r', 1)
        killed = FaultMade(5, 'kill', 'f')
        events = (member, killed, SENT, ANSWERED, STREAMED)
        self.assertEqual(self.found(checker, *events), 1)
        self.assertEqual(self.found(checker, *events, READY), 0)
        early = (member, killed, replace(SENT, at_s=6), ANSWERED, STREAMED)
        self.assertEqual(self.found(checker, *early), 0)

    def test_no_new_work(self) -> None:
        checker = checkers.NoNewWorkChecker()
        place = DataCentreOf(0, 'e', 'engine', 'south')
        drained = FaultMade(5, 'drain', 'south')
        events = (place, drained, SENT, ANSWERED, STREAMED)
        self.assertEqual(self.found(checker, *events), 1)
        returned = FaultMade(9, 'return', 'south')
        self.assertEqual(self.found(checker, *events, returned), 0)
        leaving = FaultMade(5, 'leaving', 'e')
        self.assertEqual(self.found(checker, leaving, *events[2:]), 1)
        late = replace(leaving, at_s=8)
        self.assertEqual(self.found(checker, late, *events[2:]), 0)

    def test_configuration(self) -> None:
        checker = checkers.VersionChecker()
        fallen = replace(SEEN, asked_at_s=4, at_s=4.1, version=1)
        self.assertEqual(self.found(checker, SEEN, fallen), 1)
        crossed = replace(fallen, asked_at_s=3)
        self.assertEqual(self.found(checker, SEEN, crossed), 0)
        restarted = replace(fallen, incarnation='j')
        self.assertEqual(self.found(checker, SEEN, restarted), 0)
        published = VersionPublished(1, 2, 'ada')
        self.assertEqual(self.found(checker, published, fallen), 0)
        late = replace(fallen, asked_at_s=7, incarnation='j')
        self.assertEqual(self.found(checker, published, late), 1)
        asleep = replace(late, phase='starting')
        self.assertEqual(self.found(checker, published, asleep), 0)
        twice = (published, replace(published, at_s=2))
        self.assertEqual(self.found(checker, *twice), 1)

    def test_every_checker_is_run(self) -> None:
        names = {checker.name for checker in checkers.CHECKERS}
        self.assertEqual(len(names), len(checkers.CHECKERS))


if __name__ == '__main__':
    unittest.main()

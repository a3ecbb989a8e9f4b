"""The roll of living instances."""

import unittest

from returns.result import Failure, Result, Success

from pomelogauge.entry.instance_membership import (
    InstanceMembership,
    InstanceMembershipPorts,
)
from pomelogauge.entry.messages import (
    InstanceLeaving,
    InstancesObserved,
    OwnerAnswerMissed,
    OwnerAnswerReceived,
    ReportReceived,
    TargetsSuspected,
)
from pomelogauge.entry.owner_link import (
    EntryReport,
    MembershipSnapshot,
    OwnerLinkError,
)
from pomelogauge.entry.ownership import OwnershipStatus
from pomelogauge.model.fleet import EntryInstance
from pomelogauge.model.ids import Address, NodeName, RowVersion, TargetName
from pomelogauge.tasks.published import Published
from pomelogauge.wire.entry_codec import (
    decode_membership_snapshot,
    decode_report,
    encode_membership_snapshot,
    encode_report,
)

from .entry_fakes import ZONE, FakeClock, Outbox


def instance(name: str, **fields: bool) -> EntryInstance:
    return EntryInstance(NodeName(name), Address(f'{name}:1'), ZONE, **fields)


class Link:
    """Answers reports as tests say."""

    def __init__(self) -> None:
        self.answer: Result = Failure(OwnerLinkError('refused', True))
        self.reports: list[EntryReport] = []

    def report(self, address: Address, report: EntryReport) -> Result:
        self.reports.append(report)
        return self.answer


class InstanceMembershipTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = FakeClock()
        self.link = Link()
        self.owner = Outbox()
        self.seen = Outbox()
        self.ownership = Published(OwnershipStatus())
        ports = InstanceMembershipPorts(
            self.link, self.ownership, self.owner, (self.seen,)
        )
        self.register = InstanceMembership(instance('n1'), ports, self.clock)
        self.register.on_start()

    def own(self) -> None:
        self.ownership.publish(
            OwnershipStatus(True, 3, Address('n1:2'), RowVersion(8))
        )

    def follow(self) -> None:
        self.ownership.publish(OwnershipStatus(False, 3, Address('n2:2')))

    def tick(self, seconds: float = 0.6) -> None:
        self.clock.at_s += seconds
        self.register.on_timer()

    def report(self, report: EntryReport) -> MembershipSnapshot | None:
        replies = Outbox()
        self.register.on_message(ReportReceived(report, replies))
        return replies.posted[0]

    def living(self) -> set[str]:
        return {entry.node for entry in self.seen.posted[-1].instances}

    def test_only_the_owner_answers_reports(self) -> None:
        self.assertIsNone(self.report(EntryReport(instance('n2'))))
        self.own()
        roll = self.report(EntryReport(instance('n2')))
        self.assertEqual((roll.term, roll.renewal_version), (3, 8))

    def test_instances_that_fall_silent_are_named_no_more(self) -> None:
        self.own()
        self.report(EntryReport(instance('n2')))
        self.tick()
        self.assertEqual(self.living(), {'n1', 'n2'})
        self.tick(2.0)
        self.assertEqual(self.living(), {'n1'})

    def test_others_take_the_owners_roll(self) -> None:
        self.follow()
        roll = MembershipSnapshot(
            3, RowVersion(9), (instance('n1'), instance('n2'))
        )
        self.link.answer = Success(roll)
        self.tick()
        self.assertEqual(self.living(), {'n1', 'n2'})
        self.assertIn(OwnerAnswerReceived(3, RowVersion(9)), self.owner.posted)

    def test_a_silent_owner_is_told_and_the_roll_is_kept(self) -> None:
        self.follow()
        roll = MembershipSnapshot(
            3, RowVersion(9), (instance('n1'), instance('n2'))
        )
        self.link.answer = Success(roll)
        self.tick()
        self.link.answer = Failure(OwnerLinkError('refused', True))
        self.tick()
        self.assertIn(OwnerAnswerMissed(3, True), self.owner.posted)
        self.assertEqual(self.living(), {'n1', 'n2'})

    def test_suspects_reach_the_owner_soon_and_are_not_lost(self) -> None:
        self.follow()
        self.tick()
        suspects = frozenset((TargetName('t'),))
        self.register.on_message(TargetsSuspected(suspects))
        self.tick(0.06)
        self.assertEqual(self.link.reports[-1].suspects, suspects)
        self.tick()
        self.assertEqual(self.link.reports[-1].suspects, suspects)

    def test_the_owner_hears_of_its_own_suspects(self) -> None:
        self.own()
        suspects = frozenset((TargetName('t'),))
        self.register.on_message(TargetsSuspected(suspects))
        self.tick()
        self.assertIn(TargetsSuspected(suspects), self.owner.posted)

    def test_an_instance_that_leaves_says_so_at_once(self) -> None:
        self.follow()
        self.tick()
        self.register.on_message(InstanceLeaving())
        self.register.on_timer()
        self.assertTrue(self.link.reports[-1].instance.is_leaving)

    def test_it_starts_with_itself(self) -> None:
        self.assertEqual(
            self.seen.posted, [InstancesObserved((instance('n1'),))]
        )

    def test_reports_and_rolls_are_decoded_as_they_were_encoded(self) -> None:
        report = EntryReport(
            instance('n1', is_leaving=True), frozenset((TargetName('t'),))
        )
        self.assertEqual(decode_report(encode_report(report)), report)
        roll = MembershipSnapshot(
            3, RowVersion(9), (instance('n1'), instance('n2'))
        )
        self.assertEqual(
            decode_membership_snapshot(encode_membership_snapshot(roll)), roll
        )

"""Tests of publishing configurations."""

import unittest
from collections.abc import Callable

from returns.result import Failure, Result

from pomelogauge.model.ids import ConfigVersion, DataCentreName
from pomelogauge.model.manifest import Configuration, DataCentre, Manifest
from pomelogauge.standins.memory_platform import MemoryPlatform
from pomelogauge.tables.configuration_store import (
    CURRENT_KEY,
    ConfigurationStore,
    PublishConflict,
)
from pomelogauge.tables.protocols import (
    Committed,
    PlatformError,
    PlatformFault,
    Transaction,
)

DC = DataCentreName('dc1')
MANIFEST = Manifest((DataCentre(DC, 'is-sudur'),))
NONE = ConfigVersion(0)
LOST = PlatformError(PlatformFault.INDETERMINATE, 'answer lost')


def by(publisher: str) -> Configuration:
    return Configuration(manifest=MANIFEST, publisher=publisher)


class InterruptedPlatform(MemoryPlatform):
    """Runs a step before one commit and loses its answer after."""

    def __init__(self) -> None:
        super().__init__()
        self.before: Callable[[], object] | None = None
        self.after: Callable[[], object] | None = None
        self.commits = 0
        self.arrives = True

    def commit(
        self, transaction: Transaction
    ) -> Result[Committed, PlatformError]:
        before, after = self.before, self.after
        self.before = self.after = None
        self.commits += 1
        if before:
            before()
        if not self.arrives:
            return Failure(LOST)
        outcome = super().commit(transaction)
        if after:
            after()
            return Failure(LOST)
        return outcome


class ConfigurationStoreTest(unittest.TestCase):
    def setUp(self) -> None:
        self.platform = InterruptedPlatform()
        self.store = ConfigurationStore(self.platform)

    def fault(self) -> PlatformFault:
        error = self.store.publish(by('ada'), NONE).failure()
        assert isinstance(error, PlatformError)
        return error.fault

    def newest(self) -> Configuration:
        newest = self.store.newest().unwrap()
        assert newest is not None
        return newest

    def test_publishes_the_next_version(self) -> None:
        self.assertIsNone(self.store.newest().unwrap())
        first = self.store.publish(by('ada'), NONE).unwrap()
        second = self.store.publish(by('bo'), first.version).unwrap()
        self.assertEqual((first.version, second.version), (1, 2))
        self.assertEqual(self.newest(), second)
        self.assertEqual(self.store.current_version().unwrap(), 2)
        self.store.document(second.version).unwrap()
        superseded = self.store.document(first.version).failure()
        self.assertEqual(superseded.fault, PlatformFault.CONFLICT)

    def test_a_read_row_is_not_read_again_for_its_document(self) -> None:
        version = self.store.publish(by('ada'), NONE).unwrap().version
        self.store.current_version().unwrap()
        self.platform.read = None  # type: ignore
        self.assertTrue(self.store.document(version).unwrap())

    def test_the_loser_of_a_race_learns_who_won(self) -> None:
        other = ConfigurationStore(self.platform)
        self.platform.before = lambda: other.publish(by('bo'), NONE)
        lost = PublishConflict(ConfigVersion(1), 'bo')
        self.assertEqual(self.store.publish(by('a'), NONE).failure(), lost)
        self.assertEqual(self.store.publish(by('a'), NONE).failure(), lost)
        self.assertEqual(str(lost), 'version 1 by bo')
        self.assertEqual(self.newest().publisher, 'bo')

    def test_a_lost_answer_is_settled_by_reading_back(self) -> None:
        self.platform.after = lambda: None
        published = self.store.publish(by('ada'), NONE).unwrap()
        self.assertEqual(self.newest(), published)
        self.assertEqual(self.platform.commits, 1)

    def test_a_write_that_is_not_seen_stays_unsettled(self) -> None:
        self.platform.arrives = False
        self.assertEqual(self.fault(), PlatformFault.INDETERMINATE)
        self.assertEqual(self.platform.commits, 1)

    def test_a_write_that_was_replaced_stays_unsettled(self) -> None:
        other = ConfigurationStore(self.platform)
        self.platform.after = lambda: other.publish(by('b'), ConfigVersion(1))
        self.assertEqual(self.fault(), PlatformFault.INDETERMINATE)
        self.assertEqual(self.newest().publisher, 'b')

    def test_a_platform_that_is_down_is_an_error(self) -> None:
        self.platform.fault = PlatformError(PlatformFault.UNAVAILABLE, 'down')
        self.assertEqual(self.fault(), PlatformFault.UNAVAILABLE)
        self.assertEqual(self.store.newest().failure(), self.platform.fault)

    def test_a_row_that_is_no_row_is_an_error(self) -> None:
        for text in ('', '[]', '{}', '{"version": "x"}'):
            self.platform._store(CURRENT_KEY, text, 't')
            found = self.store.newest().failure()
            self.assertEqual(found.fault, PlatformFault.MALFORMED)

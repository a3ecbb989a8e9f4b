"""Tests of publishing and reading configurations."""

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
NOT_PUBLISHED = ConfigVersion(0)
LOST = PlatformError(PlatformFault.INDETERMINATE, 'answer lost')


def configuration_by(publisher: str) -> Configuration:
    """Return an unpublished configuration of an operator."""
    return Configuration(manifest=MANIFEST, publisher=publisher)


class InterruptedPlatform(MemoryPlatform):
    """Platform that disturbs one commit.

    ``before`` is called before the commit. ``after`` is called after it, and
    its answer is lost then. Without ``arrives`` the write itself is lost.
    """

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
    """Of concurrent publications one wins, and each publisher learns it."""

    def setUp(self) -> None:
        self.platform = InterruptedPlatform()
        self.store = ConfigurationStore(self.platform)

    def fault(self) -> PlatformFault:
        """Publish and return the fault of the failure."""
        error = self.store.publish(
            configuration_by('ada'), NOT_PUBLISHED
        ).failure()
        assert isinstance(error, PlatformError)
        return error.fault

    def newest(self) -> Configuration:
        """Return the published configuration; there must be one."""
        newest = self.store.newest().unwrap()
        assert newest is not None
        return newest

    def test_versions_count_up_and_only_the_newest_is_readable(self) -> None:
        self.assertIsNone(self.store.newest().unwrap())
        first = self.store.publish(
            configuration_by('ada'), NOT_PUBLISHED
        ).unwrap()
        second = self.store.publish(
            configuration_by('bo'), first.version
        ).unwrap()
        self.assertEqual((first.version, second.version), (1, 2))
        self.assertEqual(self.newest(), second)
        self.assertEqual(self.store.current_version().unwrap(), 2)
        self.store.document(second.version).unwrap()
        superseded = self.store.document(first.version).failure()
        self.assertEqual(superseded.fault, PlatformFault.CONFLICT)

    def test_a_document_is_read_without_a_second_read_of_its_row(self) -> None:
        version = (
            self.store.publish(configuration_by('ada'), NOT_PUBLISHED)
            .unwrap()
            .version
        )
        self.store.current_version().unwrap()
        self.platform.read = None  # type: ignore
        self.assertTrue(self.store.document(version).unwrap())

    def test_a_conflicting_publisher_learns_who_published(self) -> None:
        other = ConfigurationStore(self.platform)
        self.platform.before = lambda: other.publish(
            configuration_by('bo'), NOT_PUBLISHED
        )
        conflict = PublishConflict(ConfigVersion(1), 'bo')
        self.assertEqual(
            self.store.publish(configuration_by('a'), NOT_PUBLISHED).failure(),
            conflict,
        )
        self.assertEqual(
            self.store.publish(configuration_by('a'), NOT_PUBLISHED).failure(),
            conflict,
        )
        self.assertEqual(str(conflict), 'version 1 by bo')
        self.assertEqual(self.newest().publisher, 'bo')

    def test_a_lost_answer_is_resolved_by_a_read_back(self) -> None:
        self.platform.after = lambda: None
        published = self.store.publish(
            configuration_by('ada'), NOT_PUBLISHED
        ).unwrap()
        self.assertEqual(self.newest(), published)
        self.assertEqual(self.platform.commits, 1)

    def test_a_write_that_no_row_shows_stays_indeterminate(self) -> None:
        self.platform.arrives = False
        self.assertEqual(self.fault(), PlatformFault.INDETERMINATE)
        self.assertEqual(self.platform.commits, 1)

    def test_a_write_that_was_overwritten_stays_indeterminate(self) -> None:
        other = ConfigurationStore(self.platform)
        self.platform.after = lambda: other.publish(
            configuration_by('b'), ConfigVersion(1)
        )
        self.assertEqual(self.fault(), PlatformFault.INDETERMINATE)
        self.assertEqual(self.newest().publisher, 'b')

    def test_an_unavailable_platform_is_an_error(self) -> None:
        self.platform.fault = PlatformError(PlatformFault.UNAVAILABLE, 'down')
        self.assertEqual(self.fault(), PlatformFault.UNAVAILABLE)
        self.assertEqual(self.store.newest().failure(), self.platform.fault)

    def test_a_malformed_row_is_an_error(self) -> None:
        for text in ('', '[]', '{}', '{"version": "x"}'):
            self.platform._store(CURRENT_KEY, text, 't')
            found = self.store.newest().failure()
            self.assertEqual(found.fault, PlatformFault.MALFORMED)

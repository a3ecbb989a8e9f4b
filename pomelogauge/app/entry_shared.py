"""What most tasks of an entry instance share."""

from dataclasses import dataclass

from ..entry.ownership import OwnershipStatus
from ..model.fleet import EntryInstance, Fleet
from ..platform.settings import EntrySettings
from ..platform.store import StoreClient
from ..platform.translator import RowTranslator
from ..tasks.clock import BootClock
from ..tasks.published import Published
from .entry_settings import EntryOptions
from .task_set import TaskSet

#: Deadline of a call to the store in seconds, beyond the wait of a feed. The
#: store answers in a few milliseconds, and sixty times slower under load.
STORE_ANSWER_S = 0.9


@dataclass(frozen=True)
class EntryShared:
    """Objects that most tasks of the process share, made by the root."""

    cfg: EntrySettings
    options: EntryOptions
    own: EntryInstance
    incarnation: str
    published_fleet: Published[Fleet]
    ownership: Published[OwnershipStatus]
    leaving: Published[bool]
    rows: RowTranslator
    clock: BootClock
    tasks: TaskSet

    def store(self) -> StoreClient:
        """Return a new connection to the store for one task."""
        return StoreClient(self.cfg.store, STORE_ANSWER_S, self.clock)

"""Wires the tasks that read the store's tables or watch other instances."""

from ..entry.messages import SuspectsShared, TableRead, TableReadFailed
from ..entry.table_deltas import NO_TABLE_VERSIONS, WATCHED_TABLES
from ..entry.table_reader import ReaderSettings, TableReader, TableReaderPorts
from ..entry.table_watcher import TableWatcher, TableWatcherPorts
from ..tasks.mailbox import Outbox
from ..tasks.published import Published
from ..wire.entry_link import GrpcOwnerLink
from .entry_shared import EntryShared

#: Seconds that the store holds a feed request open without changes. Each
#: answer confirms that the known configuration is current.
FEED_WAIT_S = 0.8
#: Seconds after the start of a process in which tables are read from another
#: instance only; the second value holds for the first start of the system,
#: when no traffic is expected yet.
OWNER_ONLY_S = 0.25
FIRST_START_OWNER_ONLY_S = 1.5


def wire_reads(
    shared: EntryShared,
    listeners: tuple[Outbox[TableRead | TableReadFailed], ...],
    suspect_listeners: tuple[Outbox[SuspectsShared], ...],
) -> None:
    """Read the watched tables from another instance, else from the store."""
    is_first = shared.cfg.is_first_start
    owner_only_s = FIRST_START_OWNER_ONLY_S if is_first else OWNER_ONLY_S
    reads_paused_until = Published(shared.clock.now_s() + owner_only_s)
    watched_versions = Published(NO_TABLE_VERSIONS)
    watcher = TableWatcher(
        shared.own,
        shared.cfg.bounds.apply_s,
        GrpcOwnerLink(),
        TableWatcherPorts(
            shared.ownership,
            shared.published_fleet,
            reads_paused_until,
            watched_versions,
            listeners,
            suspect_listeners,
        ),
        shared.clock,
    )
    shared.tasks.add('follower', watcher)
    for table in WATCHED_TABLES:
        reader = TableReader(
            ReaderSettings(table, FEED_WAIT_S, shared.own),
            shared.store(),
            TableReaderPorts(
                listeners,
                shared.ownership,
                shared.published_fleet,
                reads_paused_until,
                watched_versions,
            ),
            shared.clock,
        )
        shared.tasks.add(f'{table} reader', reader)

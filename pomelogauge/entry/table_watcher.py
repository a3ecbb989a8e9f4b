"""The task that watches the store's tables through another instance."""

from dataclasses import dataclass

from returns.result import Failure

from ..decide.watch_source import watch_sources
from ..model.fleet import EntryInstance, Fleet
from ..model.ids import Address
from ..model.log_parts import Part
from ..tasks.clock import Clock
from ..tasks.log import part_logger
from ..tasks.mailbox import Outbox
from ..tasks.published import Published
from .delta_server import MAX_READ_AGE_S
from .messages import SuspectsShared, TableRead
from .owner_link import OwnerLinkError
from .ownership import OwnershipStatus
from .table_deltas import TableDeltas, TableVersions, TableWatchLink

#: Most seconds after an answer after which a relay reads the store: one watch
#: request that is held, and its delay.
RELAY_READ_PAUSE_S = 1.2
#: Part of the time in which a change must take effect that is left for a read
#: of the store when a pause ends.
READ_MARGIN_SHARE = 0.2
#: Seconds until the owner is looked up again if there is none to watch, and
#: until the next request after one that failed.
OWNERSHIP_POLL_INTERVAL_S = 0.1
RETRY_S = 0.4
#: Seconds for which another source is tried before one that failed.
SOURCE_AVOIDED_S = 3.0

_log = part_logger(Part.STORE)


@dataclass(frozen=True)
class TableWatcherPorts:
    """Other tasks and values that the table watcher uses.

    Parameters
    ----------
    ownership
        Who the owner is.
    published_fleet
        Names the living instances; read only.
    reads_paused_until
        Published by the watcher: time of the local clock until which the
        deltas are current and the table readers don't read the store.
    watched_versions
        Published by the watcher: versions of the tables that its listeners
        have.
    listeners
        Tasks to which the deltas are posted as table reads.
    suspect_listeners
        Tasks to which suspected targets are posted.

    """

    ownership: Published[OwnershipStatus]
    published_fleet: Published[Fleet]
    reads_paused_until: Published[float]
    watched_versions: Published[TableVersions]
    listeners: tuple[Outbox[TableRead], ...]
    suspect_listeners: tuple[Outbox[SuspectsShared], ...]


class TableWatcher:
    """Long-polls the owner or a relay for table deltas and passes them on.

    On the owner itself it does nothing.

    Parameters
    ----------
    own
        This instance.
    apply_s
        Seconds within which a change of a table must take effect.
    link
        Connection to the instance that is watched; owned by this task.
    ports
        Other tasks and values.
    clock
        Local clock; it goes on during a suspension of the machine.

    """

    def __init__(
        self,
        own: EntryInstance,
        apply_s: float,
        link: TableWatchLink,
        ports: TableWatcherPorts,
        clock: Clock,
    ) -> None:
        """Start without a source."""
        self._own = own
        self._apply_s = apply_s
        self._link = link
        self._ports = ports
        self._clock = clock
        self._watched = Address('')
        self._is_relay = False
        self._avoided_until: dict[Address, float] = {}

    def on_start(self) -> None:
        """Do nothing; the first watch request connects."""

    def on_message(self, message: object) -> None:
        """Do nothing; no messages are sent to this task."""

    def on_timer(self) -> float | None:
        """Send one watch request; blocks until it is answered.

        Returns
        -------
        float
            Seconds until the next request.

        """
        ownership = self._ports.ownership.latest()
        if ownership.is_own:
            self._ports.reads_paused_until.publish(float('-inf'))
            self._log_end('this instance is the owner')
            return OWNERSHIP_POLL_INTERVAL_S
        if ownership.address in {'', self._own.peers}:
            # The owner is not known yet, or was this instance.
            return OWNERSHIP_POLL_INTERVAL_S
        return self._watch(self._source(ownership.address))

    def on_stop(self) -> None:
        """Do nothing; the connection ends with the process."""

    def _source(self, owner: Address) -> Address:
        """Return the first source that did not fail, else the oldest failure."""
        sources = watch_sources(
            self._own, self._ports.published_fleet.latest().instances, owner
        )
        self._is_relay = sources.is_relay
        now_s = self._clock.now_s()
        self._avoided_until = {
            address: until_s
            for address, until_s in self._avoided_until.items()
            if until_s > now_s
        }
        return min(
            sources.addresses,
            key=lambda address: self._avoided_until.get(address, 0),
        )

    def _watch(self, source: Address) -> float:
        began_s = self._clock.now_s()
        known = self._ports.watched_versions.latest()
        answer = self._link.watch(source, known)
        now_s = self._clock.now_s()
        if isinstance(answer, Failure):
            error: OwnerLinkError = answer.failure()
            return self._avoid(source, error.message)
        deltas = answer.unwrap()
        if _is_behind(deltas, known):
            return self._avoid(source, 'it knows an earlier era of the store')
        self._post_reads(deltas, began_s)
        oldest_s = now_s - began_s + max(delta.age_s for delta in deltas.tables)
        if oldest_s > MAX_READ_AGE_S:
            self._log_end(f'its reads are {oldest_s:.1f} s old')
            return RETRY_S
        pause_s = self._read_pause_s(oldest_s)
        self._ports.reads_paused_until.publish(now_s + pause_s)
        self._log_start(source)
        return 0

    def _avoid(self, source: Address, reason: str) -> float:
        """Try other sources first for some time."""
        self._log_end(reason)
        self._avoided_until[source] = self._clock.now_s() + SOURCE_AVOIDED_S
        return RETRY_S

    def _read_pause_s(self, age_s: float) -> float:
        """Return for how long an answer with reads of an age is enough.

        A relay reads the store first when the owner fails, so that the others
        of its data centre don't have to.
        """
        pause_s = self._apply_s * (1 - READ_MARGIN_SHARE) - age_s
        return min(pause_s, RELAY_READ_PAUSE_S) if self._is_relay else pause_s

    def _post_reads(self, deltas: TableDeltas, began_s: float) -> None:
        for delta in deltas.tables:
            read = TableRead(
                delta.table,
                delta.rows,
                delta.is_whole,
                began_s - delta.age_s,
                delta.was_away,
            )
            for listener in self._ports.listeners:
                listener.post(read)
        if deltas.suspects:
            for suspect_listener in self._ports.suspect_listeners:
                suspect_listener.post(SuspectsShared(deltas.suspects))
        self._ports.watched_versions.publish(deltas.versions())

    def _log_start(self, source: Address) -> None:
        if self._watched != source:
            self._watched = source
            _log.info(
                'tables are watched through another instance',
                extra={'source': source},
            )

    def _log_end(self, reason: str) -> None:
        if self._watched:
            _log.info(
                'tables are no longer watched through another instance: %s',
                reason,
                extra={'source': self._watched},
            )
            self._watched = Address('')


def _is_behind(deltas: TableDeltas, known: TableVersions) -> bool:
    """Return whether a source has not heard that the store was put back."""
    return any(
        delta.rows.version.era < known[delta.table].era
        for delta in deltas.tables
    )

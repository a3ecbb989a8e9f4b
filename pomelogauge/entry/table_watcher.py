"""The task that watches the store's tables through the owner."""

from returns.result import Failure

from ..model.ids import Address
from ..model.log_parts import Part
from ..tasks.clock import Clock
from ..tasks.log import part_logger
from ..tasks.mailbox import Outbox
from ..tasks.published import Published
from .messages import TableRead
from .owner_link import OwnerLinkError
from .ownership import OwnershipStatus
from .table_deltas import NO_TABLE_VERSIONS, TableDeltas, TableWatchLink

#: Seconds after an answer of the owner for which this instance does not read
#: the store: one watch request that the owner holds, and its delay. Changes
#: have to take effect within two seconds, also those that the owner read but
#: did not pass on.
READ_PAUSE_S = 1.2
#: Age in seconds beyond which the owner's reads are not relied on and this
#: instance reads the store itself: two calls that the store holds, and their
#: delay.
MAX_OWNER_READ_AGE_S = 2.4
#: Seconds until the owner is looked up again if there is none to watch, and
#: until the next request to an owner that did not answer.
OWNERSHIP_POLL_INTERVAL_S = 0.1
RETRY_S = 0.4

_log = part_logger(Part.STORE)


class TableWatcher:
    """Long-polls the owner for table deltas and passes them on.

    On the owner itself it does nothing.

    Parameters
    ----------
    link
        Connection to the owner; owned by this task.
    ownership
        Who the owner is.
    reads_paused_until
        Published by this task: time of the local clock until which the owner's
        deltas are current and the table readers don't read the store.
    listeners
        Tasks to which the deltas are posted as table reads.
    clock
        Local clock; it goes on during a suspension of the machine.

    """

    def __init__(
        self,
        link: TableWatchLink,
        ownership: Published[OwnershipStatus],
        reads_paused_until: Published[float],
        listeners: tuple[Outbox[TableRead], ...],
        clock: Clock,
    ) -> None:
        """Start without table versions."""
        self._link = link
        self._ownership = ownership
        self._reads_paused_until = reads_paused_until
        self._listeners = listeners
        self._clock = clock
        self._known_versions = NO_TABLE_VERSIONS
        self._is_watching = False

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
        ownership = self._ownership.latest()
        if ownership.is_own:
            self._reads_paused_until.publish(float('-inf'))
            self._log_end('this instance is the owner')
            return OWNERSHIP_POLL_INTERVAL_S
        if not ownership.address:
            return OWNERSHIP_POLL_INTERVAL_S
        return self._watch(ownership.address)

    def on_stop(self) -> None:
        """Do nothing; the connection ends with the process."""

    def _watch(self, owner: Address) -> float:
        began_s = self._clock.now_s()
        answer = self._link.watch(owner, self._known_versions)
        if isinstance(answer, Failure):
            error: OwnerLinkError = answer.failure()
            self._log_end(error.message)
            return RETRY_S
        deltas = answer.unwrap()
        self._post_reads(deltas, began_s)
        now_s = self._clock.now_s()
        oldest_s = now_s - began_s + max(delta.age_s for delta in deltas.tables)
        if oldest_s > MAX_OWNER_READ_AGE_S:
            self._log_end(f'its reads are {oldest_s:.1f} s old')
            return RETRY_S
        self._reads_paused_until.publish(now_s + READ_PAUSE_S)
        self._log_start(owner)
        return 0

    def _post_reads(self, deltas: TableDeltas, began_s: float) -> None:
        for delta in deltas.tables:
            read = TableRead(
                delta.table,
                delta.rows,
                delta.is_whole,
                began_s - delta.age_s,
                delta.was_away,
            )
            for listener in self._listeners:
                listener.post(read)
        self._known_versions = deltas.versions()

    def _log_start(self, owner: Address) -> None:
        if not self._is_watching:
            self._is_watching = True
            _log.info(
                'tables are watched through the owner', extra={'owner': owner}
            )

    def _log_end(self, reason: str) -> None:
        if self._is_watching:
            self._is_watching = False
            _log.info(
                'tables are no longer watched through the owner: %s', reason
            )

"""The task that learns from the owner what the store's tables hold."""

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

#: Seconds after an answer for which this instance reads no table itself: one
#: question that is held and its delay. Changes count within two seconds, also
#: those that the owner learned of and did not tell.
READ_PAUSE_S = 1.2
#: Longest age of the owner's own reads: two that the store holds, and their
#: delay.
MAX_OWNER_READ_AGE_S = 2.4
#: Seconds between two looks for another owner, and before an owner that did
#: not answer is asked again.
LOOK_S = 0.1
RETRY_S = 0.4

_log = part_logger(Part.STORE)


class TableWatcher:
    """Owns the questions to the owner.

    Parameters
    ----------
    link
        Connection to the owner; owned by this task.
    ownership
        Who the owner is.
    reads_paused_until
        Time of the own clock until which the owner tells of the tables, and
        readers need not ask the store.
    listeners
        Who learns of what was told.
    clock
        Own clock, suspensions included.

    """

    def __init__(
        self,
        link: TableWatchLink,
        ownership: Published[OwnershipStatus],
        reads_paused_until: Published[float],
        listeners: tuple[Outbox[TableRead], ...],
        clock: Clock,
    ) -> None:
        """Start without knowledge."""
        self._link = link
        self._ownership = ownership
        self._reads_paused_until = reads_paused_until
        self._listeners = listeners
        self._clock = clock
        self._known_versions = NO_TABLE_VERSIONS
        self._is_told = False

    def on_start(self) -> None:
        """Connect with the first question."""

    def on_message(self, message: object) -> None:
        """Take no messages."""

    def on_timer(self) -> float | None:
        """Ask once.

        Returns
        -------
        float
            Seconds until the next question.

        """
        ownership = self._ownership.latest()
        if ownership.is_own:
            self._reads_paused_until.publish(float('-inf'))
            self._note_untold('this instance is the owner')
            return LOOK_S
        if not ownership.address:
            return LOOK_S
        return self._ask(ownership.address)

    def on_stop(self) -> None:
        """Leave the connection to the process's end."""

    def _ask(self, owner: Address) -> float:
        began_s = self._clock.now_s()
        answer = self._link.watch(owner, self._known_versions)
        if isinstance(answer, Failure):
            error: OwnerLinkError = answer.failure()
            self._note_untold(error.message)
            return RETRY_S
        news = answer.unwrap()
        self._tell(news, began_s)
        now_s = self._clock.now_s()
        oldest_s = now_s - began_s + max(one.age_s for one in news.tables)
        if oldest_s > MAX_OWNER_READ_AGE_S:
            self._note_untold(f'the owner has read {oldest_s:.1f} s ago')
            return RETRY_S
        self._reads_paused_until.publish(now_s + READ_PAUSE_S)
        self._note_told(owner)
        return 0

    def _tell(self, news: TableDeltas, began_s: float) -> None:
        for one in news.tables:
            read = TableRead(
                one.table,
                one.rows,
                one.is_whole,
                began_s - one.age_s,
                one.was_away,
            )
            for listener in self._listeners:
                listener.post(read)
        self._known_versions = news.versions()

    def _note_told(self, owner: Address) -> None:
        if not self._is_told:
            self._is_told = True
            _log.info('the owner tells of the tables', extra={'owner': owner})

    def _note_untold(self, reason: str) -> None:
        if self._is_told:
            self._is_told = False
            _log.info('the owner no longer tells of the tables: %s', reason)

"""Task that polls the other members of the replica of an engine."""

from urllib3 import PoolManager, Timeout
from urllib3.exceptions import HTTPError

from ..tasks.clock import Clock
from ..tasks.mailbox import Outbox
from .engine_messages import MemberLost, WatchMembers
from .engine_model import OrderMember

#: Pause between two polls of all members.
_POLL_INTERVAL_S = 0.2
#: A member that does not respond within this time counts as lost.
_TIMEOUT_S = 1


class MemberWatchActor:
    """Polls the status of the other members while streams run.

    Parameters
    ----------
    clock
        Schedules the polls.
    engine
        Task that is notified of a lost member.

    """

    def __init__(self, clock: Clock, engine: Outbox[MemberLost]) -> None:
        """Start without members to poll."""
        self._clock = clock
        self._engine = engine
        self._watched: WatchMembers | None = None
        self._due_s = clock.now_s()
        self._pool = PoolManager(
            timeout=Timeout(connect=_TIMEOUT_S, read=_TIMEOUT_S),
            retries=False,
        )

    def on_start(self) -> None:
        """Do nothing; polling starts with the first message."""

    def on_message(self, message: WatchMembers) -> None:
        """Replace the polled members; a changed set is polled at once."""
        if message != self._watched:
            self._due_s = self._clock.now_s()
        self._watched = message

    def on_timer(self) -> float | None:
        """Poll all members if due; return the seconds until the next poll."""
        if self._watched is None or not self._watched.members:
            return None
        if self._due_s <= self._clock.now_s():
            self._ask_members(self._watched)
            self._due_s = self._clock.now_s() + _POLL_INTERVAL_S
        return max(self._due_s - self._clock.now_s(), 0)

    def on_stop(self) -> None:
        """Close the pooled connections."""
        self._pool.clear()

    def _ask_members(self, watched: WatchMembers) -> None:
        others = [
            member
            for member in watched.members
            if member.instance != watched.instance
        ]
        if not all(self._is_serving(member, watched) for member in others):
            self._engine.post(MemberLost(watched.replica, watched.epoch))

    def _is_serving(self, member: OrderMember, watched: WatchMembers) -> bool:
        try:
            response = self._pool.request(
                'GET',
                f'http://{member.address}/v1/status',
                headers={'X-Client': watched.instance},
            )
            fields = response.json()
        except (HTTPError, OSError, ValueError):
            return False
        named = (fields.get('replica'), fields.get('epoch'))
        return named == (watched.replica, watched.epoch)

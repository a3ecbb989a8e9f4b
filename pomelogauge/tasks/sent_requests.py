"""Requests that this router has running on replicas."""

import math
from collections.abc import Iterator
from dataclasses import dataclass

from ..model.ids import ReplicaId, RequestId


@dataclass(frozen=True)
class Lingering:
    """A slot kept for a lost request that its target may still run.

    Parameters
    ----------
    replica
        Replica of the slot.
    until_s
        Time on the local clock by which the target must have detected that
        the connection is closed.

    """

    replica: ReplicaId
    until_s: float


class SentRequests:
    """Requests that run or may still run; state of the dispatcher's task."""

    def __init__(self) -> None:
        """Start without requests."""
        self._sent: dict[ReplicaId, dict[RequestId, float]] = {}
        self._lingering: tuple[Lingering, ...] = ()

    def add(self, replica: ReplicaId, request: RequestId, at_s: float) -> None:
        """Add a request that was sent at a time on the local clock."""
        self._sent.setdefault(replica, {})[request] = at_s

    def end(self, replica: ReplicaId, request: RequestId) -> None:
        """Remove a request, which may be unknown."""
        sent = self._sent.get(replica, {})
        sent.pop(request, None)
        if not sent:
            self._sent.pop(replica, None)

    def linger(self, replica: ReplicaId, until_s: float) -> None:
        """Keep a slot taken until a time on the local clock."""
        kept = Lingering(replica, until_s)
        self._lingering = (*self._lingering, kept)

    def drop_lingering(self, replica: ReplicaId) -> None:
        """Free the slots kept for requests of an earlier incarnation."""
        self._lingering = tuple(
            slot for slot in self._lingering if slot.replica != replica
        )

    def sent_times(self, replica: ReplicaId) -> tuple[float, ...]:
        """Return the time at which each request on a replica was sent."""
        return tuple(self._sent.get(replica, {}).values())

    def lingering(self, replica: ReplicaId, now_s: float) -> int:
        """Return the number of a replica's slots kept for lost requests."""
        return sum(
            slot.replica == replica and slot.until_s > now_s
            for slot in self._lingering
        )

    def counts(self) -> Iterator[tuple[ReplicaId, int]]:
        """Yield each replica with requests and their number."""
        for replica, sent in self._sent.items():
            yield replica, len(sent)

    def next_end_s(self, now_s: float) -> float:
        """Return the time at which the next kept slot becomes free.

        It is infinite when no slot is kept. Slots that are free already are
        dropped.
        """
        self._lingering = tuple(
            slot for slot in self._lingering if slot.until_s > now_s
        )
        ends = [slot.until_s for slot in self._lingering]
        return min(ends, default=math.inf)

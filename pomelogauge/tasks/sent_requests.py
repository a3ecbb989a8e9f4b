"""Own requests on replicas."""

import math
from collections.abc import Iterator
from dataclasses import dataclass

from ..model.ids import ReplicaId, RequestId


@dataclass(frozen=True)
class Lingering:
    """A slot of a request that its target may still be running.

    Parameters
    ----------
    replica
        The target.
    until_s
        Own clock when the target must have noticed that it lost the caller.

    """

    replica: ReplicaId
    until_s: float


class SentRequests:
    """Requests that run or may still run; state of the dispatcher's task."""

    def __init__(self) -> None:
        """Start empty."""
        self._sent: dict[ReplicaId, dict[RequestId, float]] = {}
        self._lingering: tuple[Lingering, ...] = ()

    def add(self, replica: ReplicaId, request: RequestId, at_s: float) -> None:
        """Count a request as sent."""
        self._sent.setdefault(replica, {})[request] = at_s

    def end(self, replica: ReplicaId, request: RequestId) -> None:
        """Count a request no longer."""
        sent = self._sent.get(replica, {})
        sent.pop(request, None)
        if not sent:
            self._sent.pop(replica, None)

    def linger(self, replica: ReplicaId, until_s: float) -> None:
        """Keep a slot taken for a request that may still run."""
        kept = Lingering(replica, until_s)
        self._lingering = (*self._lingering, kept)

    def forget_lingering(self, replica: ReplicaId) -> None:
        """Free the slots of what an earlier incarnation may have run."""
        self._lingering = tuple(
            one for one in self._lingering if one.replica != replica
        )

    def sent_times(self, replica: ReplicaId) -> tuple[float, ...]:
        """Return when each request on a replica was sent."""
        return tuple(self._sent.get(replica, {}).values())

    def lingering(self, replica: ReplicaId, now_s: float) -> int:
        """Return how many slots are kept for what may still run."""
        return sum(
            one.replica == replica and one.until_s > now_s
            for one in self._lingering
        )

    def counts(self) -> Iterator[tuple[ReplicaId, int]]:
        """Yield replicas and the number of requests on them."""
        for replica, sent in self._sent.items():
            yield replica, len(sent)

    def next_end_s(self, now_s: float) -> float:
        """Return the own clock when the next kept slot is free."""
        self._lingering = tuple(
            one for one in self._lingering if one.until_s > now_s
        )
        ends = [one.until_s for one in self._lingering]
        return min(ends, default=math.inf)

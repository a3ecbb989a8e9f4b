"""Requests that wait for a place."""

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass
from heapq import heappop, heappush

from ..decide.queue import OrganisationLoad, WaitingRequest, select_next
from ..model.ids import (
    DeploymentName,
    OrganisationName,
    ReplicaId,
    RequestId,
)
from ..model.manifest import Deployment
from .messages import RequestSlot


@dataclass(frozen=True)
class Needs:
    """What a waiting request needs; alike for many requests.

    Parameters
    ----------
    deployments
        Deployments that may answer it.
    avoid
        Replicas already lost for it.

    """

    deployments: tuple[DeploymentName, ...]
    avoid: tuple[ReplicaId, ...]


@dataclass(frozen=True)
class QueuedRequest:
    """An ask in the queue.

    Parameters
    ----------
    slot_request
        The ask.
    needs
        What it needs.
    waiting
        Its rank.

    """

    slot_request: RequestSlot
    needs: Needs
    waiting: WaitingRequest

    @property
    def request(self) -> RequestId:
        """Identifier of the request."""
        return self.slot_request.request.request

    @property
    def organisation(self) -> OrganisationName:
        """Whose request it is."""
        return self.slot_request.request.organisation


@dataclass(frozen=True, order=True)
class _HeapEntry:
    """Place in a heap; the number tells equal deadlines apart."""

    deadline_at_s: float
    number: int


class _DeadlineHeap:
    """Entries by deadline; those no longer queued are dropped when met."""

    def __init__(self, queued: dict[int, QueuedRequest]) -> None:
        self._queued = queued
        self._heap: list[_HeapEntry] = []

    def push(self, deadline_at_s: float, number: int) -> None:
        heappush(self._heap, _HeapEntry(deadline_at_s, number))

    def head(self) -> QueuedRequest | None:
        while self._heap:
            queued = self._queued.get(self._heap[0].number)
            if queued:
                return queued
            heappop(self._heap)
        return None


@dataclass(frozen=True)
class _LineKey:
    """Requests of one organisation that need the same."""

    needs: Needs
    organisation: OrganisationName


class RequestQueue:
    """The queue; state of the dispatcher's task.

    Requests of one organisation that need the same stand in one line, so
    that a placement looks at the heads of the lines only.
    """

    def __init__(self) -> None:
        """Start empty."""
        self._queued: dict[int, QueuedRequest] = {}
        self._numbers: dict[RequestId, int] = {}
        self._lines: dict[_LineKey, _DeadlineHeap] = {}
        self._all = _DeadlineHeap(self._queued)
        self._counts: Counter[OrganisationName] = Counter()
        self._last_number = 0

    def __len__(self) -> int:
        """Return how many requests wait."""
        return len(self._queued)

    def __iter__(self) -> Iterator[QueuedRequest]:
        """Yield the entries as they are at present."""
        return iter(tuple(self._queued.values()))

    def add(
        self, slot_request: RequestSlot, deployments: tuple[Deployment, ...]
    ) -> None:
        """Let a request wait."""
        names = tuple(deployment.name for deployment in deployments)
        waiting = WaitingRequest(
            slot_request.request,
            max(deployment.priority for deployment in deployments),
            slot_request.requested_at_s + slot_request.request.deadline_s,
        )
        self.remove(slot_request.request.request)
        self._insert(
            QueuedRequest(
                slot_request, Needs(names, slot_request.avoid), waiting
            )
        )

    def get(self, request: RequestId) -> QueuedRequest | None:
        """Return the entry of a request if it waits."""
        number = self._numbers.get(request)
        return None if number is None else self._queued[number]

    def remove(self, request: RequestId) -> None:
        """Drop a request if it waits."""
        number = self._numbers.pop(request, None)
        if number is not None:
            queued = self._queued.pop(number)
            self._counts[queued.organisation] -= 1

    def first(
        self, shares: OrganisationLoad, full: set[Needs]
    ) -> QueuedRequest | None:
        """Return who is due a place next.

        Parameters
        ----------
        shares
            What organisations have running.
        full
            Needs that can't be met now.

        """
        heads = {
            head.request: head
            for key, line in tuple(self._lines.items())
            if key.needs not in full and (head := self._head(key, line))
        }
        entry = select_next((head.waiting for head in heads.values()), shares)
        return heads[entry.request.request] if entry else None

    def next_expired(self, now_s: float) -> QueuedRequest | None:
        """Return an entry whose deadline is over."""
        head = self._all.head()
        if head and head.waiting.deadline_at_s <= now_s:
            return head
        return None

    def next_deadline_s(self) -> float | None:
        """Return the own clock at the next deadline."""
        head = self._all.head()
        return head.waiting.deadline_at_s if head else None

    def count_of(self, organisation: OrganisationName) -> int:
        """Return how many requests of an organisation wait."""
        return self._counts[organisation]

    def by_deployment(self) -> Counter[DeploymentName]:
        """Count the waiting requests that each deployment may answer."""
        return Counter(
            name for queued in self for name in queued.needs.deployments
        )

    def _insert(self, queued: QueuedRequest) -> None:
        self._last_number += 1
        number = self._last_number
        deadline_at_s = queued.waiting.deadline_at_s
        self._queued[number] = queued
        self._numbers[queued.request] = number
        self._counts[queued.organisation] += 1
        self._all.push(deadline_at_s, number)
        key = _LineKey(queued.needs, queued.organisation)
        line = self._lines.setdefault(key, _DeadlineHeap(self._queued))
        line.push(deadline_at_s, number)

    def _head(self, key: _LineKey, line: _DeadlineHeap) -> QueuedRequest | None:
        head = line.head()
        if head is None:
            self._lines.pop(key)
        return head

"""Requests that wait for a slot."""

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
    """What a slot must offer for a request; the same for many requests.

    Parameters
    ----------
    deployments
        Deployments that may answer the request.
    avoid
        Replicas on which the request was already lost.

    """

    deployments: tuple[DeploymentName, ...]
    avoid: tuple[ReplicaId, ...]


@dataclass(frozen=True)
class QueuedRequest:
    """A request in the queue.

    Parameters
    ----------
    slot_request
        Message that asked for the slot and awaits the answer.
    needs
        What the slot must offer.
    waiting
        Priority and deadline that decide its rank.

    """

    slot_request: RequestSlot
    needs: Needs
    waiting: WaitingRequest

    @property
    def request(self) -> RequestId:
        """Identifier under which the queue holds the request."""
        return self.slot_request.request.request

    @property
    def organisation(self) -> OrganisationName:
        """Organisation against whose share the request counts."""
        return self.slot_request.request.organisation


@dataclass(frozen=True, order=True)
class _HeapEntry:
    """Position in a heap; equal deadlines are ordered by the number."""

    deadline_at_s: float
    number: int


class _DeadlineHeap:
    """Requests by deadline.

    A removed request stays in the heap until it becomes the head, as a heap
    cannot drop an entry in its middle at low cost.
    """

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
class _GroupKey:
    """Identifies the requests of one organisation with the same needs."""

    needs: Needs
    organisation: OrganisationName


class RequestQueue:
    """Queue of the requests without a slot; state of the dispatcher's task.

    Requests of one organisation with the same needs form one group, ordered
    by deadline, so that a search for the next request compares only the heads
    of the groups.
    """

    def __init__(self) -> None:
        """Create an empty queue."""
        self._queued: dict[int, QueuedRequest] = {}
        self._numbers: dict[RequestId, int] = {}
        self._groups: dict[_GroupKey, _DeadlineHeap] = {}
        self._all = _DeadlineHeap(self._queued)
        self._counts: Counter[OrganisationName] = Counter()
        self._last_number = 0

    def __len__(self) -> int:
        """Return the number of requests in the queue."""
        return len(self._queued)

    def __iter__(self) -> Iterator[QueuedRequest]:
        """Yield the requests of a copy, so that callers may remove some."""
        return iter(tuple(self._queued.values()))

    def add(
        self, slot_request: RequestSlot, deployments: tuple[Deployment, ...]
    ) -> None:
        """Add a request; it replaces one with the same identifier.

        Parameters
        ----------
        slot_request
            Message that asks for the slot.
        deployments
            Deployments that may answer the request, at least one.

        """
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
        """Return a queued request; ``None`` when it is not in the queue."""
        number = self._numbers.get(request)
        return None if number is None else self._queued[number]

    def remove(self, request: RequestId) -> None:
        """Remove a request if it is in the queue."""
        number = self._numbers.pop(request, None)
        if number is not None:
            queued = self._queued.pop(number)
            self._counts[queued.organisation] -= 1

    def first(
        self, load: OrganisationLoad, full: set[Needs]
    ) -> QueuedRequest | None:
        """Return the request that is to get the next slot.

        Parameters
        ----------
        load
            Running requests and weights of the organisations.
        full
            Needs for which no slot is free; requests with them are skipped.

        Returns
        -------
        QueuedRequest or None
            ``None`` when all remaining requests are skipped.

        """
        heads = {
            head.request: head
            for key, group in tuple(self._groups.items())
            if key.needs not in full and (head := self._head(key, group))
        }
        entry = select_next((head.waiting for head in heads.values()), load)
        return heads[entry.request.request] if entry else None

    def next_expired(self, now_s: float) -> QueuedRequest | None:
        """Return a request past its deadline; ``None`` when there is none."""
        head = self._all.head()
        if head and head.waiting.deadline_at_s <= now_s:
            return head
        return None

    def next_deadline_s(self) -> float | None:
        """Return the next deadline on the local clock; ``None`` if empty."""
        head = self._all.head()
        return head.waiting.deadline_at_s if head else None

    def count_of(self, organisation: OrganisationName) -> int:
        """Return the number of queued requests of an organisation."""
        return self._counts[organisation]

    def by_deployment(self) -> Counter[DeploymentName]:
        """Count the queued requests that each deployment may answer.

        A request counts for each of its deployments.
        """
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
        key = _GroupKey(queued.needs, queued.organisation)
        group = self._groups.setdefault(key, _DeadlineHeap(self._queued))
        group.push(deadline_at_s, number)

    def _head(
        self, key: _GroupKey, group: _DeadlineHeap
    ) -> QueuedRequest | None:
        head = group.head()
        if head is None:
            self._groups.pop(key)
        return head

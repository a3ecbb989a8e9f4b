"""Requests that wait for a place."""

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass

from ..decide.queue import Shares, Waiting, in_order
from ..model.ids import DeploymentName, OrganisationName, RequestId
from ..model.manifest import Deployment
from .messages import AskPlace


@dataclass(frozen=True)
class Queued:
    """An ask in the queue.

    Parameters
    ----------
    ask
        The ask.
    deployments
        Those that may answer it.
    waiting
        Its rank.

    """

    ask: AskPlace
    deployments: tuple[Deployment, ...]
    waiting: Waiting

    @property
    def names(self) -> tuple[DeploymentName, ...]:
        """Names of the deployments."""
        return tuple(deployment.name for deployment in self.deployments)


class RequestQueue:
    """The queue; state of the dispatcher's task."""

    def __init__(self) -> None:
        """Start empty."""
        self._entries: dict[RequestId, Queued] = {}

    def __len__(self) -> int:
        """Return how many requests wait."""
        return len(self._entries)

    def __iter__(self) -> Iterator[Queued]:
        """Yield the entries as they are at present."""
        return iter(tuple(self._entries.values()))

    def add(self, ask: AskPlace, deployments: tuple[Deployment, ...]) -> None:
        """Let a request wait."""
        waiting = Waiting(
            ask.request,
            max(deployment.priority for deployment in deployments),
            ask.asked_at_s + ask.request.deadline_s,
        )
        entry = Queued(ask, deployments, waiting)
        self._entries[ask.request.request] = entry

    def remove(self, request: RequestId) -> None:
        """Drop a request if it waits."""
        self._entries.pop(request, None)

    def in_order(self, shares: Shares) -> tuple[Queued, ...]:
        """Return the entries, first the one that is due a place."""
        waiting = [queued.waiting for queued in self._entries.values()]
        return tuple(
            self._entries[entry.request.request]
            for entry in in_order(waiting, shares)
        )

    def expired(self, now_s: float) -> tuple[Queued, ...]:
        """Return the entries whose deadline is over."""
        return tuple(
            queued for queued in self if queued.waiting.deadline_at_s <= now_s
        )

    def next_deadline_s(self) -> float | None:
        """Return the own clock at the next deadline."""
        deadlines = [queued.waiting.deadline_at_s for queued in self]
        return min(deadlines, default=None)

    def count_of(self, organisation: OrganisationName) -> int:
        """Return how many requests of an organisation wait."""
        return sum(
            queued.ask.request.organisation == organisation for queued in self
        )

    def by_deployment(self) -> Counter[DeploymentName]:
        """Count the waiting requests that each deployment may answer."""
        return Counter(name for queued in self for name in queued.names)

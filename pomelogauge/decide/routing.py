"""Chooses the replica to which a request is sent."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Protocol

from ..model.ids import DataCentreName, ReplicaId
from ..model.manifest import Configuration
from ..model.placement import ReplicaView
from ..model.request import ModelRequest


@dataclass(frozen=True)
class CandidateReplica:
    """A replica and how many requests this router may send to it.

    Parameters
    ----------
    view
        Newest view from its owner.
    slots
        Most requests of this router that it may run at once now.
    sent
        Requests of this router in progress there.
    sent_since
        Requests in progress that this router has sent since the load report.

    """

    view: ReplicaView
    slots: int
    sent: int = 0
    sent_since: int = 0

    @property
    def replica(self) -> ReplicaId:
        """Identifier of the replica in the view."""
        return self.view.replica.replica

    @property
    def load(self) -> float:
        """Requests in progress as a share of the replica's slots.

        May exceed 1. The load report lags, so the requests that this router
        has sent since are added to it.
        """
        running = max(self.view.running + self.sent_since, self.sent)
        return running / max(self.view.current_capacity, 1)


class Policy(Protocol):
    """Chooses among replicas that may all take the request.

    Called by the dispatcher's task for each request that it can place.
    """

    def choose(
        self,
        req: ModelRequest,
        candidates: tuple[CandidateReplica, ...],
    ) -> CandidateReplica | None:
        """Return one of the candidates; ``None`` without candidates."""


@dataclass(frozen=True)
class LeastLoaded:
    """Chooses the least loaded replica, of equals one in the own data centre.

    Parameters
    ----------
    data_centre
        Data centre of the router.

    """

    data_centre: DataCentreName

    def choose(
        self,
        req: ModelRequest,
        candidates: tuple[CandidateReplica, ...],
    ) -> CandidateReplica | None:
        """Return the least loaded candidate; ``None`` without candidates."""
        return min(candidates, key=self._rank, default=None)

    def _rank(self, candidate: CandidateReplica) -> tuple[float, bool, str]:
        members = candidate.view.replica.members
        is_far = members[0].data_centre != self.data_centre
        return (candidate.load, is_far, candidate.replica)


def eligible_replicas(
    configuration: Configuration,
    candidates: Iterable[CandidateReplica],
    avoid: tuple[ReplicaId, ...] = (),
) -> tuple[CandidateReplica, ...]:
    """Return the candidates that may take a request now.

    Parameters
    ----------
    configuration
        Configuration in force.
    candidates
        Replicas of the deployments that may answer it.
    avoid
        Replicas to which the request was sent before.

    """
    return tuple(
        candidate
        for candidate in candidates
        if candidate.replica not in avoid
        and _is_eligible(candidate, configuration.drained)
    )


def _is_eligible(
    candidate: CandidateReplica,
    drained: tuple[DataCentreName, ...],
) -> bool:
    members = candidate.view.replica.members
    if (
        not members
        or not candidate.view.serving
        or candidate.sent >= candidate.slots
    ):
        return False
    return not any(member.data_centre in drained for member in members)

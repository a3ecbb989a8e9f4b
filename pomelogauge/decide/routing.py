"""Chooses a replica for a request."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Protocol

from ..model.ids import DataCentreName, ReplicaId
from ..model.manifest import Configuration
from ..model.placement import ReplicaView
from ..model.request import ModelRequest


@dataclass(frozen=True)
class CandidateReplica:
    """A replica and what this router may send to it.

    Parameters
    ----------
    view
        What its owner says.
    slots
        Requests at once that this router may have on it now.
    sent
        Requests that this router has on it.
    sent_since
        Requests that this router sent since the load report.

    """

    view: ReplicaView
    slots: int
    sent: int = 0
    sent_since: int = 0

    @property
    def replica(self) -> ReplicaId:
        """Identifier of the replica."""
        return self.view.replica.replica

    @property
    def load(self) -> float:
        """Share of what the replica bears that is taken."""
        # The report lags, so requests sent since are added to it.
        running = max(self.view.running + self.sent_since, self.sent)
        return running / max(self.view.current_capacity, 1)


class Policy(Protocol):
    """Chooses among replicas that may all take the request."""

    def choose(
        self,
        req: ModelRequest,
        offers: tuple[CandidateReplica, ...],
    ) -> CandidateReplica | None:
        """Return one of the offers; ``None`` when there is none."""


@dataclass(frozen=True)
class LeastLoaded:
    """Takes the least loaded replica, of equals one near this router.

    Parameters
    ----------
    data_centre
        Where the router stands.

    """

    data_centre: DataCentreName

    def choose(
        self,
        req: ModelRequest,
        offers: tuple[CandidateReplica, ...],
    ) -> CandidateReplica | None:
        """Return the least loaded offer."""
        return min(offers, key=self._rank, default=None)

    def _rank(self, offer: CandidateReplica) -> tuple[float, bool, str]:
        members = offer.view.replica.members
        is_far = members[0].data_centre != self.data_centre
        return (offer.load, is_far, offer.replica)


def eligible_replicas(
    configuration: Configuration,
    offers: Iterable[CandidateReplica],
    avoid: tuple[ReplicaId, ...] = (),
) -> tuple[CandidateReplica, ...]:
    """Return the offers that may take a request now.

    Parameters
    ----------
    configuration
        Configuration in force.
    offers
        Replicas of the deployments that may answer it.
    avoid
        Replicas already tried.

    """
    return tuple(
        offer
        for offer in offers
        if offer.replica not in avoid
        and _takes_work(offer, configuration.drained)
    )


def _takes_work(
    offer: CandidateReplica, drained: tuple[DataCentreName, ...]
) -> bool:
    members = offer.view.replica.members
    if not members or not offer.view.serving or offer.sent >= offer.slots:
        return False
    return not any(member.data_centre in drained for member in members)

"""Further ways to choose a replica: by prefix, and two baselines."""

from collections.abc import Callable
from dataclasses import dataclass
from hashlib import sha256

from ..model.request import ModelRequest
from .routing import CandidateReplica, Policy

#: Returns an integer below its argument.
Pick = Callable[[int], int]


@dataclass(frozen=True)
class PrefixAffinity:
    """Takes the replica that a prompt's prefix hashes to, within a load bound.

    Parameters
    ----------
    fallback
        Chooses for requests without a prefix.
    bound
        A replica loaded so much more than the least loaded is passed over.

    """

    fallback: Policy
    bound: float = 0.25

    def choose(
        self,
        req: ModelRequest,
        offers: tuple[CandidateReplica, ...],
    ) -> CandidateReplica | None:
        """Return the prefix's first offer among those within the bound."""
        if not (req.prefix and offers):
            return self.fallback.choose(req, offers)
        bound = min(offer.load for offer in offers) + self.bound
        near = [offer for offer in offers if offer.load <= bound]
        return max(near, key=lambda offer: _score(req.prefix, offer))


@dataclass(frozen=True)
class RandomChoice:
    """Takes any replica; a baseline.

    Parameters
    ----------
    pick
        Random source.

    """

    pick: Pick

    def choose(
        self,
        req: ModelRequest,
        offers: tuple[CandidateReplica, ...],
    ) -> CandidateReplica | None:
        """Return a random offer."""
        return offers[self.pick(len(offers))] if offers else None


@dataclass(frozen=True)
class TwoChoices:
    """Takes the less loaded of two replicas taken at random; a baseline.

    Parameters
    ----------
    pick
        Random source.

    """

    pick: Pick

    def choose(
        self,
        req: ModelRequest,
        offers: tuple[CandidateReplica, ...],
    ) -> CandidateReplica | None:
        """Return the less loaded of two random offers."""
        if not offers:
            return None
        first = offers[self.pick(len(offers))]
        second = offers[self.pick(len(offers))]
        return min(first, second, key=lambda offer: offer.load)


def _score(prefix: str, offer: CandidateReplica) -> bytes:
    return sha256(f'{prefix}\n{offer.replica}'.encode()).digest()

"""Routing policies: prefix affinity and two baselines for comparison."""

from collections.abc import Callable
from dataclasses import dataclass
from hashlib import sha256

from ..model.request import ModelRequest
from .routing import CandidateReplica, Policy

#: Returns a random integer from zero up to, but without, its argument.
Pick = Callable[[int], int]


@dataclass(frozen=True)
class PrefixAffinity:
    """Chooses the replica to which a prefix hashes, within a load bound.

    Parameters
    ----------
    fallback
        Policy for requests without a prefix.
    bound
        Load above that of the least loaded candidate beyond which a replica
        is not chosen, as a share of its slots.

    """

    fallback: Policy
    bound: float = 0.25

    def choose(
        self,
        req: ModelRequest,
        candidates: tuple[CandidateReplica, ...],
    ) -> CandidateReplica | None:
        """Return the candidate within the bound that ranks first.

        ``None`` without candidates.
        """
        if not (req.prefix and candidates):
            return self.fallback.choose(req, candidates)
        bound = min(candidate.load for candidate in candidates) + self.bound
        within = [
            candidate for candidate in candidates if candidate.load <= bound
        ]
        return max(within, key=lambda candidate: _score(req.prefix, candidate))


@dataclass(frozen=True)
class RandomChoice:
    """Chooses a replica at random; a baseline.

    Parameters
    ----------
    pick
        Source of the random choice.

    """

    pick: Pick

    def choose(
        self,
        req: ModelRequest,
        candidates: tuple[CandidateReplica, ...],
    ) -> CandidateReplica | None:
        """Return a random candidate; ``None`` without candidates."""
        return candidates[self.pick(len(candidates))] if candidates else None


@dataclass(frozen=True)
class TwoChoices:
    """Chooses the less loaded of two random replicas; a baseline.

    Parameters
    ----------
    pick
        Source of the random choice.

    """

    pick: Pick

    def choose(
        self,
        req: ModelRequest,
        candidates: tuple[CandidateReplica, ...],
    ) -> CandidateReplica | None:
        """Return the less loaded of two random candidates.

        Both may be the same one. ``None`` without candidates.
        """
        if not candidates:
            return None
        first = candidates[self.pick(len(candidates))]
        second = candidates[self.pick(len(candidates))]
        return min(first, second, key=lambda candidate: candidate.load)


def _score(prefix: str, candidate: CandidateReplica) -> bytes:
    return sha256(f'{prefix}\n{candidate.replica}'.encode()).digest()

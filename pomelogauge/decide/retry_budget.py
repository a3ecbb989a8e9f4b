"""Bounds the retries of a router by a share of its first attempts."""

from dataclasses import dataclass, replace


@dataclass(frozen=True)
class RetryBudget:
    """Token bucket of retries, filled by first attempts.

    Parameters
    ----------
    share
        Retries that each first attempt adds.
    limit
        Most retries that the budget may hold; it covers the loss of a whole
        replica with its requests.
    remaining
        Retries that may be sent now.

    """

    share: float = 0.2
    limit: float = 200
    remaining: float = 200

    def after_first_try(self) -> 'RetryBudget':
        """Return the budget after a first attempt."""
        return replace(
            self, remaining=min(self.remaining + self.share, self.limit)
        )

    def after_retry(self) -> 'RetryBudget | None':
        """Return the budget after a retry; ``None`` if none may be sent."""
        if self.remaining < 1:
            return None
        return replace(self, remaining=self.remaining - 1)

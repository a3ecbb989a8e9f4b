"""Bounds retries by a share of first tries."""

from dataclasses import dataclass, replace


@dataclass(frozen=True)
class RetryBudget:
    """Retries that may be sent now.

    Parameters
    ----------
    share
        Retries that each first try pays for.
    most
        Retries that may be saved; covers the loss of a whole replica.
    left
        Retries saved.

    """

    share: float = 0.2
    most: float = 200
    left: float = 200

    def after_first_try(self) -> 'RetryBudget':
        """Return the budget after a first try."""
        return replace(self, left=min(self.left + self.share, self.most))

    def after_retry(self) -> 'RetryBudget | None':
        """Return the budget after a retry; ``None`` when it is spent."""
        if self.left < 1:
            return None
        return replace(self, left=self.left - 1)

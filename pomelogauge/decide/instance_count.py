"""Estimates among how many entry instances a common limit is divided."""

#: Least number of instances among which the reserve of the retry budget is
#: divided. While the owner changes, fewer instances may be listed than live,
#: and each would take too large a part.
MIN_RESERVE_SHARES = 10


class InstanceCount:
    """Tracks the number of listed entry instances; used by the dispatcher."""

    def __init__(self) -> None:
        """Start with this instance alone."""
        self._peak = 1

    def update(self, listed: int) -> None:
        """Record the number of instances that are listed now."""
        self._peak = max(self._peak, listed)

    def reserve_shares(self) -> int:
        """Return by how much the reserve of the retry budget is divided.

        The highest count since the start is used, so that the instances
        together never exceed the reserve.
        """
        return max(self._peak, MIN_RESERVE_SHARES)

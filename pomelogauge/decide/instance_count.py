"""Among how many entry instances a bound of all of them is shared out."""

#: Instances among which the slack of the budget of repeats is shared out at
#: least; fewer may be listed than live while the owner changes.
LEAST_SHARES = 10


class InstanceCount:
    """Counts the entry instances that are listed."""

    def __init__(self) -> None:
        """Start alone."""
        self._listed = 1
        self._most = 1

    def update(self, listed: int) -> None:
        """Take the number of instances that are listed now."""
        self._listed = listed
        self._most = max(self._most, listed)

    def reserve_shares(self) -> int:
        """Return among how many the slack of repeats is shared."""
        return max(self._most, LEAST_SHARES)

    def live_instances(self) -> int:
        """Return how many instances live.

        An owner that has just started may list a few of them only.
        """
        return max(self._listed, self._most // 2, 1)

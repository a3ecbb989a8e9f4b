"""The time before the first traffic of a system that starts."""

#: Seconds after the first start in which loads count for nothing: traffic
#: comes later than this.
STARTUP_GRACE_S = 9.0
#: Seconds without a new target after which all that start with the system
#: are taken to be listed.
SETTLING_S = 0.7


class StartupGrace:
    """Tells whether the system still starts.

    Parameters
    ----------
    is_first_start
        The whole system starts for the first time.
    started_s
        When this process started, by its own clock.

    """

    def __init__(self, is_first_start: bool, started_s: float) -> None:
        """Start without targets."""
        self._until_s = (
            started_s + STARTUP_GRACE_S if is_first_start else started_s
        )
        self._listed = 0
        self._listed_s = started_s

    def is_active(self, now_s: float) -> bool:
        """Return whether no traffic has come yet."""
        return now_s < self._until_s

    def has_settled(self, listed: int, now_s: float) -> bool:
        """Return whether groups may be planned.

        Parameters
        ----------
        listed
            Targets that are listed now.
        now_s
            Present time of the own clock.

        """
        if not self.is_active(now_s):
            return True
        if listed != self._listed:
            self._listed = listed
            self._listed_s = now_s
        return now_s - self._listed_s > SETTLING_S

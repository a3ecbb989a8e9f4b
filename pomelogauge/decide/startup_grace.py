"""Grace period after the first start of the system, before its traffic."""

#: Seconds after the first start in which groups may load models without a
#: limit. Traffic comes later than this.
STARTUP_GRACE_S = 9.0
#: Seconds without a change in the number of listed targets after which all
#: targets that start with the system are taken to be listed. Groups planned
#: earlier would be formed of the first few targets.
SETTLING_S = 0.7


class StartupGrace:
    """Tells whether the system as a whole is still starting up.

    Parameters
    ----------
    is_first_start
        The whole system starts for the first time. A later start of this
        process alone has no grace period.
    started_s
        Time of the local clock when this process started.

    """

    def __init__(self, is_first_start: bool, started_s: float) -> None:
        """Start with no targets listed."""
        self._until_s = (
            started_s + STARTUP_GRACE_S if is_first_start else started_s
        )
        self._listed = 0
        self._listed_s = started_s

    def is_active(self, now_s: float) -> bool:
        """Return whether the grace period lasts; no traffic has come yet."""
        return now_s < self._until_s

    def has_settled(self, listed: int, now_s: float) -> bool:
        """Return whether groups may be planned.

        Always true after the grace period; within it, only once the number of
        targets is stable.

        Parameters
        ----------
        listed
            Number of targets that are listed now.
        now_s
            Current time of the local clock.

        """
        if not self.is_active(now_s):
            return True
        if listed != self._listed:
            self._listed = listed
            self._listed_s = now_s
        return now_s - self._listed_s > SETTLING_S

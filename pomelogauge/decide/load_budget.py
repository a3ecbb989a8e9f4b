"""Limits the loads from the weight store, over all owners in turn."""

WINDOW_S = 5.0
#: Part of what the weight store allows in a window that one owner may start at
#: once. As much again comes over the window.
BURST_SHARE = 0.4
#: Part of it that a new owner may start at once. It does not know which loads
#: its predecessors have started, so that three owners within one window must
#: stay within the limit together.
FIRST_SHARE = 0.15


class LoadBudget:
    """Counts the loads that this owner has ordered; used by its task."""

    def __init__(self) -> None:
        """Start before the first term."""
        self._term: int | None = None
        self._is_new = True
        self._tokens = 0.0
        self._refilled_s = 0.0

    def begin_term(self, term: int, now_s: float) -> None:
        """Start anew if this instance is the owner in another term."""
        if term == self._term:
            return
        self._term = term
        self._is_new = True
        self._refilled_s = now_s

    def remaining(self, per_s: float, now_s: float) -> float:
        """Return how many loads may start now; below one means none.

        Parameters
        ----------
        per_s
            Loads per second that the weight store can serve.
        now_s
            Current time of the local clock.

        """
        window = per_s * WINDOW_S
        if self._is_new:
            self._is_new = False
            self._tokens = window * FIRST_SHARE
        added = (now_s - self._refilled_s) * per_s * BURST_SHARE
        self._tokens = min(window * BURST_SHARE, self._tokens + added)
        self._refilled_s = now_s
        return self._tokens

    def count(self, loads: int) -> None:
        """Count loads that start now."""
        self._tokens -= loads

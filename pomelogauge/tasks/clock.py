"""The clock as a protocol type, so that decisions take times as arguments."""

import time
from typing import Protocol


class Clock(Protocol):
    """Seconds that only rise; of no meaning in another process."""

    def now_s(self) -> float:
        """Return the present time in seconds."""


class MonotonicClock:
    """The system's monotonic clock."""

    def now_s(self) -> float:
        """Return the present time in seconds."""
        return time.monotonic()


class WallClock:
    """Seconds since 1970; for the age of what outlives the process."""

    def now_s(self) -> float:
        """Return the time of this machine's wall clock."""
        return time.time()


class BootClock:
    """Seconds since the machine started, suspensions included."""

    def now_s(self) -> float:
        """Return the present time in seconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

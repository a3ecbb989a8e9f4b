"""Clocks behind a protocol type, so that tests can set the time."""

import time
from typing import Protocol


class Clock(Protocol):
    """Source of the current time in seconds."""

    def now_s(self) -> float:
        """Return the current time in seconds since the clock's own origin."""


class MonotonicClock:
    """Clock that never goes back; its times mean nothing to other processes."""

    def now_s(self) -> float:
        """Return seconds since an unspecified origin."""
        return time.monotonic()


class WallClock:
    """Wall clock, for the age of records that outlive the process."""

    def now_s(self) -> float:
        """Return seconds since 1970; the clock may be set back."""
        return time.time()


class BootClock:
    """Monotonic clock that goes on while the machine is suspended."""

    def now_s(self) -> float:
        """Return seconds since the machine was started."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

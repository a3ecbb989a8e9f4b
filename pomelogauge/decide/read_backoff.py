"""Derives the pause after a failed read of the store."""

import math

#: Seconds until the next read after the first failed one. Each further failure
#: doubles them up to the limit.
FIRST_BACKOFF_S = 0.15
MAX_BACKOFF_S = 0.6
#: Failed reads in a second at most, of all instances together, and the tables
#: that each of them reads.
FAILED_READS_PER_S = 150
_TABLES = 2
#: Seconds until the next read at most, so that a configuration is confirmed
#: again before it is too old.
MAX_SPREAD_S = 3.0


def read_backoff_s(failures: int, readers: int) -> float:
    """Return the seconds until a failed read of the store is repeated.

    Parameters
    ----------
    failures
        Number of failed reads without one that succeeded between them.
    readers
        Number of instances that read the store until another one answers
        their watch requests again. One for the owner and for a relay, which
        the others wait for.

    """
    doubled_s = math.ldexp(FIRST_BACKOFF_S, failures - 1)
    spread_s = _TABLES * readers / FAILED_READS_PER_S
    return max(min(doubled_s, MAX_BACKOFF_S), min(spread_s, MAX_SPREAD_S))

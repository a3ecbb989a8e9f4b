"""Divides a rate that holds for all entry instances together.

Answers the load pattern of a target that bears fewer requests than come: each
of many instances sends it a few, and together they send too many.
"""

from dataclasses import dataclass
from functools import lru_cache

from ..model.ids import NodeName
from .rendezvous import ranked

#: Part of what a rate allows in a window that may come at once, from all
#: instances together, beyond the rate itself.
BURST_SHARE = 0.4
#: Least number of instances that share a rate, so that one that is not
#: reachable by callers does not leave it unused.
MIN_SHARERS = 2
#: Among how many instances an instance that is not listed yet believes a rate
#: to be divided.
UNLISTED_SHARES = 10
#: Rates whose sharers are kept: ranking hundreds of instances takes a while.
CACHED_RANKS = 1024


@dataclass(frozen=True)
class CommonRate:
    """A rate that holds for all entry instances together.

    Parameters
    ----------
    per_s
        Requests a second, above zero.
    window_s
        Seconds over which requests are counted against it.

    """

    per_s: float
    window_s: float


@dataclass(frozen=True)
class RateShare:
    """What one instance may send of a rate.

    Parameters
    ----------
    per_s
        Requests a second on average; zero for an instance without a share.
    burst
        Requests that may come at once after a pause.

    """

    per_s: float
    burst: float


NO_SHARE = RateShare(0, 0)


def rate_share(
    rate: CommonRate,
    key: str,
    own: NodeName,
    listed: tuple[NodeName, ...],
) -> RateShare:
    """Return the share of one instance in a rate.

    A burst has room for one request at least. Therefore only as many
    instances share a rate as one request of each does not exceed it; all
    instances choose the same ones. In each window the shares of all add up to
    ``1 + BURST_SHARE`` times the rate, or to ``MIN_SHARERS`` more than it if
    that is higher.

    Parameters
    ----------
    rate
        The rate.
    key
        What the rate is for; other instances share that of another key.
    own
        This instance.
    listed
        All instances that live; empty while they are unknown.

    """
    burst = BURST_SHARE * rate.per_s * rate.window_s
    if not listed:
        return RateShare(rate.per_s / UNLISTED_SHARES, 1)
    sharers = min(len(listed), max(MIN_SHARERS, int(burst)))
    if own not in _first(key, listed, sharers):
        return NO_SHARE
    return RateShare(rate.per_s / sharers, max(1, burst / sharers))


@lru_cache(maxsize=CACHED_RANKS)
def _first(
    key: str, listed: tuple[NodeName, ...], count: int
) -> frozenset[NodeName]:
    return frozenset(ranked(key, listed)[:count])
